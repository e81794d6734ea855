// Cost model.
//
//   score = wait + prefill of missing tokens + displacement
//
// wait: estimateQueue(), which counts other routers' work too.
// prefill: the tokens that the index doesn't expect there, the expected ones
// weighed with the confidence in that upstream's entries.
// displacement: a copy of a prefix outside its home pushes other blocks out of a
// full cache, and someone has to compute these again. It is charged as a part of
// the prefill of the blocks that the copy would add. A request goes elsewhere than
// to its home only when the wait there costs more than that.
//
// Homes: the heat table says which level of the chain fits in one upstream's
// share; its rendezvous order names the home, equally on every router.
//
// Large pools: holders, homes and a few random upstreams are looked at, not all.
#include "carawaylatch/routing/adaptive.h"

#include <algorithm>

#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/prefix/heat.h"
#include "carawaylatch/routing/rendezvous.h"

namespace carawaylatch::routing
{

namespace
{

constexpr std::size_t ScanLimit = 32; // pools up to this size are looked at whole
constexpr std::size_t LoadSamples = 8;
// Share of a copy's prefill that is charged for the blocks it displaces.
constexpr double Displacement = 0.5;
// Waits closer than this are taken as equal, since estimates are no finer.
constexpr double WaitNoise = 0.05;

} // namespace

AdaptiveStrategy::AdaptiveStrategy(const RoutingKnowledge &knowledge, std::uint64_t seed)
    : ScoringStrategy(knowledge, seed)
{
}

std::uint32_t AdaptiveStrategy::assumedRouters() const
{
    return knowledge().routers->load(std::memory_order_relaxed);
}

std::vector<std::uint32_t> AdaptiveStrategy::homes(const Decision &decision) const
{
    const auto &request = decision.request;
    if (request.chain.empty()) {
        return {};
    }
    return homeSet(decision.view, decision.pool, knowledge().heat->path(request.chain, request.now));
}

std::vector<std::uint32_t> AdaptiveStrategy::prefilter(const Decision &decision) const
{
    if (decision.pool.eligible.size() <= ScanLimit) {
        return decision.pool.eligible;
    }
    std::vector<std::uint32_t> indexes = homes(decision);
    const auto drawn = sample(decision, LoadSamples);
    indexes.insert(indexes.end(), drawn.begin(), drawn.end());
    addHolders(decision, indexes);
    return indexes;
}

void AdaptiveStrategy::score(const Decision &decision, std::vector<Option> &options) const
{
    const std::vector<std::uint32_t> home = homes(decision);
    const auto &request = decision.request;
    for (auto &it : options) {
        const auto &status = decision.view.upstreams[it.index];
        const double held = static_cast<double>(request.promptTokens - it.missingTokens) * knowledge().caches->confidence(status.slot);
        const double missing = request.promptTokens - held;
        const bool isHome = std::find(home.begin(), home.end(), it.index) != home.end();
        const bool isFull = status.load.usedBlocks >= status.load.capacityBlocks;
        const double copied = isHome || !isFull ? 0 : missing;
        it.penalty = prefillTime(copied * Displacement, it.queue);
        const double noise = 1 + WaitNoise * static_cast<double>(draw() % 1024) / 1024;
        it.score = base::toSeconds(it.queue.wait) * noise + base::toSeconds(prefillTime(missing, it.queue)) + base::toSeconds(it.penalty);
    }
}

Explanation AdaptiveStrategy::describe(const Decision &decision) const
{
    Explanation explanation;
    const auto path = knowledge().heat->path(decision.request.chain, decision.request.now);
    if (path.size > 0) {
        explanation.homeBlocks = path.levels[path.size - 1].blocks;
        explanation.homeReplicas = static_cast<std::uint32_t>(homes(decision).size());
    }
    return explanation;
}

} // namespace carawaylatch::routing
