// Implements the callers' server on cpp-httplib with one thread per request.
//
// A streamed request takes a second thread from a pool that relays the stream, since
// httplib needs the status before it pulls the body (see streambridge.h). The
// writing thread detects that the caller disconnected: by a failed write, or by
// polling the socket while there is nothing to write.
#include "carawaylatch/http/callersserver.h"

#include <httplib.h>

#include <atomic>
#include <random>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/http/callerjson.h"
#include "carawaylatch/http/callerrequest.h"
#include "carawaylatch/http/httpserver.h"
#include "carawaylatch/http/streambridge.h"
#include "carawaylatch/http/wirejson.h"

namespace carawaylatch::http
{

namespace
{

constexpr const char *JsonType = "application/json";
constexpr const char *StreamType = "text/event-stream";
constexpr base::Duration DisconnectPollInterval = base::milliseconds{50}; // between two checks of the socket while there is nothing to write

} // namespace

class CallersServer::Impl
{
public:
    Impl(const CallersServerOptions &options, CallerHandler &handler)
        : m_options(options)
        , m_handler(handler)
        , m_relayThreads(options.maxStreams)
        , m_idSeed((static_cast<std::uint64_t>(std::random_device{}()) << 32U) ^ std::random_device{}())
        , m_server(options.endpoint, options.maxStreams)
    {
        configureServer();
        addHandlers();
    }

    bool start()
    {
        return m_server.start();
    }

    void stop()
    {
        m_server.stop();
        if (!m_isStopped) {
            m_isStopped = true;
            m_relayThreads.shutdown();
        }
    }

    [[nodiscard]] const base::Endpoint &endpoint() const
    {
        return m_server.endpoint();
    }

private:
    void configureServer()
    {
        auto &server = m_server.server();
        server.set_payload_max_length(m_options.maxBodyBytes);
        server.set_error_handler([this](const httplib::Request &, httplib::Response &response) {
            addErrorBody(response);
        });
        server.set_exception_handler([](const httplib::Request &, httplib::Response &response, const std::exception_ptr &) {
            respondWithError(response, base::fail(base::ErrorKind::Internal, "the router failed on this request; report its request id"));
        });
    }

    // Adds a JSON error body to responses whose status httplib set by itself.
    void addErrorBody(httplib::Response &response) const
    {
        if (!response.body.empty()) {
            return;
        }
        const int status = response.status;
        std::string message = "no such path; see /v1/completions, /v1/chat/completions, /v1/models and /v1/services/ROUTE";
        base::ErrorKind kind = base::ErrorKind::NotFound;
        if (status == 413) {
            kind = base::ErrorKind::InvalidArgument;
            message = "the body is over " + std::to_string(m_options.maxBodyBytes) + " bytes; send a shorter prompt";
        } else if (status == 400) {
            kind = base::ErrorKind::InvalidArgument;
            message = "the request is not valid HTTP, or its headers or body are incomplete; send all of it, with header lines under 8 KB";
        } else if (status != 404) {
            return;
        }
        response.set_content(encodeError(base::fail(kind, message)), JsonType);
        response.status = status;
    }

    void addHandlers()
    {
        auto &server = m_server.server();
        server.Post("/v1/completions", [this](const httplib::Request &request, httplib::Response &response) {
            complete(request, response, CompletionForm::Text);
        });
        server.Post("/v1/chat/completions", [this](const httplib::Request &request, httplib::Response &response) {
            complete(request, response, CompletionForm::Chat);
        });
        server.Get("/v1/models", [this](const httplib::Request &request, httplib::Response &response) {
            listModels(request, response);
        });
        const auto service = [this](const httplib::Request &request, httplib::Response &response) {
            callService(request, response);
        };
        constexpr const char *ServicePath = "/v1/services/.+";
        server.Get(ServicePath, service);
        server.Post(ServicePath, service);
        server.Put(ServicePath, service);
        server.Patch(ServicePath, service);
        server.Delete(ServicePath, service);
    }

    // Reads the request's metadata, generates a request id if there is none and sets it
    // in the response.
    base::Result<RequestMetadata> readMetadata(const httplib::Request &request, httplib::Response &response)
    {
        auto metadata = readRequestMetadata(request);
        if (metadata && metadata.value().requestId.empty()) {
            metadata.value().requestId = toHex(base::combineHashes(m_idSeed, ++m_requestCounter));
        }
        if (metadata) {
            response.set_header("X-Request-Id", metadata.value().requestId);
        }
        return metadata;
    }

