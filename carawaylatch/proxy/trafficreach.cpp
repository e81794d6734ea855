// What this router reaches and whether it is ready, for trafficplane.h.
#include "carawaylatch/proxy/trafficplane.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::proxy
{

Reachability &TrafficPlane::reach()
{
    return m_reach;
}

PeerRouters &TrafficPlane::peerRouters()
{
    return m_peerRouters;
}

ReachReport TrafficPlane::reachReport() const
{
    ReachReport report;
    report.takesRequests = notReadyReason().empty();
    report.inflight = static_cast<std::uint32_t>(m_inflight);
    report.domain = m_settings.domain;
    report.callers = callersEndpoint();
    for (const base::PoolName &pool : m_reach.cutPools()) {
        report.unreachedPools.push_back(base::hash64(pool.value()));
    }
    return report;
}

void TrafficPlane::onReachReport(const ReachReport &report)
{
    m_peerRouters.apply(report, now());
}

bool TrafficPlane::isPoolSilent(const base::PoolName &pool, base::TimePoint at) const
{
    const auto &members = m_tracker.members(pool);
    const auto isBusy = [](const UpstreamRecord *record) {
        return record->isRead();
    };
    return std::any_of(members.begin(), members.end(), isBusy) && std::all_of(members.begin(), members.end(), [&](const UpstreamRecord *record) {
               return !isBusy(record) || at - record->silentSince > Reachability::SuspiciousSilence;
           });
}

void TrafficPlane::watchReach(base::TimePoint at)
{
    if (m_view->table) {
        for (const Pool &pool : m_view->table->pools) {
            if (isPoolSilent(pool.name, at)) {
                m_reach.onSilence(pool.name, at);
            }
        }
    }
    for (const base::UpstreamId &upstream : m_reach.advance(at)) {
        startProbe(upstream);
    }
    for (const ReachChange &change : m_reach.takeChanges()) {
        onReachChanged(change);
    }
}

void TrafficPlane::startProbe(const base::UpstreamId &upstream)
{
    const UpstreamRecord *record = m_tracker.find(upstream);
    if (record == nullptr || m_probes.contains(upstream)) {
        return;
    }
    ++m_counts.probes;
    const auto probe = std::make_shared<UpstreamConnection>(*this, upstream, record->upstream.startTimeMs);
    m_probes.emplace(upstream, probe);
    probe->connect(record->upstream.endpoint, Reachability::ProbeTimeout, [this, upstream](std::string_view problem) {
        const auto it = m_probes.find(upstream);
        if (it != m_probes.end()) {
            const auto ended = std::move(it->second);
            m_probes.erase(it);
            if (problem.empty()) {
                ended->keepIdle();
            }
        }
    });
}

void TrafficPlane::endProbes()
{
    for (const auto &[upstream, probe] : std::exchange(m_probes, {})) {
        probe->close();
    }
}

void TrafficPlane::onReachChanged(const ReachChange &change)
{
    const std::string lasted = base::formatMilliseconds(now() - change.since);
    if (change.isCut) {
        m_log.write(base::LogEvent::PoolNotReached, {{"pool", change.pool.value()}, {"tried", std::to_string(change.tried)}, {"since_ms", lasted}});
    } else {
        m_log.write(base::LogEvent::PoolReached, {{"pool", change.pool.value()}, {"cut_ms", lasted}});
    }
    if (change.isCut) {
        const std::vector<std::shared_ptr<CallerConnection>> callers(m_callers.begin(), m_callers.end());
        for (const auto &caller : callers) {
            caller->onPoolCut();
        }
    }
    schedulePlacement();
}

std::string_view TrafficPlane::notReadyReason() const
{
    if (m_isStopping) {
        return "stopping";
    }
    if (!m_view->table) {
        return "no_configuration";
    }
    if (m_view->upstreams.empty()) {
        return "no_upstreams";
    }
    if (m_settings.readyTableAge > base::Duration{} && tableAge() > m_settings.readyTableAge) {
        return "configuration_not_confirmed";
    }
    const auto cutPools = m_reach.cutPools();
    const bool isServedElsewhere = std::any_of(cutPools.begin(), cutPools.end(), [this](const base::PoolName &pool) {
        return m_peerRouters.reaches(pool);
    });
    if (m_reach.isCutFromAll() && !isServedElsewhere) {
        return "no_upstream_reached";
    }
    return {};
}

void TrafficPlane::updateReadiness(std::string_view reason)
{
    if (reason == m_notReadyReason) {
        return;
    }
    m_notReadyReason = reason;
    const std::string age = std::to_string(base::toMilliseconds(tableAge()));
    if (reason.empty()) {
        m_log.write(base::LogEvent::GatewayReady,
                    {{"table", std::to_string(m_view->table->version)}, {"upstreams", std::to_string(m_view->upstreams.size())}, {"age_ms", age}});
    } else {
        m_log.write(base::LogEvent::GatewayNotReady, {{"reason", std::string(reason)}, {"age_ms", age}});
    }
}

} // namespace carawaylatch::proxy
