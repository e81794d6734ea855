// Handlers of the object API.
//
// Faults are injected around the call of the store: "down" returns 503 without
// the call, "slow" delays it, and "lose_answers" performs the call and then
// closes the connection without a response, so that a write takes effect although
// the caller gets no response. A fault may be limited to the callers of one
// failure domain, which simulates a network partition between that domain and the
// platform.
#include "standin/platform.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <charconv>
#include <map>
#include <mutex>
#include <thread>

#include "carawaylatch/store/objectjson.h"

namespace carawaylatch::standin
{

namespace
{

using Json = nlohmann::json;

constexpr int StatusUnavailable = 503;
constexpr base::Duration MaxWatchWait = base::seconds{20};
constexpr const char *JsonType = "application/json";

enum class FaultMode {
    Up,
    Down,
    Slow,
    LoseResponses,
};

struct Fault
{
    FaultMode mode = FaultMode::Up;
    base::Duration delay{};
    std::uint64_t callsLeft = UINT64_MAX;
    std::uint64_t skip = 0; // calls that succeed before the first failure
    std::string prefix; // name prefix of the affected objects
};

// Returns the name of the requested object; empty for lists and watches.
std::string objectName(const httplib::Request &request)
{
    constexpr std::string_view Path = "/v1/objects/";
    return request.path.starts_with(Path) ? request.path.substr(Path.size()) : std::string();
}

int httpStatus(base::ErrorKind kind)
{
    switch (kind) {
    case base::ErrorKind::NotFound:
        return 404;
    case base::ErrorKind::Conflict:
        return 412;
    case base::ErrorKind::StaleState:
        return 410;
    case base::ErrorKind::InvalidArgument:
        return 413;
    default:
        return StatusUnavailable;
    }
}

void setErrorResponse(httplib::Response &response, const base::Error &error)
{
    response.status = httpStatus(error.kind);
    response.set_content(Json{{"error", {{"message", error.message}}}}.dump(), JsonType);
}

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Returns the expected version of a conditional write: zero for If-None-Match, and
// a version that never matches for a write without a condition.
store::Version expectedVersion(const httplib::Request &request)
{
    if (request.has_header("If-None-Match")) {
        return {};
    }
    return {request.has_header("If-Match") ? parseNumber(request.get_header_value("If-Match")) : UINT64_MAX};
}

} // namespace

class Platform::Impl
{
public:
    explicit Impl(const PlatformOptions &options)
        : m_listLag(options.listLag)
        , m_httpServer(options.endpoint)
    {
        addObjectHandlers();
        addAdminHandlers();
    }

    http::HttpServer &httpServer()
    {
        return m_httpServer;
    }
    store::MemoryStore &store()
    {
        return m_store;
    }

    void setFault(const Json &json)
    {
        static const std::map<std::string, FaultMode> Modes{
            {"up", FaultMode::Up}, {"down", FaultMode::Down}, {"slow", FaultMode::Slow}, {"lose_answers", FaultMode::LoseResponses}};
        const std::uint64_t count = json.value("count", std::uint64_t{0});
        const Fault fault{Modes.at(json.at("mode").get<std::string>()), base::milliseconds{json.value("delay_ms", 0)}, count == 0 ? UINT64_MAX : count,
                          json.value("skip", std::uint64_t{0}), json.value("prefix", "")};
        const std::lock_guard lock(m_mutex);
        m_faults[json.value("failure_domain", "")] = fault;
    }

private:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    void addObjectHandlers()
    {
        auto &server = m_httpServer.server();
        server.Get("/v1/objects/(.+)", withFaults(m_reads, [this](const auto &request, auto &response) {
                       const auto object = m_store.read(std::string(request.matches[1]));
                       object ? response.set_content(store::encodeObject(object.value()), JsonType) : setErrorResponse(response, object.error());
                   }));
        server.Put("/v1/objects/(.+)", withFaults(m_writes, [this](const auto &request, auto &response) {
                       const auto version = m_store.write(std::string(request.matches[1]), request.body, expectedVersion(request));
                       version ? response.set_content(store::encodeVersion(version.value()), JsonType) : setErrorResponse(response, version.error());
                   }));
        server.Delete("/v1/objects/(.+)", withFaults(m_writes, [this](const auto &request, auto &response) {
                          const auto done = m_store.remove(std::string(request.matches[1]), expectedVersion(request));
                          done ? response.set_content("{}", JsonType) : setErrorResponse(response, done.error());
                      }));
        server.Get("/v1/list", withFaults(m_reads, [this](const auto &request, auto &response) {
                       response.set_content(store::encodeChanges(m_store.list(request.get_param_value("prefix")).value()), JsonType);
                   }));
        server.Get("/v1/watch", withFaults(m_watches, [this](const auto &request, auto &response) {
                       const base::Duration wait = std::min<base::Duration>(MaxWatchWait, base::milliseconds{parseNumber(request.get_param_value("wait_ms"))});
                       const store::Version since{parseNumber(request.get_param_value("since"))};
                       const auto changes = m_store.watch(request.get_param_value("prefix"), since, wait);
                       changes ? response.set_content(store::encodeChanges(changes.value()), JsonType) : setErrorResponse(response, changes.error());
                   }));
        server.Get("/v1/vms", withFaults(m_reads, [this](const auto &, auto &response) {
                       response.set_content(store::encodeVms(m_store.vms().value()), JsonType);
                   }));
    }

