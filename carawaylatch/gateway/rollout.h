// Brings the engines of the fleet to the weights that are named, while this
// router holds the lease.
//
// The load it answers: new weights every few seconds while requests go on. An
// engine goes through three stages:
//
//   draining   routers send it nothing new; its runs end
//   ordered    it was told to load
//   settled    it has the weights
//
// fleet::WeightsController decides which engines leave service next; this part
// feeds it with what is known, bounds the loads at the same time by what the
// weight store bears, and cuts the draining short: a run that is still under way
// then goes on with the new weights, which spoils less than a fleet that stays on
// the old ones. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/fleet/weightscontroller.h"
#include "carawaylatch/gateway/engineclient.h"
#include "carawaylatch/gateway/fleetstate.h"

namespace carawaylatch::gateway
{

struct RolloutSettings
{
    // Engines of a pool that are out of service at the same time: those that load and
    // as many that drain meanwhile.
    double maxUnavailableShare = 0.45;
    // Loads at the same time that the weight store bears, as the deployments' sheets
    // tell: 2 of 9 engines, 3 of 18, 18 of 90.
    double maxLoadingShare = 0.2;
    std::uint32_t minLoadLimit = 2;
    base::Duration maxDrainTime = base::milliseconds{700}; // most runs take less
    base::Duration takeoverDelay = base::seconds{3}; // after taking over from another holder
    base::Duration orderTimeout = base::seconds{3}; // an order without effect is given again; loads take a fifth of it
};

class Rollout
{
public:
    explicit Rollout(RolloutSettings settings);

    // Moves engines through the stages; returns the orders to give now.
    [[nodiscard]] std::vector<WeightsOrder> plan(base::TimePoint now, const fleet::LeaseTerm &term, const FleetState &state);
    // The order surely was not taken: it is given again.
    void onOrderRejected(base::TimePoint now, const base::UpstreamId &engine);
    void onStatus(base::TimePoint requestedAt, const base::UpstreamId &engine, const EngineStatus &status);
    // Engines whose status should be asked for.
    [[nodiscard]] std::vector<WeightsOrder> pendingOrders() const;
    // What other routers should know.
    [[nodiscard]] ChangingEngines changing() const;
    // Another router held the lease before and may have ordered these engines a moment
    // ago: they get no order of this one before the settle time is over.
    void takeOver(base::TimePoint now, const ChangingEngines &inherited);
    // The lease was lost.
    void reset();

private:
    struct Change
    {
        WeightsOrder order;
        base::TimePoint drainingSince;
        std::optional<base::TimePoint> orderedAt; // nothing while draining
        std::optional<EngineStatus> status; // asked for since the draining began
        base::TimePoint earliestOrderAt; // not ordered before
    };
    struct Fleet;

    [[nodiscard]] Fleet observe(base::TimePoint now, const FleetState &state);
    void removeCompleted(base::TimePoint now, const FleetState &state);
    void startDraining(base::TimePoint now, const fleet::LeaseTerm &term, const Fleet &fleet, const FleetState &state);
    [[nodiscard]] bool isDrained(base::TimePoint now, const Change &change) const;

    RolloutSettings m_settings;
    fleet::WeightsController m_controller;
    std::map<base::UpstreamId, Change> m_changes;
    std::map<base::UpstreamId, base::TimePoint> m_noOrdersUntil; // engines of a predecessor
    struct CompletedChange
    {
        base::WeightsVersion weights;
        base::TimePoint orderedAt;
    };
    std::map<base::UpstreamId, CompletedChange> m_completed; // ordered within the settle time
};

} // namespace carawaylatch::gateway
