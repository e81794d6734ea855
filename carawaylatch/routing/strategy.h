// Chooses the upstream for a request.
//
// A strategy reads a snapshot of the upstreams, the request's block keys and the
// router's shared state (cache index, prefix heat, own requests in flight), and
// returns one upstream or the reason that none is available. It keeps no record of
// outcomes itself: the caller records them in the shared state.
//
//     auto strategy = makeStrategy("adaptive", sharedState, seed);
//     BOOST_OUTCOME_TRY(auto placement, strategy.value()->place(request, *view));
//     auto ticket = inflight.begin(placement.slot, placement.missingTokens, now);
//     caches.recordPlacement(placement.slot, placement.incarnation, chain, now);
//     heat.record(pool, chain, request.promptTokens, upstreams, now);
//     ... caches.recordAnswer({...}, now) when the response reports its usage.
//
// place() and explain() are thread-safe.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::prefix
{
class CacheIndex;
class HeatTable;
} // namespace carawaylatch::prefix
namespace carawaylatch::upstreams
{
class InflightTable;
} // namespace carawaylatch::upstreams

namespace carawaylatch::routing
{

struct PlacementRequest
{
    base::TimePoint now;
    base::PoolName pool;
    std::span<const std::uint64_t> chain; // block keys; empty for services and short prompts
    std::uint32_t promptTokens = 0;
    std::uint32_t blockTokens = 1000; // tokens in one block
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    base::FailureDomain domain; // this router's failure domain
    base::TimePoint deadline; // for the first token; zero for none
    std::span<const base::UpstreamId> excluded; // tried before, or used by the other attempt of a hedged request
    std::uint64_t spreadKey = 0; // hash of the request id; used where the chain is empty
};

// Cached state worth fetching from the pool's KV cache store before the prompt is computed.
struct ImportHint
{
    std::uint32_t firstBlock = 0;
    std::uint32_t blocks = 0;
    base::Duration saving{};
};

struct Placement
{
    base::UpstreamId upstream;
    upstreams::Slot slot;
    base::Incarnation incarnation;
    base::Endpoint endpoint;
    base::WeightsVersion weightsVersion;
    std::uint32_t predictedBlocks = 0; // leading blocks expected in the upstream's cache
    std::uint32_t missingTokens = 0; // prompt tokens that the upstream has to compute
    base::Duration expectedWait{}; // until the upstream starts this request
    base::Duration expectedFirstToken{}; // expectedWait plus prefill
    std::optional<ImportHint> importHint;
};

// One upstream considered for a request, as explain() returns it; times are estimates.
struct Candidate
{
    base::UpstreamId upstream;
    upstreams::UpstreamState state = upstreams::UpstreamState::Unknown;
    std::uint32_t heldBlocks = 0;
    std::uint32_t missingTokens = 0;
    base::Duration expectedWait{};
    base::Duration prefill{};
    base::Duration penalty{}; // cost of displacing cached blocks of other requests
    double score = 0; // the lowest score is chosen
    enum class Verdict {
        Chosen,
        Possible,
        Excluded, // by the request
        NotEligible, // by its state
        NotConsidered, // not selected by the prefilter
    } verdict = Verdict::Possible;
};

// Returns the verdict's name, such as "chosen".
[[nodiscard]] std::string_view verdictName(Candidate::Verdict verdict);

struct Explanation
{
    std::vector<Candidate> candidates; // ordered by upstream id
    std::uint32_t homeBlocks = 0; // length of the level that determines the home
    std::uint32_t homeReplicas = 0;
};

// State that the strategies share; must outlive them. All pointers must be set.
struct SharedRoutingState
{
    const prefix::CacheIndex *caches = nullptr;
    const prefix::HeatTable *heat = nullptr;
    const upstreams::InflightTable *inflight = nullptr;
    // Routers that send to the same upstreams, this one included; may change at any time.
    const std::atomic<std::uint32_t> *routers = nullptr;
};

class RoutingStrategy
{
public:
    virtual ~RoutingStrategy() = default;

    // Returns the chosen upstream, or Unavailable with the shortest delay after which a
    // retry can succeed.
    [[nodiscard]] virtual base::Result<Placement> place(const PlacementRequest &request, const upstreams::UpstreamView &view) const = 0;
    // Returns every member of the pool with its estimates and verdict.
    [[nodiscard]] virtual base::Result<Explanation> explain(const PlacementRequest &request, const upstreams::UpstreamView &view) const = 0;
};

// Names that makeStrategy() accepts; the last is the default.
constexpr std::array<std::string_view, 6> StrategyNames{"random", "round-robin", "least-loaded", "rendezvous", "prefix-index", "adaptive"};

// Returns the strategy with this name, or InvalidArgument.
[[nodiscard]] base::Result<std::unique_ptr<RoutingStrategy>> makeStrategy(std::string_view name, const SharedRoutingState &sharedState, std::uint64_t seed);

} // namespace carawaylatch::routing
