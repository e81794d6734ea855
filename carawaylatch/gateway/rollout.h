// Rolls out target weights to the engines of the fleet while this router holds the lease.
//
// Designed for new weights every few seconds under continuous traffic. An engine goes
// through three stages:
//
//   draining    routers send it no new requests; running requests finish
//   ordered     it was ordered to load the weights
//   completed   it has the weights
//
// fleet::WeightsController decides which engines leave service next. Rollout passes it
// the state of the fleet, limits concurrent loads to what the weight store can serve, and
// bounds the draining time: requests that still run then continue with the new weights,
// which does less harm than a fleet that stays on the old ones. The class does no I/O.
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
    // Share of a pool's engines that may be out of service at the same time: those that
    // load, and as many that are draining meanwhile.
    double maxUnavailableShare = 0.45;
    // Concurrent loads, as a share of all engines and as a lower bound of the limit. The
    // weight stores of the deployments serve 2 loads for 9 engines, 3 for 18, 18 for 90.
    double maxLoadingShare = 0.2;
    std::uint32_t minLoadLimit = 2;
    base::Duration maxDrainTime = base::milliseconds{700}; // most requests finish earlier
    base::Duration takeoverDelay = base::seconds{3}; // after taking the lease over from another holder
    base::Duration orderFlightTime = base::milliseconds{1500}; // the longest time from sending an order to its arrival
    base::Duration orderTimeout = base::seconds{3}; // after it an order without effect is repeated; loads take a fifth of it
};

// Who held the lease before this process, as far as its lease tells.
enum class PreviousHolder {
    SameRouter, // an earlier process of this router
    OtherRouter,
};

class Rollout
{
public:
    Rollout(base::RouterId router, RolloutSettings settings);

    // Moves engines through the stages and returns the orders to send now.
    [[nodiscard]] std::vector<WeightsOrder> plan(base::TimePoint now, const fleet::LeaseTerm &term, const FleetState &state);
    // Call it once for each order that plan() has returned, when nothing of it can arrive any more. Until
    // then the engine gets no other order.
    void onOrderEnded(base::TimePoint now, const base::UpstreamId &engine);
    // The order was certainly not accepted; it will be repeated.
    void onOrderRejected(base::TimePoint now, const base::UpstreamId &engine);
    void onStatus(base::TimePoint requestedAt, const base::UpstreamId &engine, const EngineStatus &status);
    // Returns an order for each engine whose change is not complete; poll their status.
    [[nodiscard]] std::vector<WeightsOrder> pendingOrders() const;
    // Returns the engines to publish to other routers. Other engines that were ordered of late, by this
    // router or by previous holders, count as changed to version zero, for the next holder.
    [[nodiscard]] ChangingEngines changing(base::TimePoint now) const;
    // Previous holders may just have sent orders to these engines: they get no orders from this
    // router until takeoverDelay has passed, or orderFlightTime if this router sent them itself. The
    // writer of the list tells as well, since the last holder may have published none. `seenAt` is
    // when this router first read the list, or later.
    void takeOver(base::TimePoint now, const ChangingEngines &inherited, PreviousHolder holder, base::TimePoint seenAt);
    // No engine gets orders before this time, also after reset().
    void holdOrdersUntil(base::TimePoint time);
    // Drops all changes. Call it when the lease is lost. Orders that may have arrived of late are still known,
    // as this router may acquire the lease again.
    void reset();

private:
    struct Change
    {
        WeightsOrder order;
        base::TimePoint drainingSince;
        std::optional<base::TimePoint> orderedAt; // no value while draining
        std::optional<EngineStatus> status; // requested since the draining started
        base::TimePoint earliestOrderAt; // no order is sent before it
    };
    struct Fleet;

    [[nodiscard]] Fleet observe(base::TimePoint now, const FleetState &state);
    void removeCompleted(base::TimePoint now, const FleetState &state);
    void removeOutdated(base::TimePoint now);
    [[nodiscard]] bool isUnderWay(const base::UpstreamId &engine) const;
    void startDraining(base::TimePoint now, const fleet::LeaseTerm &term, const Fleet &fleet, const FleetState &state);
    [[nodiscard]] bool isDrained(base::TimePoint now, const Change &change) const;

    base::RouterId m_router;
    RolloutSettings m_settings;
    fleet::WeightsController m_controller;
    std::map<base::UpstreamId, Change> m_changes;
    std::map<base::UpstreamId, base::TimePoint> m_noOrdersUntil; // engines of previous lease holders
    base::TimePoint m_holdOrdersUntil; // for all engines
    struct SentOrder
    {
        bool isUnderWay = true;
        base::TimePoint at; // planned, or ended if it is not under way
    };
    std::map<base::UpstreamId, SentOrder> m_sentOrders; // the last of each engine, for takeoverDelay after its end
    struct CompletedChange
    {
        base::WeightsVersion weights;
        base::TimePoint orderedAt;
    };
    std::map<base::UpstreamId, CompletedChange> m_completed; // those ordered within the last takeoverDelay
};

} // namespace carawaylatch::gateway
