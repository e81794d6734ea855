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

constexpr std::size_t ScanLimit = 32; // pools up to this size are looked at whole
constexpr std::size_t LoadSamples = 8;
// Share of a copy's prefill that is charged for the blocks it displaces.
constexpr double Displacement = 0.25;
// Extra weight of computed tokens for each second of typical wait.
constexpr double PressurePerSecond = 32;
// Waits above this many medians and seconds are cut off in the typical wait.
constexpr double OutlierRatio = 2;
constexpr double OutlierSeconds = 0.5;
// Waits closer than this are taken as equal, since estimates are no finer.
constexpr double WaitNoise = 0.05;

// Typical wait over the options in seconds: the mean, with outliers cut off so that
// one upstream with a long queue doesn't make the others look busy.
double typicalWait(const std::vector<Option> &options)
{
    if (options.empty()) {
        return 0;
    }
    std::vector<double> waits;
    waits.reserve(options.size());
    for (const auto &it : options) {
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

AdaptiveStrategy::AdaptiveStrategy(const RoutingKnowledge &knowledge, std::uint64_t seed)
    : ScoringStrategy(knowledge, seed)
{
}

std::uint32_t AdaptiveStrategy::assumedRouters() const
{
    return knowledge().routers->load(std::memory_order_relaxed);
}

double AdaptiveStrategy::workRatio(upstreams::Slot slot) const
{
    return knowledge().caches->workRatio(slot);
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
    std::vector<std::uint32_t> indexes = decision.homes;
    const auto drawn = sample(decision, LoadSamples);
    indexes.insert(indexes.end(), drawn.begin(), drawn.end());
    addHolders(decision, indexes);
    return indexes;
}

void AdaptiveStrategy::score(const Decision &decision, std::vector<Option> &options) const
{
    const auto &home = decision.homes;
    const auto &request = decision.request;
    const double pressure = 1 + PressurePerSecond * typicalWait(options);
    for (auto &it : options) {
        const auto &status = decision.view.upstreams[it.index];
        const double held = static_cast<double>(request.promptTokens - it.missingTokens) * knowledge().caches->confidence(status.slot);
        const double missing = request.promptTokens - held;
        const bool isHome = std::find(home.begin(), home.end(), it.index) != home.end();
        const bool isFull = status.load.usedBlocks >= status.load.capacityBlocks;
        const double copied = isHome || !isFull ? 0 : missing;
        it.penalty = prefillTime(copied * Displacement, it.queue);
        const double noise = 1 + WaitNoise * static_cast<double>(draw() % 1024) / 1024;
        it.score = base::toSeconds(it.queue.wait) * noise + pressure * base::toSeconds(prefillTime(missing, it.queue)) + base::toSeconds(it.penalty);
    }
}

Explanation AdaptiveStrategy::describe(const Decision &decision) const
{
    Explanation explanation;
    const auto path = knowledge().heat->path(decision.request.chain, decision.request.now);
    if (path.size > 0) {
        explanation.homeBlocks = path.levels[path.size - 1].blocks;
        explanation.homeReplicas = static_cast<std::uint32_t>(decision.homes.size());
    }
    return explanation;
}

} // namespace carawaylatch::routing
