// Idle connections to upstreams, kept for further requests, for trafficplane.h.
#include "carawaylatch/proxy/trafficplane.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::proxy
{

namespace
{

constexpr std::size_t MaxIdlePerUpstream = 64; // upper bound; also used where the pool sets none

} // namespace

std::shared_ptr<UpstreamConnection> TrafficPlane::takeIdleConnection(const Upstream &upstream, bool isRepeatable, std::string_view requestId)
{
    while (true) {
        const auto it = m_idleConnections.find(upstream.id);
        if (it == m_idleConnections.end() || it->second.empty()) {
            return nullptr;
        }
        auto connection = std::move(it->second.back());
        it->second.pop_back();
        const bool isSameProcess = connection->startTimeMs() == upstream.startTimeMs;
        const bool isUnambiguous = connection->requestId() != requestId;
        if (isSameProcess && isUnambiguous && (isRepeatable || now() < connection->reusableUntil())) {
            return connection;
        }
        connection->close(); // removes the upstream's list if it is empty
    }
}

bool TrafficPlane::hasIdleConnection(const base::UpstreamId &upstream) const
{
    return m_idleConnections.contains(upstream); // lists are never empty
}

void TrafficPlane::addIdleConnection(std::shared_ptr<UpstreamConnection> connection)
{
    auto &idle = m_idleConnections[connection->upstream()];
    idle.push_back(std::move(connection));
    if (idle.size() > maxIdleConnections(idle.back()->upstream())) {
        const auto oldest = idle.front();
        idle.pop_front();
        oldest->close();
    }
}

// This router's share of the connections that an upstream accepts from all routers, divided
// by one router more than are known. Half of it is left to requests in progress.
std::size_t TrafficPlane::maxIdleConnections(const base::UpstreamId &upstream)
{
    const UpstreamRecord *record = m_tracker.find(upstream);
    const Pool *pool = record != nullptr && m_view->table ? m_view->table->pool(record->upstream.pool) : nullptr;
    if (pool == nullptr || pool->maxConnections == 0) {
        return MaxIdlePerUpstream;
    }
    return std::max<std::size_t>(1, std::min<std::size_t>(MaxIdlePerUpstream, pool->maxConnections / (m_view->routers + 1) / 2));
}

void TrafficPlane::removeIdleConnection(const UpstreamConnection &connection)
{
    const auto it = m_idleConnections.find(connection.upstream());
    if (it == m_idleConnections.end()) {
        return;
    }
    std::erase_if(it->second, [&connection](const auto &idle) {
        return idle.get() == &connection;
    });
    if (it->second.empty()) {
        m_idleConnections.erase(it);
    }
}

void TrafficPlane::closeIdleConnections(const std::function<bool(const base::UpstreamId &)> &isChosen)
{
    std::vector<std::shared_ptr<UpstreamConnection>> chosen;
    for (const auto &[upstream, idle] : m_idleConnections) {
        if (isChosen(upstream)) {
            chosen.insert(chosen.end(), idle.begin(), idle.end());
        }
    }
    for (const auto &connection : chosen) {
        connection->close(); // removes it from m_idleConnections
    }
}

} // namespace carawaylatch::proxy
