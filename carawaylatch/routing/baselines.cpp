// Baselines.
//
// They get what a fair comparison needs: the same eligibility rules, the same
// shared index, own requests since the last report. They don't get the estimate of
// other routers' work, heat, or a cost model; these are what adaptive adds.
#include "carawaylatch/routing/baselines.h"

#include <algorithm>

#include "carawaylatch/routing/rendezvous.h"

namespace carawaylatch::routing
{

namespace
{

constexpr std::size_t ScanLimit = 64; // pools up to this size are looked at whole
constexpr std::size_t LoadSamples = 16;
constexpr double LoadBound = 1.25;
constexpr double ImbalanceRequests = 8;
constexpr double ImbalanceRatio = 1.5;

std::size_t sampleSize(const Decision &decision)
{
    return decision.pool.eligible.size() <= ScanLimit ? ScanLimit : LoadSamples;
}

} // namespace

RandomStrategy::RandomStrategy(const RoutingKnowledge &knowledge, std::uint64_t seed)
    : ScoringStrategy(knowledge, seed)
{
}

std::vector<std::uint32_t> RandomStrategy::prefilter(const Decision &decision) const
{
    const auto &eligible = decision.pool.eligible;
    return eligible.empty() ? eligible : std::vector<std::uint32_t>{eligible[draw() % eligible.size()]};
}

void RandomStrategy::score(const Decision &, std::vector<Option> &options) const
{
    for (auto &it : options) {
        it.score = static_cast<double>(draw());
    }
}

RoundRobinStrategy::RoundRobinStrategy(const RoutingKnowledge &knowledge, std::uint64_t seed)
    : ScoringStrategy(knowledge, seed)
    , m_turn(seed)
{
}

std::vector<std::uint32_t> RoundRobinStrategy::prefilter(const Decision &decision) const
{
    const auto &eligible = decision.pool.eligible;
    return eligible.empty() ? eligible : std::vector<std::uint32_t>{eligible[m_turn.fetch_add(1, std::memory_order_relaxed) % eligible.size()]};
}

void RoundRobinStrategy::score(const Decision &, std::vector<Option> &options) const
{
    // More than one option only if the one in turn may not be chosen.
    const std::uint64_t turn = options.size() > 1 ? m_turn.fetch_add(1, std::memory_order_relaxed) : 0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        options[i].score = i == turn % options.size() ? 0 : 1;
    }
}

LeastLoadedStrategy::LeastLoadedStrategy(const RoutingKnowledge &knowledge, std::uint64_t seed)
    : ScoringStrategy(knowledge, seed)
{
}

std::vector<std::uint32_t> LeastLoadedStrategy::prefilter(const Decision &decision) const
{
    return sample(decision, sampleSize(decision));
}

void LeastLoadedStrategy::score(const Decision &, std::vector<Option> &options) const
{
    for (auto &it : options) {
        it.score = it.queue.requests;
    }
}

RendezvousStrategy::RendezvousStrategy(const RoutingKnowledge &knowledge, std::uint64_t seed)
    : ScoringStrategy(knowledge, seed)
{
}

std::vector<std::uint32_t> RendezvousStrategy::prefilter(const Decision &decision) const
{
    constexpr std::size_t Homes = 16;
    return homeOrder(decision.view, decision.pool, spreadKey(decision), std::max(Homes, sampleSize(decision)));
}

void RendezvousStrategy::score(const Decision &decision, std::vector<Option> &options) const
{
    double requests = 0;
    for (const auto &it : options) {
        requests += it.queue.requests;
    }
    const double bound = LoadBound * (requests + 1) / static_cast<double>(std::max<std::size_t>(options.size(), 1));
    const auto order = homeOrder(decision.view, decision.pool, spreadKey(decision), decision.pool.eligible.size());
    for (auto &it : options) {
        const auto rank = static_cast<double>(std::find(order.begin(), order.end(), it.index) - order.begin());
        const bool isFull = it.queue.requests > bound;
        it.score = rank + (isFull ? static_cast<double>(order.size()) : 0);
    }
}

PrefixIndexStrategy::PrefixIndexStrategy(const RoutingKnowledge &knowledge, std::uint64_t seed)
    : ScoringStrategy(knowledge, seed)
{
}

std::vector<std::uint32_t> PrefixIndexStrategy::prefilter(const Decision &decision) const
{
    std::vector<std::uint32_t> indexes = sample(decision, sampleSize(decision));
    addHolders(decision, indexes);
    return indexes;
}

void PrefixIndexStrategy::score(const Decision &, std::vector<Option> &options) const
{
    const auto [least, most] = std::minmax_element(options.begin(), options.end(), [](const Option &left, const Option &right) {
        return left.queue.requests < right.queue.requests;
    });
    if (least == options.end()) {
        return;
    }
    constexpr double BlockWeight = 1e6; // a held block outweighs any number of requests
    const bool isUneven = most->queue.requests - least->queue.requests > ImbalanceRequests && most->queue.requests > ImbalanceRatio * least->queue.requests;
    for (auto &it : options) {
        it.score = it.queue.requests - (isUneven ? 0 : BlockWeight * it.heldBlocks);
    }
}

} // namespace carawaylatch::routing
