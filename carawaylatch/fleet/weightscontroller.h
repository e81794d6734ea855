// Brings the engines of one failure domain to what their pools ask for.
//
// One controller a domain holds the lease. Each round it compares what engines
// report with their pool's version, adapter and role, and orders the differences:
//
//   - absolute orders, so a repeat is harmless;
//   - an engine that is changing counts as away; never more than a share of a
//     pool's engines of the domain are away at once (one if the share is less);
//   - each load holds one of Pool::maxLoads slots, shared by all domains;
//   - engines that check fencing may be ordered at once; for those that do not,
//     a new holder waits until its predecessor's last order has landed, then
//     trusts only reports taken after that.
//
// No I/O: reports in, orders out. FleetDriver carries them out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/fleet/enginecontrol.h"

namespace carawaylatch::fleet
{

struct WeightsSettings
{
    double maxAwayShare = 0.34; // of a pool's engines in the domain, changing at once
    base::Duration longestInFlight = base::seconds{10}; // an order can land so late
    base::Duration loadTimeout = base::seconds{60}; // an order is repeated after it
    base::Duration staleAfter = base::seconds{5}; // older reports count as no report
};

// An engine's last report as the controller knows it.
struct ObservedEngine
{
    base::UpstreamId id;
    std::optional<EngineReport> report; // nothing: not reached
    base::TimePoint takenAt; // when the report was asked for
};

struct PlannedOrder
{
    base::PoolName pool;
    base::UpstreamId upstream;
    base::Endpoint endpoint;
    EngineOrder order;
    bool needsSlot = false; // a load of weights
};

enum class ChangeStep {
    Settled, // reports what the pool asks for
    Wanted, // differs; not ordered yet
    Ordered, // ordered; not yet seen
    Loading, // reports that it loads
    Unreached, // no fresh report
};

class WeightsController
{
public:
    WeightsController(base::FailureDomain domain, WeightsSettings settings);

    // Returns the orders to give now. `held` is the time this holder has held the lease.
    [[nodiscard]] std::vector<PlannedOrder> plan(base::TimePoint now, base::FenceToken fence, base::Duration held, std::span<const config::Pool> pools,
                                                 std::span<const ObservedEngine> engines);
    // The order was given (or may have been); the engine counts as away until its report says otherwise.
    void onOrdered(base::TimePoint now, const PlannedOrder &order);
    // Nothing was sent, or the engine refused it.
    void onNotOrdered(const PlannedOrder &order);
    // Forgets all: the lease was lost.
    void reset();

    [[nodiscard]] ChangeStep step(const base::UpstreamId &upstream) const;

private:
    struct Engine
    {
        ChangeStep step = ChangeStep::Unreached;
        base::TimePoint orderedAt;
    };
    void observe(base::TimePoint now, const config::Pool &pool, const ObservedEngine &engine);

    base::FailureDomain m_domain;
    WeightsSettings m_settings;
    std::map<base::UpstreamId, Engine> m_engines; // only members of the domain
};

} // namespace carawaylatch::fleet
