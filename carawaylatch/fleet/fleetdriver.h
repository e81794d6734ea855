// Runs the lease and the weights controller of one failure domain against the
// platform and the engines. Call step() from a platform worker thread, about
// twice a second; it blocks for the calls it makes.
//
//     FleetDriver driver(identity, store, engines, clock, settings);
//     timer: driver.step(snapshot->pools);
#pragma once

#include <cstdint>
#include <map>
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
};

struct FleetIdentity
{
    base::RouterId router;
    base::Incarnation incarnation;
    base::FailureDomain domain;
};

struct FleetCounters
{
    std::uint64_t orders = 0;
    std::uint64_t refusedAsOld = 0;
    std::uint64_t failedOrders = 0;
    std::uint64_t waitingForSlot = 0;
    bool isHolder = false;
    std::uint64_t fence = 0;
};

class FleetDriver
{
public:
    FleetDriver(FleetIdentity identity, platform::ObjectStore &store, EngineControl &engines, const base::Clock &clock, FleetSettings settings = {});

    void step(std::span<const config::Pool> pools);
    // For status pages; call from the thread that calls step().
    [[nodiscard]] const FleetCounters &counters() const;

private:
    void driveLease();
    [[nodiscard]] std::vector<ObservedEngine> readEngines(std::span<const config::Pool> pools);
    void giveOrder(const PlannedOrder &planned);
    void releaseSlots(std::span<const config::Pool> pools);

    FleetIdentity m_identity;
    platform::ObjectStore &m_store;
    EngineControl &m_engines;
    const base::Clock &m_clock;
    FleetSettings m_settings;
    Lease m_lease;
    WeightsController m_controller;
    LoadSlots m_slots;
    std::map<base::UpstreamId, std::string> m_heldSlots; // slot object of each engine that loads
    FleetCounters m_counters;
};

} // namespace carawaylatch::fleet
