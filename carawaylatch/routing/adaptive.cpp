// Cost model.
//
//   score = wait + missWeight * prefill of missing tokens + displacement
//
// wait: estimateQueue(), which includes other routers' work.
// prefill: the tokens that the index does not expect in the upstream's cache; expected
// tokens are weighted with the confidence in that upstream's entries.
// missWeight: a computed token delays all requests queued behind it. The longer the
// typical wait, the more a cached token is worth, so that under overload requests stay
// where their prefix is cached. Otherwise waits move requests away from their caches,
// the copies displace other prefixes, the hit rate falls and waits grow further. The
// weight does not depend on each upstream's own wait, because every short moment
// without a queue would then cause copies.
// displacement: a copy of a prefix outside its home evicts other blocks from a full
// cache, which have to be computed again. It is charged as a fraction of the prefill
// of the blocks that the copy adds. A request is sent elsewhere than to its home only
// if the wait at the home costs more than that.
//
// Homes: the heat table determines which level of the chain fits in one upstream's
// share; the level's rendezvous order gives the same home on every router.
//
// Large pools: only holders, homes and a few random upstreams are considered.
#include "carawaylatch/routing/adaptive.h"

#include <algorithm>

#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/prefix/heat.h"
#include "carawaylatch/routing/rendezvous.h"

namespace carawaylatch::routing
{

namespace
{

constexpr std::size_t MaxScannedUpstreams = 32; // larger pools are sampled
constexpr std::size_t SampleCount = 8;
// Fraction of a copy's prefill that is charged for the blocks it displaces.
constexpr double DisplacementCostRatio = 0.25;
// Additional weight of missing tokens per second of typical wait.
constexpr double MissWeightPerSecond = 32;
// The typical wait caps each wait at OutlierRatio * median + OutlierSeconds.
constexpr double OutlierRatio = 2;
constexpr double OutlierSeconds = 0.5;
// Waits that differ by less than this ratio count as equal: estimates are not more precise.
constexpr double WaitNoiseRatio = 0.05;

// Returns the typical wait in seconds: the mean with outliers capped, so that a single
// upstream with a long queue does not dominate it.
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
