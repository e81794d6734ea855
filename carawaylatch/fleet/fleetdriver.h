// Changes the weights of the engines of one failure domain: holds the domain's lease
// in the object store, polls the engines and sends them the orders that
// WeightsController plans. Call step() about twice a second from a worker thread; it
// blocks during the calls to the store and the engines.
//
//     FleetDriver driver(identity, store, engineControl, clock);
//     driver.step(snapshot->pools);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/fleet/enginecontrol.h"
#include "carawaylatch/fleet/lease.h"
#include "carawaylatch/fleet/loadslots.h"
#include "carawaylatch/fleet/weightscontroller.h"

namespace carawaylatch::fleet
{

struct FleetSettings
{
    LeaseSettings lease;
    WeightsSettings weights;
    base::Duration slotTimeout = base::minutes{5}; // must exceed the longest load of weights
    std::size_t maxReportsPerStep = 64; // engines polled in one step
};

struct FleetIdentity
{
    base::RouterId router;
    base::Incarnation incarnation;
    base::FailureDomain domain;
};

struct FleetCounters
{
    std::uint64_t orders = 0; // sent, including those whose response was lost
    std::uint64_t staleFenceRejections = 0; // orders rejected by an engine that has seen a higher fencing token
    std::uint64_t failedOrders = 0; // orders that were not sent
    std::uint64_t slotWaits = 0; // orders postponed because no load slot was acquired
    std::size_t blockedEngines = 0; // engines that can't change because too many are unreachable or leaving
    bool isHolder = false;
    base::FencingToken fence;
};

class FleetDriver
{
public:
    FleetDriver(FleetIdentity identity, store::ObjectStore &store, EngineControl &engines, const base::Clock &clock, FleetSettings settings = {});

    void step(std::span<const config::Pool> pools);
    // For status pages. Not thread-safe: call it on the thread that calls step().
    [[nodiscard]] const FleetCounters &counters() const;
    [[nodiscard]] EngineChangeState changeState(const base::UpstreamId &engine) const;

private:
    void updateLease();
    void pollEngines(std::span<const config::Pool> pools);
    void sendOrder(const PlannedOrder &planned);
    void recoverSlots(std::span<const config::Pool> pools);
    void releaseSlots();
    void recordBlockedEngines(std::size_t blockedEngines);

    FleetIdentity m_identity;
    std::string m_leaseName;
    store::ObjectStore &m_store;
    EngineControl &m_engineControl;
    const base::Clock &m_clock;
    FleetSettings m_settings;
    Lease m_lease;
    WeightsController m_controller;
    LoadSlots m_slots;
    std::vector<ObservedEngine> m_observed; // last reports, one for each engine of the domain's pools
    std::size_t m_nextMember = 0;
    std::map<base::UpstreamId, std::uint32_t> m_slotHolders; // engine to the number of slots among which it holds one
    FleetCounters m_counters;
};

} // namespace carawaylatch::fleet
