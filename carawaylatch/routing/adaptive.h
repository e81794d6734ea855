// The default strategy: least expected time to first token, with homes for
// prefixes so that routers agree and caches are not filled with copies.
#pragma once

#include "carawaylatch/routing/scoring.h"

namespace carawaylatch::routing
{

class AdaptiveStrategy : public ScoringStrategy
{
public:
    AdaptiveStrategy(const RoutingKnowledge &knowledge, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> homes(const Decision &decision) const override;
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const Decision &decision) const override;
    void score(const Decision &decision, std::vector<Option> &options) const override;
    [[nodiscard]] std::uint32_t assumedRouters() const override;
    [[nodiscard]] double workRatio(upstreams::Slot slot) const override;
    [[nodiscard]] Explanation describe(const Decision &decision) const override;
};

} // namespace carawaylatch::routing
