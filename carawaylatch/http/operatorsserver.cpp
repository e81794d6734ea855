// Maps the operators' HTTP API to OperatorHandler. Responses are not cached.
#include "carawaylatch/http/operatorsserver.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "carawaylatch/http/callerjson.h"
#include "carawaylatch/http/callerrequest.h"
#include "carawaylatch/http/httpserver.h"

namespace carawaylatch::http
{

namespace
{

constexpr std::size_t ThreadCount = 8;
constexpr int StatusUnavailable = 503;
constexpr const char *JsonType = "application/json";
constexpr const char *TextType = "text/plain; charset=utf-8";
constexpr const char *MetricsType = "text/plain; version=0.0.4; charset=utf-8";
constexpr const char *PageType = "text/html; charset=utf-8";

base::Result<base::UpstreamId> parseUpstreamId(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("upstream") || !json["upstream"].is_string()) {
        return base::fail(base::ErrorKind::InvalidArgument, "no upstream named; send {\"upstream\":\"ID\"}");
    }
    return base::UpstreamId(json["upstream"].get<std::string>());
}

} // namespace

class OperatorsServer::Impl
{
public:
    Impl(const base::Endpoint &endpoint, OperatorHandler &handler)
        : m_handler(handler)
        , m_server(endpoint, ThreadCount)
    {
        addHealthHandlers();
        addReportHandlers();
        addDrainHandlers();
    }

    HttpServer &server()
    {
        return m_server;
    }

private:
    void addHealthHandlers()
    {
        auto &server = m_server.server();
        server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
            response.set_content("ok\n", TextType);
        });
        server.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
            const std::string reason = m_handler.notReadyBecause();
            response.status = reason.empty() ? 200 : StatusUnavailable;
            response.set_content(reason.empty() ? "ready\n" : reason + "\n", TextType);
        });
    }

    void addReportHandlers()
    {
        auto &server = m_server.server();
        server.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
            response.set_content(m_handler.metricsText(), MetricsType);
        });
        server.Get("/v1/status", [this](const httplib::Request &, httplib::Response &response) {
            response.set_content(m_handler.statusJson(), JsonType);
        });
        server.Get("/", [this](const httplib::Request &, httplib::Response &response) {
            response.set_content(m_handler.dashboard(), PageType);
        });
        server.Post("/v1/explain", [this](const httplib::Request &request, httplib::Response &response) {
            explain(request, response);
        });
    }

    void addDrainHandlers()
    {
        auto &server = m_server.server();
        server.Post("/v1/drain", [this](const httplib::Request &request, httplib::Response &response) {
            applyDrainAction(request, response, &OperatorHandler::drain);
        });
        server.Post("/v1/undrain", [this](const httplib::Request &request, httplib::Response &response) {
            applyDrainAction(request, response, &OperatorHandler::undrain);
        });
    }

    void explain(const httplib::Request &request, httplib::Response &response)
    {
        auto metadata = readRequestMetadata(request);
        auto body = decodeCompletion(request.body, request.body.find("\"messages\"") == std::string::npos ? CompletionForm::Text : CompletionForm::Chat);
        if (!metadata || !body) {
            respondWithError(response, metadata ? body.error() : metadata.error());
            return;
        }
        CompletionCall call;
        call.metadata = std::move(metadata).value();
        call.metadata.path = request.has_param("path") ? request.get_param_value("path") : "/v1/completions";
        call.model = body.value().model;
        call.prompt = std::move(body.value().prompt);
        call.maxTokens = body.value().maxTokens;
        const auto report = m_handler.explainJson(call);
        report ? response.set_content(report.value(), JsonType) : respondWithError(response, report.error());
    }

    void applyDrainAction(const httplib::Request &request, httplib::Response &response, base::Result<void> (OperatorHandler::*action)(const base::UpstreamId &))
    {
        const auto upstream = parseUpstreamId(request.body);
        if (!upstream) {
            respondWithError(response, upstream.error());
            return;
        }
        const auto done = (m_handler.*action)(upstream.value());
        done ? response.set_content("{}", JsonType) : respondWithError(response, done.error());
    }

    OperatorHandler &m_handler;
    HttpServer m_server;
};

OperatorsServer::OperatorsServer(const base::Endpoint &endpoint, OperatorHandler &handler)
    : m_impl(std::make_unique<Impl>(endpoint, handler))
{
}

OperatorsServer::~OperatorsServer()
{
    stop();
}

bool OperatorsServer::start()
{
    return m_impl->server().start();
}

void OperatorsServer::stop()
{
    m_impl->server().stop();
}

const base::Endpoint &OperatorsServer::endpoint() const
{
    return m_impl->server().endpoint();
}

} // namespace carawaylatch::http
