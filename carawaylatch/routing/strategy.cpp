// Creates strategies by name.
#include "carawaylatch/routing/strategy.h"

#include "carawaylatch/routing/adaptive.h"
#include "carawaylatch/routing/baselines.h"

namespace carawaylatch::routing
{

namespace
{

using Factory = std::unique_ptr<RoutingStrategy> (*)(const SharedRoutingState &sharedState, std::uint64_t seed);

template <typename Strategy>
std::unique_ptr<RoutingStrategy> create(const SharedRoutingState &sharedState, std::uint64_t seed)
{
    return std::make_unique<Strategy>(sharedState, seed);
}

// In the order of StrategyNames.
constexpr std::array<Factory, StrategyNames.size()> Factories{
    create<RandomStrategy>,     create<RoundRobinStrategy>,  create<LeastLoadedStrategy>,
    create<RendezvousStrategy>, create<PrefixIndexStrategy>, create<AdaptiveStrategy>,
};

} // namespace

base::Result<std::unique_ptr<RoutingStrategy>> makeStrategy(std::string_view name, const SharedRoutingState &sharedState, std::uint64_t seed)
{
    for (std::size_t i = 0; i < StrategyNames.size(); ++i) {
        if (StrategyNames[i] == name) {
            return Factories[i](sharedState, seed);
        }
    }
    return base::fail(base::ErrorKind::InvalidArgument,
                      "no strategy " + std::string(name) + "; use random, round-robin, least-loaded, rendezvous, prefix-index or adaptive");
}

} // namespace carawaylatch::routing
