// Opens one connection per attempt.
//
// With a separate connection, cancel() can end an attempt by closing the socket, and
// received bytes can't belong to another request. The meaning of a failure depends
// on the progress of the attempt: if the connection failed, nothing was sent; after
// a 503, the engine ran nothing; after any later failure, the engine may still be
// generating. Cancelled and malformed attempts are stopped by a DELETE request to
// the engine, on a best-effort basis.
#include "carawaylatch/http/engineclient.h"

#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "carawaylatch/http/checkedclient.h"
#include "carawaylatch/http/sseparser.h"
#include "carawaylatch/http/wirejson.h"

namespace carawaylatch::http
{

namespace
{

constexpr int StatusOk = 200;
constexpr std::size_t MaxRefusalBytes = 4096;
constexpr base::Duration CancelTimeout = base::milliseconds{500};

base::Duration atLeastOneMillisecond(base::Duration duration)
{
    return std::max<base::Duration>(duration, base::milliseconds{1});
}

relay::EngineHead parseEngineHead(const httplib::Response &response)
{
    relay::EngineHead head;
    head.attempt = {fromHex(response.get_header_value("X-Attempt-Id"))};
    head.incarnation = {fromHex(response.get_header_value("X-Incarnation"))};
    head.weightsVersion = {std::strtoull(response.get_header_value("X-Weights-Version").c_str(), nullptr, 10)};
    head.salt = {fromHex(response.get_header_value("X-Cache-Salt"))};
    return head;
}

// Parses one response, forwards its events to the listener and records how much of it
// arrived.
class ResponseReader
{
public:
    explicit ResponseReader(relay::EngineListener &listener)
        : m_listener(listener)
    {
    }

    bool onResponse(const httplib::Response &response)
    {
        m_status = response.status;
        if (m_status == StatusOk) {
            m_listener.onHead(parseEngineHead(response));
        }
        return true;
    }

    bool onBytes(std::string_view bytes)
    {
        if (m_status != StatusOk) {
            m_refusal += bytes.substr(0, MaxRefusalBytes - std::min(MaxRefusalBytes, m_refusal.size()));
            return true;
        }
        const auto state = m_parser.feed(bytes, [this](std::string_view data) {
            onEvent(data);
        });
        m_isMalformed |= state == SseParser::State::Failed;
        return !m_isMalformed;
    }

    [[nodiscard]] bool isMalformed() const
    {
        return m_isMalformed;
    }
    [[nodiscard]] bool isDone() const
    {
        return m_done.has_value();
    }
    [[nodiscard]] int status() const
    {
        return m_status;
    }
    [[nodiscard]] const std::string &refusal() const
    {
        return m_refusal;
    }
    [[nodiscard]] const relay::DoneEvent &done() const
    {
        return *m_done;
    }

private:
    void onEvent(std::string_view data)
    {
        auto event = decodeEngineEvent(data);
        if (!event || m_done) {
            m_isMalformed = true;
        } else if (auto *token = std::get_if<relay::TokenEvent>(&event.value())) {
            m_listener.onToken(*token);
        } else {
            m_done = std::get<relay::DoneEvent>(event.value());
        }
    }

    relay::EngineListener &m_listener;
    SseParser m_parser;
    int m_status = 0; // zero until the response headers arrive
    std::string m_refusal;
    std::optional<relay::DoneEvent> m_done;
    bool m_isMalformed = false;
};

httplib::Request toHttpRequest(const relay::EngineRequest &request)
{
    httplib::Request httpRequest;
    httpRequest.set_header("X-Attempt-Id", toHex(request.attempt.value));
    httpRequest.set_header("X-Request-Id", request.requestId);
    if (request.resumeFrom) {
        httpRequest.method = "GET";
        httpRequest.path = "/v1/streams/" + toHex(request.attempt.value) + "?from=" + std::to_string(*request.resumeFrom);
        return httpRequest;
    }
    httpRequest.method = "POST";
    httpRequest.path = "/v1/completions";
    httpRequest.set_header("Content-Type", "application/json");
    httpRequest.body = encodeEngineRequest(request);
    return httpRequest;
}

} // namespace

class EngineClient::Impl
{
public:
    Impl(base::Duration connectTimeout, LeavingCallback onLeaving)
        : m_connectTimeout(connectTimeout)
        , m_onLeaving(std::move(onLeaving))
    {
    }

