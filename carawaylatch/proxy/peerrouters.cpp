// Choice among the routers of peerrouters.h.
#include "carawaylatch/proxy/peerrouters.h"

#include <algorithm>

#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr double OtherDomainRequests = 4; // requests more that a router of this failure domain may have
const base::PoolName RoutersPool("routers"); // of the tracker, which has no other

} // namespace

base::UpstreamId PeerRouters::idOf(const ReachReport &report)
{
    return base::UpstreamId("router/" + config::formatEndpoint(report.callers));
}

bool PeerRouters::takes(const Router &router, std::uint64_t pool)
{
    return router.report.takesRequests && !router.unreachedPools.contains(pool);
}

void PeerRouters::apply(const ReachReport &report, base::TimePoint now)
{
    const auto known = m_routers.find(report.sender);
    if (known == m_routers.end() && m_routers.size() >= MaxRouters) {
        return;
    }
    const bool isMoved = known == m_routers.end() || known->second.report.callers != report.callers || known->second.report.domain != report.domain;
    m_routers[report.sender] = Router{report, now, {report.unreachedPools.begin(), report.unreachedPools.end()}};
    if (isMoved) {
        list(now);
    }
}

void PeerRouters::expire(base::TimePoint now)
{
    const auto outdated = std::erase_if(m_routers, [now](const auto &it) {
        return now - it.second.reportedAt >= ReportTimeout;
    });
    (void)m_tracker.takeChanges(); // is not reported to others, and lets the tracker drop removed routers
    if (outdated > 0) {
        list(now);
    }
}

void PeerRouters::list(base::TimePoint now)
{
    FleetView view;
    for (const auto &[sender, router] : m_routers) {
        Upstream upstream;
        upstream.id = idOf(router.report);
        upstream.pool = RoutersPool;
        upstream.endpoint = router.report.callers;
        upstream.domain = router.report.domain;
        view.upstreams.push_back(upstream);
    }
    m_tracker.adopt(view, now);
}

UpstreamRecord *PeerRouters::choose(const base::PoolName &pool, const base::FailureDomain &domain, std::span<const base::UpstreamId> excluded,
                                    base::Random &random, base::TimePoint now)
{
    const std::uint64_t poolHash = base::hash64(pool.value());
    UpstreamRecord *best = nullptr;
    double bestCost = 0;
    for (const auto &[sender, router] : m_routers) {
        UpstreamRecord *record = m_tracker.find(idOf(router.report));
        const bool isUsable = record != nullptr && takes(router, poolHash) && now >= record->backoffUntil
                              && std::find(excluded.begin(), excluded.end(), record->upstream.id) == excluded.end();
        if (!isUsable) {
            continue;
        }
        const double cost = router.report.inflight + record->inflight + (router.report.domain == domain ? 0 : OtherDomainRequests) + random.uniformReal();
        if (best == nullptr || cost < bestCost) {
            best = record;
            bestCost = cost;
        }
    }
    return best;
}

bool PeerRouters::reaches(const base::PoolName &pool) const
{
    const std::uint64_t poolHash = base::hash64(pool.value());
    return std::any_of(m_routers.begin(), m_routers.end(), [poolHash](const auto &it) {
        return takes(it.second, poolHash);
    });
}

UpstreamTracker &PeerRouters::tracker()
{
    return m_tracker;
}

} // namespace carawaylatch::proxy
