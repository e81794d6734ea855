// The two oracles. They see each request as soon as it is submitted, so the decisions of
// the four routers never conflict.
#include "bench/policybench/oracle.h"

#include <algorithm>
#include <optional>

namespace carawaylatch::bench
{

OracleStrategy::OracleStrategy(std::vector<std::unique_ptr<Engine>> &engines, ReachabilityCheck isReachable, OracleGoal goal)
    : m_engines(engines)
    , m_isReachable(std::move(isReachable))
    , m_goal(goal)
{
}

bool OracleStrategy::isBetter(const Candidate &left, const Candidate &right, double deadline) const
{
    if (m_goal == OracleGoal::HitRate) {
        const bool leftInTime = left.wait + left.prefill <= deadline;
        const bool rightInTime = right.wait + right.prefill <= deadline;
        if (leftInTime != rightInTime) {
            return leftInTime;
        }
        if (left.cachedBlocks != right.cachedBlocks) {
            return left.cachedBlocks > right.cachedBlocks;
        }
    }
    return left.wait + left.prefill < right.wait + right.prefill;
}

base::Result<routing::Placement> OracleStrategy::place(const routing::PlacementRequest &request, const upstreams::UpstreamView &view) const
{
    const std::vector<std::uint64_t> chain(request.chain.begin(), request.chain.end());
    const double deadline = base::toSeconds(request.deadline - request.now);
    std::optional<Candidate> best;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const Engine &engine = *m_engines[i];
        const auto *status = view.find(engine.id());
        const bool isExcluded = std::find(request.excluded.begin(), request.excluded.end(), engine.id()) != request.excluded.end();
        if (!engine.isAlive() || !m_isReachable(engine.domain()) || status == nullptr || isExcluded) {
            continue;
        }
        Candidate candidate{i, engine.cachedPrefixBlocks(chain), engine.queuedTokens(request.trafficClass) / Engine::PrefillTokensPerSecond, 0};
        candidate.prefill = (request.promptTokens - candidate.cachedBlocks * BlockTokens) / Engine::PrefillTokensPerSecond;
        if (!best || isBetter(candidate, *best, deadline)) {
            best = candidate;
        }
    }
    if (!best) {
        return base::fail(base::ErrorKind::Unavailable, "no live engine is reachable; retry later", base::seconds{1});
    }
    const auto *status = view.find(m_engines[best->engine]->id());
    routing::Placement placement;
    placement.upstream = status->id;
    placement.slot = status->slot;
    placement.incarnation = status->incarnation;
    placement.predictedBlocks = best->cachedBlocks;
    placement.missingTokens = request.promptTokens - best->cachedBlocks * BlockTokens;
    placement.expectedWait = base::fromSeconds(best->wait);
    placement.expectedFirstToken = base::fromSeconds(best->wait + best->prefill);
    return placement;
}

base::Result<routing::Explanation> OracleStrategy::explain(const routing::PlacementRequest &, const upstreams::UpstreamView &) const
{
    return routing::Explanation{};
}

} // namespace carawaylatch::bench