    void run(const relay::EngineRequest &request, relay::EngineListener &listener)
    {
        CheckedClient client(request.endpoint.address, request.endpoint.port);
        client.set_connection_timeout(std::chrono::duration_cast<base::microseconds>(m_connectTimeout));
        client.set_read_timeout(std::chrono::duration_cast<base::microseconds>(atLeastOneMillisecond(request.timeout)));
        client.set_tcp_nodelay(true);
        ResponseReader reader(listener);
        httplib::Request httpRequest = toHttpRequest(request);
        httpRequest.response_handler = [&reader](const httplib::Response &response) {
            return reader.onResponse(response);
        };
        httpRequest.content_receiver = [this, &reader, &request](const char *data, std::size_t n, std::uint64_t, std::uint64_t) {
            return !isCancelled(request.attempt) && reader.onBytes({data, n});
        };
        {
            const std::lock_guard lock(m_mutex);
            m_running[request.attempt] = {&client, false};
        }
        const httplib::Result result = client.send(httpRequest);
        const bool wasCancelled = unregister(request.attempt);
        reportOutcome(request, reader, result, wasCancelled, listener);
    }

    void cancel(base::AttemptId attempt)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_running.find(attempt);
        if (it != m_running.end()) {
            it->second.isCancelled = true;
            it->second.client->stop();
        }
    }

private:
    struct RunningAttempt
    {
        CheckedClient *client = nullptr;
        bool isCancelled = false;
    };

    bool isCancelled(base::AttemptId attempt)
    {
        const std::lock_guard lock(m_mutex);
        return m_running[attempt].isCancelled;
    }

    bool unregister(base::AttemptId attempt)
    {
        const std::lock_guard lock(m_mutex);
        const bool wasCancelled = m_running[attempt].isCancelled;
        m_running.erase(attempt);
        return wasCancelled;
    }

    void reportOutcome(const relay::EngineRequest &request, const ResponseReader &reader, const httplib::Result &result, bool wasCancelled,
                       relay::EngineListener &listener)
    {
        using base::ErrorKind;
        using relay::BreakKind;
        const std::string upstream = request.upstream.value();
        if (wasCancelled) {
            requestCancel(request);
            listener.onBroken(BreakKind::Cancelled, base::fail(ErrorKind::Cancelled, "the attempt at " + upstream + " was cancelled"));
        } else if (reader.isMalformed()) {
            requestCancel(request);
            listener.onBroken(BreakKind::Malformed, base::fail(ErrorKind::Truncated, upstream + " sent a malformed event; check its version"));
        } else if (!result && result.error() == httplib::Error::Connection) {
            listener.onBroken(BreakKind::NotSent, base::fail(ErrorKind::Unavailable, upstream + " could not be reached; trying another upstream"));
        } else if (reader.status() != 0 && reader.status() != StatusOk) {
            reportRefusal(request, reader, listener);
        } else if (result && reader.isDone()) {
            listener.onDone(reader.done());
        } else {
            listener.onBroken(BreakKind::Lost, base::fail(ErrorKind::Truncated, "lost the connection to " + upstream + " (" + to_string(result.error()) + ")"));
        }
    }

    void reportRefusal(const relay::EngineRequest &request, const ResponseReader &reader, relay::EngineListener &listener)
    {
        const RefusalBody refusal = decodeRefusal(reader.refusal());
        if (refusal.type == "leaving" && m_onLeaving) {
            m_onLeaving(request.upstream);
        }
        listener.onBroken(relay::BreakKind::Refused,
                          base::fail(base::ErrorKind::Overloaded, request.upstream.value() + " refused with status " + std::to_string(reader.status()) + " ("
                                                                      + refusal.type + "); trying another upstream"));
    }

    void requestCancel(const relay::EngineRequest &request) const
    {
        CheckedClient client(request.endpoint.address, request.endpoint.port);
        client.set_connection_timeout(std::chrono::duration_cast<base::microseconds>(CancelTimeout));
        client.set_read_timeout(std::chrono::duration_cast<base::microseconds>(CancelTimeout));
        static_cast<void>(client.Delete("/v1/streams/" + toHex(request.attempt.value)));
    }

    const base::Duration m_connectTimeout;
    const LeavingCallback m_onLeaving;
    std::mutex m_mutex;
    std::map<base::AttemptId, RunningAttempt> m_running; // guarded by m_mutex; the clients are locals of run()
};

EngineClient::EngineClient(base::Duration connectTimeout, LeavingCallback onLeaving)
    : m_impl(std::make_unique<Impl>(connectTimeout, std::move(onLeaving)))
{
}

EngineClient::~EngineClient() = default;

void EngineClient::run(const relay::EngineRequest &request, relay::EngineListener &listener)
{
    m_impl->run(request, listener);
}

void EngineClient::cancel(base::AttemptId attempt)
{
    m_impl->cancel(attempt);
}

} // namespace carawaylatch::http
