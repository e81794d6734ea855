// Strategies by name.
#include "carawaylatch/routing/strategy.h"

#include "carawaylatch/routing/adaptive.h"
#include "carawaylatch/routing/baselines.h"

namespace carawaylatch::routing
{

namespace
{

using Maker = std::unique_ptr<RoutingStrategy> (*)(const RoutingKnowledge &knowledge, std::uint64_t seed);

template <typename Strategy>
std::unique_ptr<RoutingStrategy> make(const RoutingKnowledge &knowledge, std::uint64_t seed)
{
    return std::make_unique<Strategy>(knowledge, seed);
}

// In the order of StrategyNames.
constexpr std::array<Maker, StrategyNames.size()> Makers{
    make<RandomStrategy>, make<RoundRobinStrategy>, make<LeastLoadedStrategy>, make<RendezvousStrategy>, make<PrefixIndexStrategy>, make<AdaptiveStrategy>,
};

} // namespace

base::Result<std::unique_ptr<RoutingStrategy>> makeStrategy(std::string_view name, const RoutingKnowledge &knowledge, std::uint64_t seed)
{
    for (std::size_t i = 0; i < StrategyNames.size(); ++i) {
        if (StrategyNames[i] == name) {
            return Makers[i](knowledge, seed);
        }
    }
    return base::fail(base::ErrorKind::InvalidArgument,
                      "no strategy " + std::string(name) + "; use random, round-robin, least-loaded, rendezvous, prefix-index or adaptive");
}

} // namespace carawaylatch::routing
