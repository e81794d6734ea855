// HTTP client with a pool of httplib clients, each used by one call at a time.
//
// The error of a failed write depends on how far the call got. If no connection was
// established, nothing was sent: Unavailable. After that the write may have taken
// effect: Unclear. With status 503 the platform states that nothing took effect:
// Unavailable.
#include "carawaylatch/store/httpobjectstore.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <utility>

#include "carawaylatch/http/checkedclient.h"
#include "carawaylatch/store/objectjson.h"

namespace carawaylatch::store
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusPreconditionFailed = 412;
constexpr int StatusTooLarge = 413;
constexpr base::Duration RetryLater = base::seconds{1};

enum class CallKind {
    Read,
    Write,
};

base::Error transportError(httplib::Error error, CallKind kind)
{
    const std::string reason = httplib::to_string(error);
    if (kind == CallKind::Read || error == httplib::Error::Connection) {
        return base::fail(base::ErrorKind::Unavailable, "the platform was not reached (" + reason + "); check [platform] address and port", RetryLater);
    }
    return base::fail(base::ErrorKind::Unclear, "the platform's response was lost (" + reason + "); read back to learn whether the write took effect");
}

base::Error statusError(int status, std::string_view name)
{
    const std::string object(name);
    switch (status) {
    case StatusNotFound:
        return base::fail(base::ErrorKind::NotFound, "no object " + object + "; write it with expected version 0 to create it");
    case StatusGone:
        return base::fail(base::ErrorKind::StaleState, "the platform no longer holds that history; list again");
    case StatusPreconditionFailed:
        return base::fail(base::ErrorKind::Conflict, object + " was changed by another writer; read it again and repeat the change");
    case StatusTooLarge:
        return base::fail(base::ErrorKind::InvalidArgument, object + " is over the platform's limit for a value; split it");
    default:
        return base::fail(base::ErrorKind::Unavailable, "the platform responded with status " + std::to_string(status) + "; try again later", RetryLater);
    }
}

base::Result<std::string> bodyOf(const httplib::Result &result, CallKind kind, std::string_view name)
{
    if (!result) {
        return transportError(result.error(), kind);
    }
    if (result->status != StatusOk) {
        return statusError(result->status, name);
    }
    return result->body;
}

// A response that can't be decoded leaves the result of the write as unknown as a lost one.
template <typename T>
base::Result<T> unclearIfUndecodable(base::Result<T> decoded)
{
    if (!decoded) {
        return base::fail(base::ErrorKind::Unclear, decoded.error().message + "; read back to learn whether the write took effect");
    }
    return decoded;
}

bool isOutage(base::ErrorKind kind)
{
    return kind == base::ErrorKind::Unavailable || kind == base::ErrorKind::Unclear;
}

httplib::Headers condition(Version expected)
{
    if (expected == Version{}) {
        return {{"If-None-Match", "*"}};
    }
    return {{"If-Match", std::to_string(expected.value)}};
}

std::string objectPath(std::string_view name)
{
    return "/v1/objects/" + std::string(name);
}

} // namespace

class HttpObjectStore::ConnectionPool
{
public:
    ConnectionPool(base::Endpoint endpoint, base::FailureDomain domain, base::Duration timeout)
        : m_endpoint(std::move(endpoint))
        , m_domain(std::move(domain))
        , m_timeout(timeout)
    {
    }

    // Runs one call on a connection that no other call uses meanwhile. `extraTime` is
    // added to the read timeout.
    template <typename Call>
    base::Result<std::string> run(CallKind kind, std::string_view name, base::Duration extraTime, Call call)
    {
        auto client = acquire();
        if (!client) {
            return base::fail(base::ErrorKind::Unavailable, "the connection to the platform is closed; the process is stopping");
        }
        client->set_read_timeout(std::chrono::duration_cast<base::microseconds>(m_timeout + extraTime));
        auto response = bodyOf(call(*client), kind, name);
        m_failures += !response && isOutage(response.error().kind) ? 1 : 0;
        release(std::move(client));
        return response;
    }

    [[nodiscard]] std::uint64_t failures() const
    {
        return m_failures;
    }

    void stop()
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        for (auto *it : m_busy) {
            it->stop();
        }
    }