    void complete(const httplib::Request &request, httplib::Response &response, CompletionForm form)
    {
        auto metadata = readMetadata(request, response);
        if (!metadata) {
            respondWithError(response, metadata.error());
            return;
        }
        auto body = decodeCompletion(request.body, form);
        if (!body) {
            respondWithError(response, body.error());
            return;
        }
        const CompletionIdentity identity{metadata.value().requestId, body.value().model, form};
        auto call = std::make_shared<CompletionCall>();
        call->metadata = std::move(metadata).value();
        call->model = body.value().model;
        call->maxTokens = body.value().maxTokens;
        call->prompt = std::move(body.value().prompt);
        if (body.value().streaming == Streaming::On) {
            completeStream(std::move(call), identity, response);
        } else {
            completeUnary(*call, identity, response);
        }
    }

    void completeUnary(const CompletionCall &call, const CompletionIdentity &identity, httplib::Response &response)
    {
        relay::CollectingSink sink;
        m_handler.complete(call, sink);
        if (sink.done()) {
            response.set_content(encodeCompletion(identity, sink.text(), *sink.done()), JsonType);
        } else {
            respondWithError(response, sink.error().value_or(base::fail(base::ErrorKind::Internal, "the router produced no response; report the request id")));
        }
    }

    void completeStream(std::shared_ptr<CompletionCall> call, const CompletionIdentity &identity, httplib::Response &response)
    {
        auto bridge = std::make_shared<StreamBridge>(identity);
        m_relayThreads.enqueue([this, call = std::move(call), bridge] {
            m_handler.complete(*call, *bridge);
        });
        if (bridge->waitForStart() == StreamBridge::StartResult::Refused) {
            respondWithError(response, bridge->error());
            return;
        }
        response.set_header("Cache-Control", "no-store");
        response.set_chunked_content_provider(
            StreamType,
            [bridge](std::size_t, httplib::DataSink &sink) {
                return writeBuffered(*bridge, sink);
            },
            [bridge](bool isComplete) {
                if (!isComplete) {
                    bridge->onCallerDisconnected();
                }
            });
    }

    // Writes the buffered events. Returns false to abort the chunked transfer, so that
    // the caller can't mistake a truncated response for a complete one.
    static bool writeBuffered(StreamBridge &bridge, httplib::DataSink &sink)
    {
        auto phase = StreamBridge::Phase::Open;
        const std::string bytes = bridge.takeBuffered(DisconnectPollInterval, phase);
        const bool isWritten = bytes.empty() ? sink.is_writable() : sink.write(bytes.data(), bytes.size());
        if (!isWritten) {
            bridge.onCallerDisconnected();
            return false;
        }
        if (phase == StreamBridge::Phase::Complete) {
            sink.done();
        }
        return phase != StreamBridge::Phase::Failed;
    }

    void listModels(const httplib::Request &request, httplib::Response &response)
    {
        const auto metadata = readMetadata(request, response);
        if (!metadata) {
            respondWithError(response, metadata.error());
            return;
        }
        const auto models = m_handler.models(metadata.value());
        models ? response.set_content(encodeModels(models.value()), JsonType) : respondWithError(response, models.error());
    }

    void callService(const httplib::Request &request, httplib::Response &response)
    {
        auto metadata = readMetadata(request, response);
        if (!metadata) {
            respondWithError(response, metadata.error());
            return;
        }
        ServiceCall call;
        call.metadata = std::move(metadata).value();
        call.metadata.path = request.target;
        call.method = request.method;
        call.contentType = request.get_header_value("Content-Type");
        call.body = request.body;
        call.idempotencyKey = request.get_header_value("Idempotency-Key");
        writeServiceResult(m_handler.callService(call), response);
    }

    static void writeServiceResult(const ServiceResult &serviceResult, httplib::Response &response)
    {
        static constexpr std::string_view OutcomeNames[] = {"", "done", "not_run", "unknown", "running"};
        if (serviceResult.outcome != OrderOutcome::None) {
            response.set_header("X-Order-Outcome", std::string(OutcomeNames[static_cast<std::size_t>(serviceResult.outcome)]));
        }
        if (serviceResult.isReplayed) {
            response.set_header("X-Order-Replayed", "true");
        }
        if (serviceResult.error) {
            respondWithError(response, *serviceResult.error);
            return;
        }
        response.status = serviceResult.response.status;
        response.set_content(serviceResult.response.body, serviceResult.response.contentType);
    }

    CallersServerOptions m_options;
    CallerHandler &m_handler;
    httplib::ThreadPool m_relayThreads;
    const std::uint64_t m_idSeed;
    std::atomic<std::uint64_t> m_requestCounter = 0;
    bool m_isStopped = false;
    HttpServer m_server;
};

CallersServer::CallersServer(const CallersServerOptions &options, CallerHandler &handler)
    : m_impl(std::make_unique<Impl>(options, handler))
{
}

CallersServer::~CallersServer()
{
    stop();
}

bool CallersServer::start()
{
    return m_impl->start();
}

void CallersServer::stop()
{
    m_impl->stop();
}

const base::Endpoint &CallersServer::endpoint() const
{
    return m_impl->endpoint();
}

} // namespace carawaylatch::http
