// Polls upstreams for load reports and cache events and sends orders to engines over
// HTTP.
//
// Idle connections are kept in a pool for reuse, since every upstream is polled
// several times a second. A connection is used by one thread at a time.
// Thread-safe.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "carawaylatch/base/time.h"
#include "carawaylatch/fleet/enginecontrol.h"
#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/upstreams/loadreport.h"

namespace carawaylatch::http
{

class CheckedClient;

class UpstreamClient : public fleet::EngineControl
{
public:
    // `timeout` bounds the connection setup and each read of a call.
    explicit UpstreamClient(base::Duration timeout);
    ~UpstreamClient() override;

    // Unavailable if the upstream did not respond with 200.
    [[nodiscard]] base::Result<upstreams::LoadReport> loadReport(const base::Endpoint &endpoint);
    // Returns the cache events after sequence number `since`.
    [[nodiscard]] base::Result<prefix::CacheEvents> cacheEvents(const base::Endpoint &endpoint, std::uint64_t since);

    // StaleState if the fencing number is older than one that the engine has seen. Unclear
    // if the order may have been executed.
    [[nodiscard]] base::Result<void> order(const base::UpstreamId &upstream, const base::Endpoint &endpoint, const fleet::EngineOrder &order) override;
    [[nodiscard]] base::Result<fleet::EngineReport> report(const base::UpstreamId &upstream, const base::Endpoint &endpoint) override;

private:
    using Connection = std::unique_ptr<CheckedClient>;

    [[nodiscard]] Connection acquireConnection(const base::Endpoint &endpoint);
    void releaseConnection(const base::Endpoint &endpoint, Connection connection);
    [[nodiscard]] base::Result<std::string> get(const base::Endpoint &endpoint, const std::string &path);

    static constexpr std::size_t MaxIdleConnections = 256; // over all upstreams; further ones are closed after use

    const base::Duration m_timeout;
    std::mutex m_mutex;
    std::multimap<base::Endpoint, Connection> m_idleConnections; // guarded by m_mutex
};

} // namespace carawaylatch::http