private:
    std::unique_ptr<http::CheckedClient> acquire()
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped) {
            return nullptr;
        }
        std::unique_ptr<http::CheckedClient> client;
        if (m_idle.empty()) {
            client = std::make_unique<http::CheckedClient>(m_endpoint.address, m_endpoint.port);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_connection_timeout(std::chrono::duration_cast<base::microseconds>(m_timeout));
            client->set_default_headers({{"X-Failure-Domain", m_domain.value()}});
        } else {
            client = std::move(m_idle.back());
            m_idle.pop_back();
        }
        m_busy.insert(client.get());
        return client;
    }

    void release(std::unique_ptr<http::CheckedClient> client)
    {
        const std::lock_guard lock(m_mutex);
        m_busy.erase(client.get());
        if (m_idle.size() < MaxIdle) {
            m_idle.push_back(std::move(client));
        }
    }

    static constexpr std::size_t MaxIdle = 16; // connections

    const base::Endpoint m_endpoint;
    const base::FailureDomain m_domain;
    const base::Duration m_timeout;
    std::atomic<std::uint64_t> m_failures = 0;
    std::mutex m_mutex;
    // All below are guarded by m_mutex.
    std::vector<std::unique_ptr<http::CheckedClient>> m_idle;
    std::set<http::CheckedClient *> m_busy;
    bool m_isStopped = false;
};

HttpObjectStore::HttpObjectStore(base::Endpoint endpoint, base::FailureDomain domain, base::Duration timeout)
    : m_connections(std::make_unique<ConnectionPool>(std::move(endpoint), std::move(domain), timeout))
{
}

HttpObjectStore::~HttpObjectStore() = default;

base::Result<Object> HttpObjectStore::read(std::string_view name)
{
    ++m_reads;
    BOOST_OUTCOME_TRY(body, m_connections->run(CallKind::Read, name, {}, [&](http::CheckedClient &client) {
        return client.Get(objectPath(name));
    }));
    return decodeObject(body);
}

base::Result<Version> HttpObjectStore::write(std::string_view name, std::string_view value, Version expected)
{
    ++m_writes;
    BOOST_OUTCOME_TRY(body, m_connections->run(CallKind::Write, name, {}, [&](http::CheckedClient &client) {
        return client.Put(objectPath(name), condition(expected), value.data(), value.size(), "application/octet-stream");
    }));
    return unclearIfUndecodable(decodeVersion(body));
}

base::Result<void> HttpObjectStore::remove(std::string_view name, Version expected)
{
    ++m_writes;
    BOOST_OUTCOME_TRY(m_connections->run(CallKind::Write, name, {}, [&](http::CheckedClient &client) {
        return client.Delete(objectPath(name), condition(expected));
    }));
    return base::ok();
}

base::Result<ObjectChanges> HttpObjectStore::list(std::string_view prefix)
{
    ++m_reads;
    BOOST_OUTCOME_TRY(body, m_connections->run(CallKind::Read, prefix, {}, [&](http::CheckedClient &client) {
        return client.Get("/v1/list", httplib::Params{{"prefix", std::string(prefix)}}, httplib::Headers{});
    }));
    return decodeChanges(body);
}

base::Result<ObjectChanges> HttpObjectStore::watch(std::string_view prefix, Version since, base::Duration wait)
{
    ++m_reads;
    const httplib::Params params{
        {"prefix", std::string(prefix)}, {"since", std::to_string(since.value)}, {"wait_ms", std::to_string(base::toMilliseconds(wait))}};
    BOOST_OUTCOME_TRY(body, m_connections->run(CallKind::Read, prefix, wait, [&](http::CheckedClient &client) {
        return client.Get("/v1/watch", params, httplib::Headers{});
    }));
    return decodeChanges(body);
}

base::Result<std::vector<VmRecord>> HttpObjectStore::vms()
{
    ++m_reads;
    BOOST_OUTCOME_TRY(body, m_connections->run(CallKind::Read, "vms", {}, [&](http::CheckedClient &client) {
        return client.Get("/v1/vms");
    }));
    return decodeVms(body);
}

void HttpObjectStore::stop()
{
    m_connections->stop();
}

PlatformCallCounts HttpObjectStore::calls() const
{
    return {m_reads, m_writes, m_connections->failures()};
}

} // namespace carawaylatch::store
