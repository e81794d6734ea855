// Cost model.
//
//   score = wait + pressure * prefill of missing tokens + displacement
//
// wait: estimateQueue(), which counts other routers' work too.
// prefill: the tokens that the index doesn't expect there, the expected ones
// weighed with the confidence in that upstream's entries.
// pressure: a token computed anywhere delays those who come behind it. The longer
// the typical wait, the more a saved token is worth, so that under overload requests
// stay where their prefix is. Without this, waits drive requests away from their
// caches, the copies displace other prefixes, hits fall and waits grow further. A
// pressure by each upstream's own wait doesn't do: moments without a queue then
// invite copies all the time.
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

constexpr std::size_t MaxScannedUpstreams = 32; // pools up to this size are looked at whole
constexpr std::size_t SampleCount = 8;
// Share of a copy's prefill that is charged for the blocks it displaces.
constexpr double DisplacementCostRatio = 0.25;
// Extra weight of computed tokens for each second of typical wait.
constexpr double MissWeightPerSecond = 32;
// Waits above this many medians and seconds are cut off in the typical wait.
constexpr double OutlierRatio = 2;
constexpr double OutlierSeconds = 0.5;
// Waits closer than this are taken as equal, since estimates are no finer.
constexpr double WaitNoiseRatio = 0.05;

// Typical wait over the options in seconds: the mean, with outliers cut off so that
// one upstream with a long queue doesn't make the others look busy.
double typicalWait(const std::vector<UpstreamEstimate> &estimates)
{
    if (estimates.empty()) {
        return 0;
    }
    std::vector<double> waits;
    waits.reserve(estimates.size());
    for (const auto &it : estimates) {
        waits.push_back(base::toSeconds(it.queue.wait));
    }
    const auto middle = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
    std::nth_element(waits.begin(), middle, waits.end());
    const double most = OutlierRatio * *middle + OutlierSeconds;
    double sum = 0;
    for (const double it : waits) {
        sum += std::min(it, most);
    }
    return sum / static_cast<double>(waits.size());
}

} // namespace

AdaptiveStrategy::AdaptiveStrategy(const SharedRoutingState &sharedState, std::uint64_t seed)
    : ScoringStrategy(sharedState, seed)
{
}

std::uint32_t AdaptiveStrategy::assumedRouters() const
{
    return sharedState().routers->load(std::memory_order_relaxed);
}

double AdaptiveStrategy::prefillCorrection(upstreams::Slot slot) const
{
    return sharedState().caches->prefillCorrection(slot);
}

std::vector<std::uint32_t> AdaptiveStrategy::homes(const PlacementContext &context) const
{
    const auto &request = context.request;
    if (request.chain.empty()) {
        return {};
    }
    return homeSet(context.view, context.pool, sharedState().heat->path(request.chain, request.now));
}

std::vector<std::uint32_t> AdaptiveStrategy::prefilter(const PlacementContext &context) const
{
    if (context.pool.eligible.size() <= MaxScannedUpstreams) {
        return context.pool.eligible;
    }
    std::vector<std::uint32_t> indexes = context.homes;
    const auto sampled = sample(context, SampleCount);
    indexes.insert(indexes.end(), sampled.begin(), sampled.end());
    addHolders(context, indexes);
    return indexes;
}

void AdaptiveStrategy::score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const
{
    const auto &home = context.homes;
    const auto &request = context.request;
    const double missWeight = 1 + MissWeightPerSecond * typicalWait(estimates);
    for (auto &it : estimates) {
        const auto &status = context.view.upstreams[it.index];
        const double held = static_cast<double>(request.promptTokens - it.missingTokens) * sharedState().caches->confidence(status.slot);
        const double missing = request.promptTokens - held;
        const bool isHome = std::find(home.begin(), home.end(), it.index) != home.end();
        const bool isFull = status.load.usedBlocks >= status.load.capacityBlocks;
        const double copied = isHome || !isFull ? 0 : missing;
        it.penalty = prefillTime(copied * DisplacementCostRatio, it.queue);
        const double noise = 1 + WaitNoiseRatio * static_cast<double>(nextRandom() % 1024) / 1024;
        it.score = base::toSeconds(it.queue.wait) * noise + missWeight * base::toSeconds(prefillTime(missing, it.queue)) + base::toSeconds(it.penalty);
    }
}

Explanation AdaptiveStrategy::describe(const PlacementContext &context) const
{
    Explanation explanation;
    const auto path = sharedState().heat->path(context.request.chain, context.request.now);
    if (path.size > 0) {
        explanation.homeBlocks = path.levels[path.size - 1].blocks;
        explanation.homeReplicas = static_cast<std::uint32_t>(context.homes.size());
    }
    return explanation;
}

} // namespace carawaylatch::routing