    void addAdminHandlers()
    {
        auto &server = m_httpServer.server();
        server.Post("/admin/faults", [this](const httplib::Request &request, httplib::Response &response) {
            setFault(Json::parse(request.body));
            response.set_content("{}", JsonType);
        });
        server.Post("/admin/vms", [this](const httplib::Request &request, httplib::Response &response) {
            auto vms = store::decodeVms(request.body);
            if (!vms) {
                setErrorResponse(response, vms.error());
                return;
            }
            publishVmsAfterLag(std::move(vms).value());
            response.set_content("{}", JsonType);
        });
        server.Get("/admin/counters", [this](const httplib::Request &, httplib::Response &response) {
            response.set_content(Json{{"reads", m_reads.load()}, {"writes", m_writes.load()}, {"watches", m_watches.load()}}.dump(), JsonType);
        });
    }

    // Returns the fault to inject into this call and counts the call against the
    // limits of the fault.
    Fault consumeFault(const httplib::Request &request)
    {
        const std::string domain = request.get_header_value("X-Failure-Domain");
        const std::lock_guard lock(m_mutex);
        auto it = m_faults.find(domain);
        if (it == m_faults.end()) {
            it = m_faults.find("");
        }
        if (it == m_faults.end() || it->second.callsLeft == 0 || !objectName(request).starts_with(it->second.prefix)) {
            return {};
        }
        if (it->second.skip > 0) {
            --it->second.skip;
            return {};
        }
        --it->second.callsLeft;
        return it->second;
    }

    Handler withFaults(std::atomic<std::uint64_t> &counter, Handler handler)
    {
        return [this, &counter, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
            ++counter;
            const Fault fault = consumeFault(request);
            if (fault.mode == FaultMode::Down) {
                setErrorResponse(response, base::fail(base::ErrorKind::Unavailable, "the platform is down"));
                return;
            }
            if (fault.mode == FaultMode::Slow) {
                std::this_thread::sleep_for(fault.delay);
            }
            handler(request, response);
            if (fault.mode == FaultMode::LoseResponses) {
                truncateResponse(response);
            }
        };
    }

    // Makes the server close the connection without a usable response: the body ends
    // before the announced length.
    static void truncateResponse(httplib::Response &response)
    {
        response.body.clear();
        response.headers.clear();
        response.set_content_provider(1, JsonType, [](std::size_t, std::size_t, httplib::DataSink &) {
            return false;
        });
    }

    void publishVmsAfterLag(std::vector<store::VmRecord> vms)
    {
        const std::lock_guard lock(m_mutex);
        m_vmPublishers.emplace_back([this, vms = std::move(vms)](const std::stop_token &stop) mutable {
            const auto publishAt = std::chrono::steady_clock::now() + m_listLag;
            while (!stop.stop_requested() && std::chrono::steady_clock::now() < publishAt) {
                std::this_thread::sleep_for(base::milliseconds{10});
            }
            m_store.setVms(std::move(vms));
        });
    }

    const base::Duration m_listLag;
    store::MemoryStore m_store;
    std::atomic<std::uint64_t> m_reads = 0;
    std::atomic<std::uint64_t> m_writes = 0;
    std::atomic<std::uint64_t> m_watches = 0;
    std::mutex m_mutex;
    std::map<std::string, Fault> m_faults; // by failure domain, "" for all callers; guarded by m_mutex
    http::HttpServer m_httpServer;
    std::vector<std::jthread> m_vmPublishers; // guarded by m_mutex; declared after the store, which the threads use
};

Platform::Platform(const PlatformOptions &options)
    : m_impl(std::make_unique<Impl>(options))
{
}

Platform::~Platform()
{
    stop();
}

bool Platform::start()
{
    return m_impl->httpServer().start();
}

void Platform::stop()
{
    m_impl->httpServer().stop();
}

const base::Endpoint &Platform::endpoint() const
{
    return m_impl->httpServer().endpoint();
}

void Platform::injectFault(const PlatformFault &fault)
{
    m_impl->setFault({{"mode", fault.mode}, {"count", fault.count}, {"skip", fault.skip}, {"prefix", fault.prefix}, {"failure_domain", fault.domain}});
}

store::MemoryStore &Platform::store()
{
    return m_impl->store();
}

} // namespace carawaylatch::standin
