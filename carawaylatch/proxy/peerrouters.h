// The other routers, to which this router forwards requests for pools that it is cut off from.
//
// A state machine of the traffic thread without I/O. Inputs are the reach reports of the routers that
// report to this one, of which there are at most MaxRouters; a router that has not reported for ReportTimeout
// gets no requests. The requests forwarded to each are tracked like those sent to upstreams.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/reachreport.h"
#include "carawaylatch/proxy/upstreamtracker.h"

namespace carawaylatch::proxy
{

class PeerRouters
{
public:
    static constexpr std::size_t MaxRouters = 64; // as PeerLoad::MaxPeers
    static constexpr base::Duration ReportTimeout = base::milliseconds{1200}; // three missed reports

    void apply(const ReachReport &report, base::TimePoint now);
    void expire(base::TimePoint now);
    // The least loaded router that reaches the pool, rather one in `domain`, and not one of `excluded`; nullptr if there is none.
    [[nodiscard]] UpstreamRecord *choose(const base::PoolName &pool, const base::FailureDomain &domain, std::span<const base::UpstreamId> excluded,
                                         base::Random &random, base::TimePoint now);
    // True if some router takes requests for the pool, whatever its load is.
    [[nodiscard]] bool reaches(const base::PoolName &pool) const;
    [[nodiscard]] UpstreamTracker &tracker();

private:
    struct Router
    {
        ReachReport report;
        base::TimePoint reportedAt;
        std::set<std::uint64_t> unreachedPools;
    };

    [[nodiscard]] static base::UpstreamId idOf(const ReachReport &report);
    void list(base::TimePoint now);
    [[nodiscard]] static bool takes(const Router &router, std::uint64_t pool);

    std::map<std::uint64_t, Router> m_routers; // by sender
    UpstreamTracker m_tracker; // of m_routers
};

} // namespace carawaylatch::proxy
