// Reconciles the engines of one failure domain with the weights version and adapter that
// their pools specify.
//
// The lease holder of the domain compares the engines' reports with the pools in each
// round and orders the differences:
//
//   - an order names the desired state, so repeating it is harmless;
//   - an engine that is changing, unreachable or leaving counts as unavailable; an engine
//     that serves is ordered only while fewer than maxUnavailableShare of the pool's
//     engines of the domain are unavailable (at least one, or nothing could ever change);
//   - each load, of weights or of an adapter, needs a slot (loadslots.h);
//   - engines that check fencing tokens may be ordered at once; for others a new holder
//     waits until the previous holder's last order must have arrived, and uses only
//     reports taken after that.
//
// The class does no I/O: it takes reports and returns orders, which FleetDriver sends.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/fleet/enginecontrol.h"

namespace carawaylatch::fleet
{

struct WeightsSettings
{
    double maxUnavailableShare = 0.34; // of a pool's engines in the domain
    base::Duration maxOrderDelay = base::seconds{10}; // an order arrives within this time or not at all
    base::Duration loadTimeout = base::seconds{60}; // after it an order without effect is repeated
    base::Duration maxReportAge = base::seconds{15}; // an engine without a newer report counts as unreachable
};

// Last poll of an engine.
struct ObservedEngine
{
    base::UpstreamId id;
    std::optional<EngineReport> report; // nothing: unreachable
    base::TimePoint requestedAt; // when the report was requested; report->age counts back from here
};

struct PlannedOrder
{
    base::UpstreamId upstream;
    base::Endpoint endpoint;
    EngineOrder order;
    std::uint32_t slots = 0; // the order needs one of so many load slots; zero: none
};

enum class EngineChangeState {
    Unreachable, // no recent report
    UpToDate, // reports what the pool specifies
    Outdated, // differs from the pool, and no order is pending
    Ordered, // an order was sent; no report shows its effect yet
    Loading, // reports that it is loading
    Leaving, // gets no orders; must stay last
};
constexpr std::size_t EngineChangeStateCount = static_cast<std::size_t>(EngineChangeState::Leaving) + 1;

// The current period in which this router holds the lease.
struct LeaseTerm
{
    base::FencingToken fence;
    base::TimePoint since;
};

class WeightsController
{
public:
    WeightsController(base::FailureDomain domain, WeightsSettings settings);

    // Returns the orders to send now. Engines without weights come first, as they serve
    // nothing.
    [[nodiscard]] std::vector<PlannedOrder> plan(base::TimePoint now, const LeaseTerm &term, std::span<const config::Pool> pools,
                                                 std::span<const ObservedEngine> engines);
    // Call it before the order is sent. The engine counts as unavailable until a report
    // shows the order's effect or loadTimeout has passed.
    void recordOrder(base::TimePoint now, const base::UpstreamId &upstream);
    // The engine has no pending order: it was certainly not executed, or is done.
    void clearOrder(const base::UpstreamId &upstream);
    // Drops all state. Call it when the lease is lost.
    void reset();

    // Number of engines that can't change because too many are unreachable or leaving.
    [[nodiscard]] std::size_t blockedEngines() const;
    [[nodiscard]] EngineChangeState changeState(const base::UpstreamId &upstream) const;

private:
    struct Engine
    {
        EngineChangeState state = EngineChangeState::Unreachable;
        std::optional<base::TimePoint> orderedAt; // of a pending order
        bool hasNoWeights = false; // serves nothing, so a load costs no capacity
    };
    [[nodiscard]] EngineChangeState classify(base::TimePoint now, const config::Pool &pool, const ObservedEngine &observed, Engine &engine) const;
    void planPool(base::TimePoint now, const LeaseTerm &term, const config::Pool &pool, std::span<const ObservedEngine> engines,
                  std::vector<PlannedOrder> &orders);

    base::FailureDomain m_domain;
    WeightsSettings m_settings;
    std::size_t m_blockedEngines = 0;
    std::map<base::UpstreamId, Engine> m_engines; // members of the domain's pools
};

} // namespace carawaylatch::fleet
