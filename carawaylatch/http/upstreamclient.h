// Reports of upstreams and orders to engines over HTTP.
//
// Connections are kept, one for each upstream and thread at a time, since every
// upstream is asked several times a second. Safe for use from any thread.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "carawaylatch/base/time.h"
#include "carawaylatch/fleet/enginecontrol.h"
#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/upstreams/loadreport.h"

namespace httplib
{
class Client;
} // namespace httplib

namespace carawaylatch::http
{

class UpstreamClient : public fleet::EngineControl
{
public:
    // `timeout` bounds each call.
    explicit UpstreamClient(base::Duration timeout);
    ~UpstreamClient() override;

    [[nodiscard]] base::Result<upstreams::LoadReport> loadReport(const base::Endpoint &endpoint);
    [[nodiscard]] base::Result<prefix::CacheEvents> cacheEvents(const base::Endpoint &endpoint, std::uint64_t since);

    [[nodiscard]] base::Result<void> order(const base::UpstreamId &upstream, const base::Endpoint &endpoint, const fleet::EngineOrder &order) override;
    [[nodiscard]] base::Result<fleet::EngineReport> report(const base::UpstreamId &upstream, const base::Endpoint &endpoint) override;

private:
    using Connection = std::unique_ptr<httplib::Client>;

    [[nodiscard]] Connection acquireConnection(const base::Endpoint &endpoint);
    void releaseConnection(const base::Endpoint &endpoint, Connection connection);
    [[nodiscard]] base::Result<std::string> get(const base::Endpoint &endpoint, const std::string &path);

    static constexpr std::size_t MaxIdleConnections = 256; // over all upstreams; more are closed

    const base::Duration m_timeout;
    std::mutex m_mutex;
    std::multimap<base::Endpoint, Connection> m_idleConnections; // guarded by m_mutex
};

} // namespace carawaylatch::http
