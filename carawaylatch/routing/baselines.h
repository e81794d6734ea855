// Common strategies, as baselines for comparison.
#pragma once

#include "carawaylatch/routing/scoring.h"

namespace carawaylatch::routing
{

// A random eligible upstream.
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

// Fewest requests, by the last load report and own requests since.
class LeastLoadedStrategy : public ScoringStrategy
{
public:
    LeastLoadedStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const PlacementContext &context) const override;
    void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const override;
};

// Rendezvous hash of the first block with bounded load (Mirrokni, Thorup and
// Zadimoghaddam 2018): the first in order with at most LoadBound times the mean number
// of requests.
class RendezvousStrategy : public ScoringStrategy
{
public:
    RendezvousStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const PlacementContext &context) const override;
    void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const override;
};

// Most cached blocks while the load is balanced, fewest requests otherwise.
class PrefixIndexStrategy : public ScoringStrategy
{
public:
    PrefixIndexStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

protected:
    [[nodiscard]] std::vector<std::uint32_t> prefilter(const PlacementContext &context) const override;
    void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const override;
};

} // namespace carawaylatch::routing
