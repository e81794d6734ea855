// A call of any method and path takes the configured time and returns its path,
// its order key and the size of its body. POST /admin/faults
// {"mode":"up"|"refuse"|"lose_answers","count":N} makes the next N calls refuse,
// or execute and then close the connection without a response.
#include "standin/service.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <mutex>
#include <thread>
#include <vector>

#include "carawaylatch/base/incarnation.h"
#include "carawaylatch/http/wirejson.h"

namespace carawaylatch::standin
{

namespace
{

using Json = nlohmann::json;

constexpr const char *JsonType = "application/json";
constexpr int StatusUnavailable = 503;

struct JournalEntry
{
    std::string key;
    std::string attempt;
    std::string path;
};

} // namespace

class Service::Impl
{
public:
    explicit Impl(const ServiceOptions &options)
        : m_runTime(options.runTime)
        , m_incarnation(base::newIncarnation())
        , m_httpServer(options.endpoint)
    {
        addStateHandlers();
        addCallHandlers();
    }

    http::HttpServer &httpServer()
    {
        return m_httpServer;
    }

private:
    void addStateHandlers()
    {
        auto &server = m_httpServer.server();
        server.Get("/v1/load", [this](const httplib::Request &, httplib::Response &response) {
            const std::lock_guard lock(m_mutex);
            response.set_content(Json{{"incarnation", http::toHex(m_incarnation.value)}, {"state", m_state}, {"running", m_running}, {"age_ms", 0}}.dump(),
                                 JsonType);
        });
        server.Get("/journal", [this](const httplib::Request &, httplib::Response &response) {
            const std::lock_guard lock(m_mutex);
            Json items = Json::array();
            for (const auto &it : m_journal) {
                items.push_back({{"key", it.key}, {"attempt", it.attempt}, {"path", it.path}});
            }
            response.set_content(Json{{"items", std::move(items)}}.dump(), JsonType);
        });
        server.Post("/admin/faults", [this](const httplib::Request &request, httplib::Response &response) {
            const Json json = Json::parse(request.body);
            const std::lock_guard lock(m_mutex);
            m_fault = json.at("mode").get<std::string>();
            m_faultCalls = json.value("count", std::uint64_t{1});
            response.set_content("{}", JsonType);
        });
        server.Post("/admin/leave", [this](const httplib::Request &, httplib::Response &response) {
            const std::lock_guard lock(m_mutex);
            m_state = "leaving";
            response.set_content("{}", JsonType);
        });
    }

    void addCallHandlers()
    {
        const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
            handleCall(request, response);
        };
        auto &server = m_httpServer.server();
        server.Get("/.*", handler);
        server.Post("/.*", handler);
        server.Put("/.*", handler);
        server.Delete("/.*", handler);
        server.Patch("/.*", handler);
    }

    void handleCall(const httplib::Request &request, httplib::Response &response)
    {
        response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
        response.set_header("X-Incarnation", http::toHex(m_incarnation.value));
        const std::string fault = startCall(request);
        if (fault == "refuse" || fault == "leaving") {
            response.status = StatusUnavailable;
            const std::string type = fault == "leaving" ? fault : "overloaded";
            response.set_content(Json{{"error", {{"type", type}, {"message", "nothing ran"}}}}.dump(), JsonType);
            return;
        }
        std::this_thread::sleep_for(m_runTime);
        finishCall();
        const Json result{{"ran", request.path}, {"order", request.get_header_value("X-Order-Key")}, {"bytes", request.body.size()}};
        if (fault == "lose_answers") {
            response.set_content_provider(1, JsonType, [](std::size_t, std::size_t, httplib::DataSink &) {
                return false;
            });
            return;
        }
        response.set_content(result.dump(), JsonType);
    }

    // Records the call in the journal unless it is refused. Returns the fault to
    // inject; "up" for none.
    std::string startCall(const httplib::Request &request)
    {
        const std::lock_guard lock(m_mutex);
        std::string fault = m_state == "leaving" ? m_state : "up";
        if (m_faultCalls > 0) {
            --m_faultCalls;
            fault = m_fault;
        }
        if (fault == "refuse" || fault == "leaving") {
            return fault;
        }
        ++m_running;
        if (request.has_header("X-Order-Key")) {
            m_journal.push_back({request.get_header_value("X-Order-Key"), request.get_header_value("X-Attempt-Id"), request.path});
        }
        return fault;
    }

    void finishCall()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
    }

    const base::Duration m_runTime;
    const base::Incarnation m_incarnation;
    std::mutex m_mutex;
    // All members below are guarded by m_mutex.
    std::vector<JournalEntry> m_journal;
    std::string m_fault = "up";
    std::uint64_t m_faultCalls = 0;
    std::string m_state = "live";
    int m_running = 0;
    http::HttpServer m_httpServer;
};

Service::Service(const ServiceOptions &options)
    : m_impl(std::make_unique<Impl>(options))
{
}

Service::~Service()
{
    stop();
}

bool Service::start()
{
    return m_impl->httpServer().start();
}

void Service::stop()
{
    m_impl->httpServer().stop();
}

const base::Endpoint &Service::endpoint() const
{
    return m_impl->httpServer().endpoint();
}

} // namespace carawaylatch::standin
