// HTTP client over cpp-httplib.
//
// A streamed body passes through the event splitter into the verifier as it arrives; token
// times are taken there. The body of a refused request is kept and its error parsed.
// A body that ended early is a read error, which distinguishes an aborted transfer from a
// clean end.
#include "tools/load/loadclient.h"

#include <nlohmann/json.hpp>

#include "carawaylatch/http/checkedclient.h"

namespace carawaylatch::load
{

namespace
{

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr std::size_t MaxErrorBytes = 64'000;

struct ErrorBody
{
    std::string type;
    std::optional<base::Duration> retryAfter;
};

ErrorBody parseErrorBody(const std::string &body)
{
    ErrorBody error{.type = "no_error_body", .retryAfter = {}};
    const auto value = json::parse(body, nullptr, false);
    if (value.is_object() && value.contains("error") && value["error"].is_object()) {
        const auto &fields = value["error"];
        error.type = fields.contains("type") && fields["type"].is_string() ? fields["type"].get<std::string>() : "unnamed";
        if (fields.contains("retry_after_ms") && fields["retry_after_ms"].is_number()) {
            error.retryAfter = base::milliseconds{fields["retry_after_ms"].get<std::int64_t>()};
        }
    }
    return error;
}

base::TimePoint now()
{
    return base::SteadyClock().now();
}

// Receives the body of one streamed response.
class StreamReceiver
{
public:
    explicit StreamReceiver(std::string_view prompt)
        : m_verifier(prompt)
        , m_sentAt(now())
    {
    }

    void receive(int status, std::string_view bytes)
    {
        if (status != StatusOk) {
            m_errorBody.append(bytes.substr(0, MaxErrorBytes - std::min(MaxErrorBytes, m_errorBody.size())));
            return;
        }
        m_splitter.feed(bytes, [this](std::string_view payload) {
            addEvent(parseStreamEvent(payload));
        });
    }

    [[nodiscard]] CompletionResult result(int status, TransferEnd end) const
    {
        CompletionResult result;
        result.status = status;
        if (status != StatusOk && status != 0) {
            const auto error = parseErrorBody(m_errorBody);
            result.outcome = CallOutcome::Refused;
            result.errorType = error.type;
            result.retryAfter = error.retryAfter;
            return result;
        }
        result.outcome = CallOutcome::Streamed;
        result.verdict = m_verifier.finish(end);
        result.errorType = m_verifier.errorType();
        result.usage = m_verifier.usage();
        result.firstToken = m_firstToken;
        result.gaps = m_gaps;
        return result;
    }

private:
    void addEvent(const StreamEvent &event)
    {
        if (event.kind == StreamEvent::Kind::Token) {
            const auto at = now();
            if (m_lastToken) {
                m_gaps.push_back(at - *m_lastToken);
            } else {
                m_firstToken = at - m_sentAt;
            }
            m_lastToken = at;
        }
        m_verifier.add(event);
    }

    StreamVerifier m_verifier;
    EventSplitter m_splitter;
    std::string m_errorBody;
    base::TimePoint m_sentAt;
    std::optional<base::TimePoint> m_lastToken;
    base::Duration m_firstToken{};
    std::vector<base::Duration> m_gaps;
};

httplib::Headers headersOf(const std::string &bearerKey)
{
    return {{"Authorization", "Bearer " + bearerKey}, {"Content-Type", "application/json"}};
}

// Returns whether a service's response names another order than the one sent.
bool isForeignOrder(const std::string &body, const std::string &orderKey)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("order") || !value["order"].is_string()) {
        return false;
    }
    const auto order = value["order"].get<std::string>();
    return !order.empty() && !order.ends_with(orderKey);
}

} // namespace

class LoadClient::Connections
{
public:
    explicit Connections(const LoadClientOptions &options)
    {
        for (const auto &it : options.targets) {
            auto client = std::make_unique<http::CheckedClient>(it.address, it.port);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_connection_timeout(base::seconds{2});
            client->set_read_timeout(std::chrono::duration_cast<base::seconds>(options.timeout));
            clients.push_back(std::move(client));
        }
    }

    std::vector<std::unique_ptr<http::CheckedClient>> clients;
};

LoadClient::LoadClient(const LoadClientOptions &options)
    : m_connections(std::make_unique<Connections>(options))
{
}

LoadClient::~LoadClient() = default;

CompletionResult LoadClient::complete(std::size_t target, const CompletionRequest &request)
{
    httplib::Request httpRequest;
    httpRequest.method = "POST";
    httpRequest.path = "/v1/completions";
    httpRequest.headers = headersOf(request.key);
    httpRequest.headers.emplace("X-Traffic-Class", request.trafficClass == base::TrafficClass::Interactive ? "interactive" : "batch");
    httpRequest.headers.emplace("X-Request-Id", request.requestId);
    if (request.deadline > base::Duration{}) {
        httpRequest.headers.emplace("X-Deadline-Ms", std::to_string(base::toMilliseconds(request.deadline)));
    }
    httpRequest.body = json{{"model", request.model}, {"prompt", request.prompt}, {"max_tokens", request.maxTokens}, {"stream", true}}.dump();
    StreamReceiver receiver(request.prompt);
    int status = 0;
    httpRequest.response_handler = [&status](const httplib::Response &response) {
        status = response.status;
        return true;
    };
    httpRequest.content_receiver = [&](const char *data, std::size_t n, std::uint64_t, std::uint64_t) {
        receiver.receive(status, std::string_view(data, n));
        return true;
    };
    const auto result = m_connections->clients.at(target)->send(httpRequest);
    if (!result && result.error() == httplib::Error::Connection) {
        return {};
    }
    return receiver.result(status, result ? TransferEnd::Clean : TransferEnd::Broken);
}

OrderResponse LoadClient::order(std::size_t target, const OrderRequest &request)
{
    OrderResponse result;
    result.key = request.orderKey;
    result.target = target;
    result.sentAt = now();
    auto headers = headersOf(request.bearerKey);
    headers.erase("Content-Type");
    headers.emplace("Idempotency-Key", request.orderKey);
    const auto response = m_connections->clients.at(target)->Post("/v1/services/" + request.route + "/orders", headers, request.body, "application/json");
    result.receivedAt = now();
    if (!response) {
        result.outcome = response.error() == httplib::Error::Connection ? "not_reached" : "unclear";
        return result;
    }
    result.status = response->status;
    result.isReplayed = response->get_header_value("X-Order-Replayed") == "true";
    result.outcome = response->get_header_value("X-Order-Outcome");
    if (result.status != StatusOk) {
        result.errorType = parseErrorBody(response->body).type;
    }
    if (result.outcome.empty()) {
        result.outcome = "refused";
    }
    result.isForeign = result.outcome == "done" && isForeignOrder(response->body, request.orderKey);
    return result;
}

} // namespace carawaylatch::load
