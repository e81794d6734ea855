// Common part of all strategies: which upstreams may be chosen, the estimates for
// each, and the choice of the lowest score. A strategy defines which upstreams to
// consider and the score of each.
#pragma once

#include <atomic>
#include <cstdint>
#include <vector>

#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/routing/estimate.h"
#include "carawaylatch/routing/strategy.h"

namespace carawaylatch::routing
{

// Inputs of one placement and the data looked up once for it.
struct PlacementContext
{
    const PlacementRequest &request;
    const upstreams::UpstreamView &view;
    const upstreams::PoolView &pool;
    std::vector<prefix::Holder> holders; // of the request's chain, ordered by slot
    std::vector<std::uint32_t> homes; // the chain's home upstreams, if the strategy has any
};

// Estimates for one considered upstream.
struct UpstreamEstimate
{
    std::uint32_t index = 0; // in view.upstreams
    std::uint32_t heldBlocks = 0;
    std::uint32_t missingTokens = 0;
    QueueEstimate queue;
    base::Duration prefill{};
    base::Duration penalty{};
    double score = 0; // the lowest score is chosen
};

class ScoringStrategy : public RoutingStrategy
{
public:
    [[nodiscard]] base::Result<Placement> place(const PlacementRequest &request, const upstreams::UpstreamView &view) const override;
    [[nodiscard]] base::Result<Explanation> explain(const PlacementRequest &request, const upstreams::UpstreamView &view) const override;

protected:
    ScoringStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

    // Returns the chain's home upstreams, as indexes into view.upstreams.
    [[nodiscard]] virtual std::vector<std::uint32_t> homes(const PlacementContext &context) const;
    // Returns the upstreams to consider, as indexes into view.upstreams; may contain duplicates.
    [[nodiscard]] virtual std::vector<std::uint32_t> prefilter(const PlacementContext &context) const = 0;
    // Sets the score of each estimate.
    virtual void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const = 0;
    // Returns the number of routers that the queue estimate assumes.
    [[nodiscard]] virtual std::uint32_t assumedRouters() const;
    // Returns the factor by which the queue estimate multiplies queued work.
    [[nodiscard]] virtual double prefillCorrection(upstreams::Slot slot) const;
    // Returns the home fields of explain().
    [[nodiscard]] virtual Explanation describe(const PlacementContext &context) const;

    [[nodiscard]] const SharedRoutingState &sharedState() const;
    // Returns a random number; the sequence is determined by the seed.
    [[nodiscard]] std::uint64_t nextRandom() const;
    // Returns n random eligible upstreams, possibly with duplicates, or all if there are at most n.
    [[nodiscard]] std::vector<std::uint32_t> sample(const PlacementContext &context, std::size_t n) const;
    // Adds the pool's eligible upstreams that hold the start of the request's chain.
    static void addHolders(const PlacementContext &context, std::vector<std::uint32_t> &indexes);
    // Returns the hash key of a request: its first block, or the request's spreadKey if it has none.
    [[nodiscard]] static std::uint64_t spreadKey(const PlacementContext &context);

private:
    [[nodiscard]] PlacementContext makeContext(const PlacementRequest &request, const upstreams::UpstreamView &view, const upstreams::PoolView &pool) const;
    [[nodiscard]] std::vector<UpstreamEstimate> estimates(const PlacementContext &context) const;
    [[nodiscard]] UpstreamEstimate makeEstimate(const PlacementContext &context, std::uint32_t index) const;
    static void addHeldBlocks(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates);

    SharedRoutingState m_sharedState;
    std::uint64_t m_seed;
    mutable std::atomic<std::uint64_t> m_randomCount{0};
};

} // namespace carawaylatch::routing
