// Implements the polling of upstreams on a pool of keep-alive connections.
#include "carawaylatch/http/upstreamclient.h"

#include "carawaylatch/http/checkedclient.h"
#include "carawaylatch/http/wirejson.h"

namespace carawaylatch::http
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr base::Duration RetryDelay = base::seconds{1};

fleet::EngineState engineState(upstreams::ReportedState state)
{
    switch (state) {
    case upstreams::ReportedState::Live:
        return fleet::EngineState::Live;
    case upstreams::ReportedState::Leaving:
        return fleet::EngineState::Leaving;
    case upstreams::ReportedState::Loading:
        return fleet::EngineState::Loading;
    }
    return fleet::EngineState::Live;
}

} // namespace

UpstreamClient::UpstreamClient(base::Duration timeout)
    : m_timeout(timeout)
{
}

UpstreamClient::~UpstreamClient() = default;

base::Result<upstreams::LoadReport> UpstreamClient::loadReport(const base::Endpoint &endpoint)
{
    BOOST_OUTCOME_TRY(body, get(endpoint, "/v1/load"));
    return decodeLoadReport(body);
}

base::Result<prefix::CacheEvents> UpstreamClient::cacheEvents(const base::Endpoint &endpoint, std::uint64_t since)
{
    BOOST_OUTCOME_TRY(body, get(endpoint, "/v1/cache/events?since=" + std::to_string(since)));
    return decodeCacheEvents(body);
}

base::Result<void> UpstreamClient::order(const base::UpstreamId &upstream, const base::Endpoint &endpoint, const fleet::EngineOrder &order)
{
    Connection connection = acquireConnection(endpoint);
    const httplib::Result result = connection->Post("/v1/orders", encodeEngineOrder(order), "application/json");
    if (!result) {
        const bool mayHaveRun = result.error() != httplib::Error::Connection;
        return base::fail(mayHaveRun ? base::ErrorKind::Unclear : base::ErrorKind::Unavailable,
                          upstream.value() + " did not respond to the order; it will be sent again");
    }
    releaseConnection(endpoint, std::move(connection));
    if (result->status == StatusConflict) {
        return base::fail(base::ErrorKind::StaleState, upstream.value() + " rejected an old fencing number; a newer controller is active");
    }
    if (result->status != StatusOk) {
        return base::fail(base::ErrorKind::Unclear, upstream.value() + " responded to an order with status " + std::to_string(result->status));
    }
    return base::ok();
}

base::Result<fleet::EngineReport> UpstreamClient::report(const base::UpstreamId &, const base::Endpoint &endpoint)
{
    BOOST_OUTCOME_TRY(load, loadReport(endpoint));
    fleet::EngineReport report;
    report.incarnation = load.incarnation;
    report.weightsVersion = load.weightsVersion;
    report.adapter = load.adapter;
    report.state = engineState(load.state);
    report.age = load.age;
    return report;
}

UpstreamClient::Connection UpstreamClient::acquireConnection(const base::Endpoint &endpoint)
{
    {
        const std::lock_guard lock(m_mutex);
        if (const auto it = m_idleConnections.find(endpoint); it != m_idleConnections.end()) {
            Connection connection = std::move(it->second);
            m_idleConnections.erase(it);
            return connection;
        }
    }
    auto connection = std::make_unique<CheckedClient>(endpoint.address, endpoint.port);
    connection->set_keep_alive(true);
    connection->set_tcp_nodelay(true);
    connection->set_connection_timeout(std::chrono::duration_cast<base::microseconds>(m_timeout));
    connection->set_read_timeout(std::chrono::duration_cast<base::microseconds>(m_timeout));
    return connection;
}

void UpstreamClient::releaseConnection(const base::Endpoint &endpoint, Connection connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_idleConnections.size() < MaxIdleConnections) {
        m_idleConnections.emplace(endpoint, std::move(connection));
    }
}

base::Result<std::string> UpstreamClient::get(const base::Endpoint &endpoint, const std::string &path)
{
    Connection connection = acquireConnection(endpoint);
    const httplib::Result result = connection->Get(path);
    if (!result || result->status != StatusOk) {
        return base::fail(base::ErrorKind::Unavailable, endpoint.address + " did not respond to " + path + "; it will be polled again", RetryDelay);
    }
    releaseConnection(endpoint, std::move(connection));
    return result->body;
}

} // namespace carawaylatch::http
