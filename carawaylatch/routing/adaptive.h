// The default strategy: minimizes the expected time to first token, with home
// upstreams for prefixes so that all routers choose the same upstream for a prefix
// and caches do not fill with duplicates.
#pragma once

#include "carawaylatch/routing/scoring.h"

namespace carawaylatch::routing
{

class AdaptiveStrategy : public ScoringStrategy
{
public:
    AdaptiveStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> homes(const PlacementContext &context) const override;
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const PlacementContext &context) const override;
    void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const override;
    [[nodiscard]] std::uint32_t assumedRouters() const override;
    [[nodiscard]] double prefillCorrection(upstreams::Slot slot) const override;
    [[nodiscard]] Explanation describe(const PlacementContext &context) const override;
};

} // namespace carawaylatch::routing
