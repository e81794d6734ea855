// Baseline strategies.
//
// For a fair comparison they use the same eligibility rules, the same shared cache
// index and their own requests since the last load report. They do not use the
// estimate of other routers' work, prefix heat or a cost model, which the adaptive
// strategy adds.
#include "carawaylatch/routing/baselines.h"

#include <algorithm>

#include "carawaylatch/routing/rendezvous.h"

namespace carawaylatch::routing
{

namespace
{

constexpr std::size_t MaxScannedUpstreams = 64; // larger pools are sampled
constexpr std::size_t SampleCount = 16;
constexpr double LoadBound = 1.25;
constexpr double ImbalanceRequests = 8;
constexpr double ImbalanceRatio = 1.5;

std::size_t sampleSize(const PlacementContext &context)
{
    return context.pool.eligible.size() <= MaxScannedUpstreams ? MaxScannedUpstreams : SampleCount;
}

} // namespace

RandomStrategy::RandomStrategy(const SharedRoutingState &sharedState, std::uint64_t seed)
    : ScoringStrategy(sharedState, seed)
{
}

std::vector<std::uint32_t> RandomStrategy::prefilter(const PlacementContext &context) const
{
    const auto &eligible = context.pool.eligible;
    return eligible.empty() ? eligible : std::vector<std::uint32_t>{eligible[nextRandom() % eligible.size()]};
}

void RandomStrategy::score(const PlacementContext &, std::vector<UpstreamEstimate> &estimates) const
{
    for (auto &it : estimates) {
        it.score = static_cast<double>(nextRandom());
    }
}

RoundRobinStrategy::RoundRobinStrategy(const SharedRoutingState &sharedState, std::uint64_t seed)
    : ScoringStrategy(sharedState, seed)
    , m_turn(seed)
{
}

std::vector<std::uint32_t> RoundRobinStrategy::prefilter(const PlacementContext &context) const
{
    const auto &eligible = context.pool.eligible;
    return eligible.empty() ? eligible : std::vector<std::uint32_t>{eligible[m_turn.fetch_add(1, std::memory_order_relaxed) % eligible.size()]};
}

void RoundRobinStrategy::score(const PlacementContext &, std::vector<UpstreamEstimate> &estimates) const
{
    // There is more than one estimate only if the upstream in turn may not be chosen.
    const std::uint64_t turn = estimates.size() > 1 ? m_turn.fetch_add(1, std::memory_order_relaxed) : 0;
    for (std::size_t i = 0; i < estimates.size(); ++i) {
        estimates[i].score = i == turn % estimates.size() ? 0 : 1;
    }
}

LeastLoadedStrategy::LeastLoadedStrategy(const SharedRoutingState &sharedState, std::uint64_t seed)
    : ScoringStrategy(sharedState, seed)
{
}

std::vector<std::uint32_t> LeastLoadedStrategy::prefilter(const PlacementContext &context) const
{
    return sample(context, sampleSize(context));
}

void LeastLoadedStrategy::score(const PlacementContext &, std::vector<UpstreamEstimate> &estimates) const
{
    for (auto &it : estimates) {
        it.score = it.queue.requests;
    }
}

RendezvousStrategy::RendezvousStrategy(const SharedRoutingState &sharedState, std::uint64_t seed)
    : ScoringStrategy(sharedState, seed)
{
}

std::vector<std::uint32_t> RendezvousStrategy::prefilter(const PlacementContext &context) const
{
    constexpr std::size_t Homes = 16;
    return homeOrder(context.view, context.pool, spreadKey(context), std::max(Homes, sampleSize(context)));
}

void RendezvousStrategy::score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const
{
    double requests = 0;
    for (const auto &it : estimates) {
        requests += it.queue.requests;
    }
    const double bound = LoadBound * (requests + 1) / static_cast<double>(std::max<std::size_t>(estimates.size(), 1));
    const auto order = homeOrder(context.view, context.pool, spreadKey(context), context.pool.eligible.size());
    for (auto &it : estimates) {
        const auto rank = static_cast<double>(std::find(order.begin(), order.end(), it.index) - order.begin());
        const bool isFull = it.queue.requests > bound;
        it.score = rank + (isFull ? static_cast<double>(order.size()) : 0);
    }
}

PrefixIndexStrategy::PrefixIndexStrategy(const SharedRoutingState &sharedState, std::uint64_t seed)
    : ScoringStrategy(sharedState, seed)
{
}

std::vector<std::uint32_t> PrefixIndexStrategy::prefilter(const PlacementContext &context) const
{
    std::vector<std::uint32_t> indexes = sample(context, sampleSize(context));
    addHolders(context, indexes);
    return indexes;
}

void PrefixIndexStrategy::score(const PlacementContext &, std::vector<UpstreamEstimate> &estimates) const
{
    const auto [least, most] = std::minmax_element(estimates.begin(), estimates.end(), [](const UpstreamEstimate &left, const UpstreamEstimate &right) {
        return left.queue.requests < right.queue.requests;
    });
    if (least == estimates.end()) {
        return;
    }
    constexpr double BlockWeight = 1e6; // one cached block outweighs any number of requests
    const bool isImbalanced = most->queue.requests - least->queue.requests > ImbalanceRequests && most->queue.requests > ImbalanceRatio * least->queue.requests;
    for (auto &it : estimates) {
        it.score = it.queue.requests - (isImbalanced ? 0 : BlockWeight * it.heldBlocks);
    }
}

} // namespace carawaylatch::routing
