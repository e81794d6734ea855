// Chooses the upstreams for the attempts of one completion request and updates the
// routing state with their results.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "carawaylatch/relay/attemptplan.h"
#include "carawaylatch/router/filterchain.h"
#include "carawaylatch/router/routingstate.h"
#include "carawaylatch/upstreams/registry.h"

namespace carawaylatch::router
{

// Result of an attempt, sent from traffic threads to the control thread.
struct AttemptReport
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;
    upstreams::AttemptOutcome outcome = upstreams::AttemptOutcome::Succeeded;
};
using AttemptListener = std::function<void(const AttemptReport &attempt)>;

// Dependencies of placements; all outlive the requests.
struct PlacementDependencies
{
    const ControlSnapshotPointer &published;
    RoutingState &routingState;
    const routing::RoutingStrategy &strategy;
    const base::Clock &clock;
    AttemptListener onAttempt;
};

class CompletionPlacer : public relay::Placer
{
public:
    // Both outlive the placer.
    CompletionPlacer(const PlacementDependencies &dependencies, const RequestContext &context);

    [[nodiscard]] base::Result<relay::AttemptPlan> place(const relay::PlacementRequest &request) override;
    void firstToken(const relay::AttemptPlan &plan, base::Duration sinceStart) override;
    void ended(const relay::AttemptOutcome &outcome) override;

    // Prompt tokens that were computed although a live upstream had them cached when
    // the request was placed. Zero until an attempt has finished.
    [[nodiscard]] std::uint64_t wastedTokens() const;
    // Returns the placement that a new request would get, without recording it.
    [[nodiscard]] base::Result<routing::Placement> previewPlacement();
    // Returns all candidates of that placement with their estimates.
    [[nodiscard]] base::Result<routing::Explanation> explain();

private:
    // A placement whose attempt has not ended.
    struct OpenPlacement
    {
        upstreams::Slot slot;
        base::Incarnation incarnation;
        std::uint32_t predictedBlocks = 0;
        std::uint32_t maxCachedBlocks = 0; // leading blocks of the prompt cached at any one live upstream
        upstreams::InflightTable::Ticket ticket;
    };

    [[nodiscard]] routing::PlacementRequest routingRequest(const std::vector<base::UpstreamId> &excluded, base::TimePoint now) const;
    void prepareChain(base::WeightsVersion version);
    // Returns the current upstream view and prepares the block chain for `version`, by
    // default the version that the pool serves. Unavailable if the view is stale.
    [[nodiscard]] base::Result<std::shared_ptr<const upstreams::UpstreamView>> prepareView(std::optional<base::WeightsVersion> version, base::TimePoint now);
    [[nodiscard]] std::uint32_t findMaxCachedBlocks(base::TimePoint now) const;
    void recordUsage(const relay::AttemptOutcome &outcome, const OpenPlacement &openPlacement);

    const PlacementDependencies &m_dependencies;
    const RequestContext &m_context;
    std::uint32_t m_blockTokens = 1;
    base::WeightsVersion m_version; // of m_salt and m_chain
    base::CacheSalt m_salt;
    std::vector<std::uint64_t> m_chain;
    std::multimap<base::UpstreamId, OpenPlacement> m_openPlacements; // by upstream; a handful
    std::uint64_t m_wastedTokens = 0;
};

} // namespace carawaylatch::router
