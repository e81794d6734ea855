// What all strategies share: which upstreams may be chosen, what is known of each,
// and the choice of the least score. A strategy adds two steps of its own: which
// upstreams to look at, and the score of each.
#pragma once

#include <atomic>
#include <cstdint>
#include <vector>

#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/routing/estimate.h"
#include "carawaylatch/routing/strategy.h"

namespace carawaylatch::routing
{

// Inputs of one decision and what is looked up once for it.
struct PlacementContext
{
    const PlacementRequest &request;
    const upstreams::UpstreamView &view;
    const upstreams::PoolView &pool;
    std::vector<prefix::Holder> holders; // of the request's chain, ordered by slot
    std::vector<std::uint32_t> homes; // where the strategy wants the chain to be, if anywhere
};

// An upstream under consideration.
struct UpstreamEstimate
{
    std::uint32_t index = 0; // in view.upstreams
    std::uint32_t heldBlocks = 0;
    std::uint32_t missingTokens = 0;
    QueueEstimate queue;
    base::Duration prefill{};
    base::Duration penalty{};
    double score = 0; // least wins
};

class ScoringStrategy : public RoutingStrategy
{
public:
    [[nodiscard]] base::Result<Placement> place(const PlacementRequest &request, const upstreams::UpstreamView &view) const override;
    [[nodiscard]] base::Result<Explanation> explain(const PlacementRequest &request, const upstreams::UpstreamView &view) const override;

protected:
    ScoringStrategy(const SharedRoutingState &sharedState, std::uint64_t seed);

    // Returns where the chain should be, as indexes into view.upstreams.
    [[nodiscard]] virtual std::vector<std::uint32_t> homes(const PlacementContext &context) const;
    // Returns the upstreams to look at, as indexes into view.upstreams; may name one twice.
    [[nodiscard]] virtual std::vector<std::uint32_t> prefilter(const PlacementContext &context) const = 0;
    // Sets the score of each option.
    virtual void score(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates) const = 0;
    // Returns how many routers' work the queue estimate assumes.
    [[nodiscard]] virtual std::uint32_t assumedRouters() const;
    // Returns what the queue estimate multiplies queued work by.
    [[nodiscard]] virtual double prefillCorrection(upstreams::Slot slot) const;
    // Returns the home set that explain() shows.
    [[nodiscard]] virtual Explanation describe(const PlacementContext &context) const;

    [[nodiscard]] const SharedRoutingState &sharedState() const;
    // Returns a random number; the sequence repeats under the seed.
    [[nodiscard]] std::uint64_t nextRandom() const;
    // Returns up to n random eligible upstreams, perhaps one twice; all if there are no more than n.
    [[nodiscard]] std::vector<std::uint32_t> sample(const PlacementContext &context, std::size_t n) const;
    // Adds the pool's upstreams that hold the start of the request's chain.
    static void addHolders(const PlacementContext &context, std::vector<std::uint32_t> &indexes);
    // Returns the key that spreads a request without blocks.
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
