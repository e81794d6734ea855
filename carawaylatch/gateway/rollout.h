// Brings the engines of the fleet to the weights that are named, while this
// router holds the lease.
//
// fleet::WeightsController decides which engines may change next; this part feeds
// it with what is known of each engine, orders its candidates by what is lost
// least, and keeps the list of changing engines that other routers read. No I/O:
// the control plane writes the list first, then gives the orders.
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
    // Engines of a pool that change at the same time. Their runs end while others
    // load, so it is above the loads that the weight store bears at once.
    double changingShare = 0.34;
    base::Duration settleTime = base::seconds{3}; // after taking over from another holder
    base::Duration orderTimeout = base::seconds{4}; // an order without effect is given again
};

class Rollout
{
public:
    explicit Rollout(RolloutSettings settings);

    // Engines to order now, with the orders that each had accepted where known.
    [[nodiscard]] std::vector<WeightsOrder> plan(base::TimePoint now, const fleet::Tenure &tenure, const FleetState &state);
    void onOrdered(base::TimePoint now, const base::UpstreamId &engine);
    // The order surely was not taken.
    void onRefused(const base::UpstreamId &engine);
    void onStatus(base::TimePoint askedAt, const base::UpstreamId &engine, const EngineStatus &status);
    // Engines whose status should be asked for: ordered, and not seen to have changed.
    [[nodiscard]] std::vector<WeightsOrder> pending() const;
    // What other routers should know.
    [[nodiscard]] ChangingEngines changing() const;
    // The lease was lost.
    void reset();

private:
    struct Pending
    {
        WeightsOrder order;
        base::TimePoint orderedAt;
    };
    struct Known
    {
        EngineStatus status;
        base::TimePoint askedAt;
    };

    RolloutSettings m_settings;
    fleet::WeightsController m_controller;
    std::map<base::UpstreamId, Pending> m_pending;
    std::map<base::UpstreamId, Known> m_known; // by asking the engine
    std::map<base::UpstreamId, base::WeightsVersion> m_changed; // of the present versions
};

} // namespace carawaylatch::gateway
