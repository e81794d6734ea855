// Brings the engines of one failure domain to what their pools ask for.
//
// One controller a domain holds the lease. Each round it compares what engines
// report with their pool's version and adapter, and orders the differences:
//
//   - orders are absolute, so a repeat is harmless;
//   - an engine that is changing, not reached or leaving counts as away; never
//     more than maxUnavailableShare of a pool's engines of the domain are away by the
//     controller's doing (at least one, or nothing could ever change);
//   - each load, of weights or of an adapter, needs a slot (loadslots.h);
//   - engines that check fencing may be ordered at once; for those that do not, a
//     new holder waits until its predecessor's last order has landed, and trusts
//     only reports taken after that.
//
// No I/O: reports in, orders out. FleetDriver carries them out.
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
    base::Duration maxOrderDelay = base::seconds{10}; // an order lands within it or never
    base::Duration loadTimeout = base::seconds{60}; // an order without effect is repeated after it
    base::Duration maxReportAge = base::seconds{15}; // older reports count as none
};

// An engine's last report as the controller knows it.
struct ObservedEngine
{
    base::UpstreamId id;
    std::optional<EngineReport> report; // nothing: not reached
    base::TimePoint requestedAt; // when the report was asked for
};

struct PlannedOrder
{
    base::UpstreamId upstream;
    base::Endpoint endpoint;
    EngineOrder order;
    std::uint32_t slots = 0; // loads need one of so many slots; zero: needs none
};

enum class EngineChangeState {
    Unreachable, // no fresh report
    UpToDate, // reports what the pool asks for
    Outdated, // differs and is not ordered
    Ordered, // ordered; its effect not yet seen
    Loading, // reports that it loads
    Leaving, // gets no orders; stays last
};
constexpr std::size_t EngineChangeStateCount = static_cast<std::size_t>(EngineChangeState::Leaving) + 1;

// How the holder came to the lease.
struct LeaseTerm
{
    base::FenceToken fence;
    base::TimePoint since;
};

class WeightsController
{
public:
    WeightsController(base::FailureDomain domain, WeightsSettings settings);

    // Takes reports in and returns the orders to give now, most needed first.
    [[nodiscard]] std::vector<PlannedOrder> plan(base::TimePoint now, const LeaseTerm &term, std::span<const config::Pool> pools,
                                                 std::span<const ObservedEngine> engines);
    // Call before the order is sent; the engine is away until a report says otherwise.
    void recordOrder(base::TimePoint now, const base::UpstreamId &upstream);
    // The order certainly was not obeyed.
    void clearOrder(const base::UpstreamId &upstream);
    // Forgets all: the lease was lost.
    void reset();

    // Engines that can't change because too many are unreached or leaving.
    [[nodiscard]] std::size_t blockedEngines() const;
    [[nodiscard]] EngineChangeState changeState(const base::UpstreamId &upstream) const;

private:
    struct Engine
    {
        EngineChangeState state = EngineChangeState::Unreachable;
        std::optional<base::TimePoint> orderedAt; // of an order whose effect was not yet seen
        bool hasNoWeights = false; // holds no weights, so a load takes no capacity away
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
