// Strategies to measure against; each is in wide use.
#pragma once

#include "carawaylatch/routing/scoring.h"

namespace carawaylatch::routing
{

// Any eligible upstream.
class RandomStrategy : public ScoringStrategy
{
public:
    RandomStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const PlacementContext &context) const override;
    void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const override;
};

// Each eligible upstream in turn.
class RoundRobinStrategy : public ScoringStrategy
{
public:
    RoundRobinStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const PlacementContext &context) const override;
    void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const override;

private:
    mutable std::atomic<std::uint64_t> m_turn;
};

// Fewest requests, by the last report and own requests since.
class LeastLoadedStrategy : public ScoringStrategy
{
public:
    LeastLoadedStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const PlacementContext &context) const override;
    void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const override;
};

// Rendezvous hash of the first block with bounded load (Mirrokni, Thorup and
// Zadimoghaddam 2018): the first in order whose requests are within LoadBound of the mean.
class RendezvousStrategy : public ScoringStrategy
{
public:
    RendezvousStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const PlacementContext &context) const override;
    void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const override;
};

// Most held blocks while the load is even, fewest requests where it is not.
class PrefixIndexStrategy : public ScoringStrategy
{
public:
    PrefixIndexStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const PlacementContext &context) const override;
    void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const override;
};

} // namespace carawaylatch::routing
