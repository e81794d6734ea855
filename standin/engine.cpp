// Handlers of the engine's HTTP interface (docs/design/wire.md). A stream is read
// from the model by token index, so that a first read, a resumed read and a
// repeated read share their code.
#include "standin/engine.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "carawaylatch/http/wirejson.h"

namespace carawaylatch::standin
{

namespace
{

using Json = nlohmann::json;

constexpr const char *JsonType = "application/json";
constexpr const char *StreamType = "text/event-stream";
constexpr base::Duration ReadTimeout = base::milliseconds{200};
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

void setErrorResponse(httplib::Response &response, int status, std::string_view type, std::string_view message)
{
    response.status = status;
    response.set_content(Json{{"error", {{"type", type}, {"message", message}}}}.dump(), JsonType);
}

std::string formatEvent(const Json &json)
{
    return "data: " + json.dump() + "\n\n";
}

std::string doneEvent(const JobProgress &progress)
{
    return formatEvent(
        {{"done", true},
         {"finish_reason", "length"},
         {"count", progress.count},
         {"usage", {{"prompt_tokens", progress.promptTokens}, {"cached_tokens", progress.cachedTokens}, {"completion_tokens", progress.count}}}});
}

std::string_view stateName(EngineState state)
{
    static constexpr std::string_view StateNames[] = {"live", "leaving", "loading"};
    return StateNames[static_cast<std::size_t>(state)];
}

JobRequest parseJob(const httplib::Request &request)
{
    const Json json = Json::parse(request.body);
    JobRequest job;
    job.attempt = {http::fromHex(request.get_header_value("X-Attempt-Id"))};
    job.prompt = json.at("prompt").get<std::string>();
    job.salt = {http::fromHex(json.value("cache_salt", ""))};
    job.maxTokens = json.value("max_tokens", 16U);
    job.priority = json.value("priority", 0U);
    job.firstIndex = json.value("continue_from", std::uint64_t{0});
    return job;
}

// Writes the tokens of the job from index `from` on, until the job is done or
// cancelled or the client has closed the connection. Returns whether the stream
// is complete.
bool writeStream(EngineModel &model, base::AttemptId attempt, std::uint64_t from, httplib::DataSink &sink)
{
    std::uint64_t next = from;
    while (true) {
        const auto result = model.wait(attempt, next, ReadTimeout);
        if (!result || result.value().isCancelled) {
            return false;
        }
        const JobProgress &progress = result.value();
        std::string out;
        next = progress.firstIndex;
        for (const auto &it : progress.tokens) {
            out += formatEvent({{"index", next}, {"text", it}});
            ++next;
        }
        if (progress.isDone) {
            out += doneEvent(progress);
        }
        if (!out.empty() && !sink.write(out.data(), out.size())) {
            return false;
        }
        if (progress.isDone) {
            sink.done();
            return true;
        }
        if (!sink.is_writable()) {
            return false;
        }
    }
}

} // namespace

Engine::Engine(const EngineOptions &options)
    : m_model(options)
    , m_httpServer(options.endpoint)
{
    addStreamHandlers();
    addStateHandlers();
}

bool Engine::start()
{
    return m_httpServer.start();
}

void Engine::stop()
{
    m_httpServer.stop();
}

const base::Endpoint &Engine::endpoint() const
{
    return m_httpServer.endpoint();
}

EngineModel &Engine::model()
{
    return m_model;
}

void Engine::addStreamHandlers()
{
    auto &server = m_httpServer.server();
    const auto sendStream = [this](httplib::Response &response, base::AttemptId attempt, std::uint64_t from) {
        response.set_header("X-Attempt-Id", http::toHex(attempt.value));
        response.set_header("X-Incarnation", http::toHex(m_model.incarnation().value));
        response.set_chunked_content_provider(StreamType, [this, attempt, from](std::size_t, httplib::DataSink &sink) {
            return writeStream(m_model, attempt, from, sink);
        });
    };
    server.Post("/v1/completions", [this, sendStream](const httplib::Request &request, httplib::Response &response) {
        JobRequest job;
        try {
            job = parseJob(request);
        } catch (const Json::exception &ec) {
            setErrorResponse(response, StatusBadRequest, "invalid_request", ec.what());
            return;
        }
        const base::AttemptId attempt = job.attempt;
        const base::CacheSalt salt = job.salt;
        const std::uint64_t from = job.firstIndex;
        const auto weights = m_model.submit(std::move(job));
        if (!weights) {
            setErrorResponse(response, StatusUnavailable, weights.error().message, "nothing ran; try another engine");
            return;
        }
        response.set_header("X-Weights-Version", std::to_string(weights.value().value));
        response.set_header("X-Cache-Salt", http::toHex(salt.value));
        sendStream(response, attempt, from);
    });
    server.Get("/v1/streams/([0-9a-f]+)", [this, sendStream](const httplib::Request &request, httplib::Response &response) {
        const base::AttemptId attempt{http::fromHex(std::string(request.matches[1]))};
        const std::uint64_t from = std::strtoull(request.get_param_value("from").c_str(), nullptr, 10);
        const auto jobContext = m_model.jobContext(attempt);
        if (!jobContext) {
            setErrorResponse(response, StatusNotFound, "not_found", "no such stream");
            return;
        }
        response.set_header("X-Weights-Version", std::to_string(jobContext.value().weights.value));
        response.set_header("X-Cache-Salt", http::toHex(jobContext.value().salt.value));
        sendStream(response, attempt, from);
    });
    server.Delete("/v1/streams/([0-9a-f]+)", [this](const httplib::Request &request, httplib::Response &response) {
        m_model.cancel({http::fromHex(std::string(request.matches[1]))});
        response.set_content("{}", JsonType);
    });
}

void Engine::addStateHandlers()
{
    auto &server = m_httpServer.server();
    server.Get("/v1/load", [this](const httplib::Request &, httplib::Response &response) {
        const LoadSnapshot load = m_model.loadReport();
        const auto &options = m_model.options();
        response.set_content(Json{{"incarnation", http::toHex(m_model.incarnation().value)},
                                  {"model", options.model.value()},
                                  {"weights_version", load.weights.value},
                                  {"adapter", ""},
                                  {"state", stateName(load.state)},
                                  {"running", load.running},
                                  {"waiting", load.waiting},
                                  {"queued_tokens", load.queuedTokens},
                                  {"used_blocks", load.usedBlocks},
                                  {"capacity_blocks", options.capacityBlocks},
                                  {"prefill_tokens_per_second", options.prefillTokensPerSecond},
                                  {"decode_ms_per_token", base::toSeconds(options.decodeInterval) * 1000},
                                  {"age_ms", base::toMilliseconds(base::SteadyClock().now() - load.at)}}
                                 .dump(),
                             JsonType);
    });
    server.Get("/v1/cache/events", [this](const httplib::Request &request, httplib::Response &response) {
        std::uint64_t next = std::strtoull(request.get_param_value("since").c_str(), nullptr, 10);
        Json events = Json::array();
        for (const auto &it : m_model.cacheEvents(next)) {
            events.push_back({{"seq", it.sequence}, {"op", it.op == CacheEvent::Op::Stored ? "stored" : "evicted"}, {"block", http::toHex(it.block)}});
            next = it.sequence;
        }
        response.set_content(Json{{"incarnation", http::toHex(m_model.incarnation().value)}, {"next", next}, {"events", std::move(events)}}.dump(), JsonType);
    });
    server.Post("/v1/orders", [this](const httplib::Request &request, httplib::Response &response) {
        try {
            const Json json = Json::parse(request.body);
            const base::WeightsVersion weights{json.at("weights_version").get<std::uint64_t>()};
            const auto done = m_model.loadWeights({json.at("fence").get<std::uint64_t>()}, weights);
            done ? response.set_content(Json{{"weights_version", weights.value}}.dump(), JsonType)
                 : setErrorResponse(response, StatusConflict, "old_fence", done.error().message);
        } catch (const Json::exception &ec) {
            setErrorResponse(response, StatusBadRequest, "invalid_request", ec.what());
        }
    });
    server.Post("/admin/leave", [this](const httplib::Request &, httplib::Response &response) {
        m_model.leave();
        response.set_content("{}", JsonType);
    });
    server.Get("/admin/counters", [this](const httplib::Request &, httplib::Response &response) {
        const EngineCounters it = m_model.counters();
        response.set_content(Json{{"jobs", it.jobs},
                                  {"cancelled", it.cancelled},
                                  {"wrong_hits", it.wrongHits},
                                  {"prompt_tokens", it.promptTokens},
                                  {"cached_tokens", it.cachedTokens},
                                  {"stale_orders", it.staleOrders}}
                                 .dump(),
                             JsonType);
    });
}

} // namespace carawaylatch::standin
