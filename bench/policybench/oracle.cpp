// The two oracles. They know of a request the moment it is submitted, so four
// routers never collide.
#include "bench/policybench/oracle.h"

#include <algorithm>
#include <optional>

namespace carawaylatch::bench
{

OracleStrategy::OracleStrategy(std::vector<std::unique_ptr<Engine>> &engines, Reaches reaches, OracleGoal goal)
    : m_engines(engines)
    , m_reaches(std::move(reaches))
    , m_goal(goal)
{
}

bool OracleStrategy::isBetter(const Sight &left, const Sight &right, double deadline) const
{
    if (m_goal == OracleGoal::HitRate) {
        const bool leftInTime = left.wait + left.prefill <= deadline;
        const bool rightInTime = right.wait + right.prefill <= deadline;
        if (leftInTime != rightInTime) {
            return leftInTime;
        }
        if (left.held != right.held) {
            return left.held > right.held;
        }
    }
    return left.wait + left.prefill < right.wait + right.prefill;
}

base::Result<routing::Placement> OracleStrategy::place(const routing::PlacementRequest &request, const upstreams::UpstreamView &view) const
{
    const std::vector<std::uint64_t> chain(request.chain.begin(), request.chain.end());
    const double deadline = base::toSeconds(request.deadline - request.now);
    std::optional<Sight> best;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const Engine &engine = *m_engines[i];
        const auto *status = view.find(engine.id());
        const bool isExcluded = std::find(request.excluded.begin(), request.excluded.end(), engine.id()) != request.excluded.end();
        if (!engine.isAlive() || !m_reaches(engine.domain()) || status == nullptr || isExcluded) {
            continue;
        }
        Sight sight{i, engine.heldBlocks(chain), engine.queuedTokens(request.trafficClass) / Engine::PrefillTokensPerSecond, 0};
        sight.prefill = (request.promptTokens - sight.held * BlockTokens) / Engine::PrefillTokensPerSecond;
        if (!best || isBetter(sight, *best, deadline)) {
            best = sight;
        }
    }
    if (!best) {
        return base::fail(base::ErrorKind::Unavailable, "no engine is alive and in reach; retry later", base::seconds{1});
    }
    const auto *status = view.find(m_engines[best->engine]->id());
    routing::Placement placement;
    placement.upstream = status->id;
    placement.slot = status->slot;
    placement.incarnation = status->incarnation;
    placement.predictedBlocks = best->held;
    placement.missingTokens = request.promptTokens - best->held * BlockTokens;
    placement.expectedWait = base::fromSeconds(best->wait);
    placement.expectedFirstToken = base::fromSeconds(best->wait + best->prefill);
    return placement;
}

base::Result<routing::Explanation> OracleStrategy::explain(const routing::PlacementRequest &, const upstreams::UpstreamView &) const
{
    return routing::Explanation{};
}

} // namespace carawaylatch::bench
