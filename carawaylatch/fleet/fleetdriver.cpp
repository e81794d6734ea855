// Each step renews the lease, polls engines and sends orders. The lease is checked
// again right before each order. The process may be suspended between that check and
// the order's arrival: engines then reject the order by its fencing token, and for
// engines without fencing the next holder waits for maxOrderDelay.
#include "carawaylatch/fleet/fleetdriver.h"

#include <algorithm>
#include <utility>

#include "carawaylatch/base/logevents.h"

namespace carawaylatch::fleet
{

using base::ErrorKind;

FleetDriver::FleetDriver(FleetIdentity identity, store::ObjectStore &store, EngineControl &engines, const base::Clock &clock, FleetSettings settings)
    : m_identity(std::move(identity))
    , m_leaseName("fleet/lease/" + m_identity.domain.value())
    , m_store(store)
    , m_engineControl(engines)
    , m_clock(clock)
    , m_settings(settings)
    , m_lease(m_identity.router, m_identity.incarnation, settings.lease)
    , m_controller(m_identity.domain, settings.weights)
    , m_slots(store, settings.slotTimeout)
{
}

const FleetCounters &FleetDriver::counters() const
{
    return m_counters;
}

EngineChangeState FleetDriver::changeState(const base::UpstreamId &engine) const
{
    return m_controller.changeState(engine);
}

void FleetDriver::step(std::span<const config::Pool> pools)
{
    updateLease();
    const auto fence = m_lease.fence(m_clock.now());
    if (!fence) {
        if (m_counters.isHolder) {
            base::logEvent(base::LogEvent::FleetLeaseLost, {{"domain", m_identity.domain.value()}});
        }
        m_counters.isHolder = false;
        m_counters.blockedEngines = 0;
        m_controller.reset();
        m_observed.clear();
        m_slotHolders.clear();
        return;
    }
    if (!m_counters.isHolder) {
        base::logEvent(base::LogEvent::FleetLeaseGained, {{"domain", m_identity.domain.value()}, {"fence", std::to_string(fence->value)}});
        recoverSlots(pools);
    }
    m_counters.isHolder = true;
    m_counters.fence = *fence;
    pollEngines(pools);
    const base::TimePoint now = m_clock.now();
    const LeaseTerm term{*fence, now - m_lease.heldDuration(now)};
    for (const PlannedOrder &planned : m_controller.plan(now, term, pools, m_observed)) {
        sendOrder(planned);
    }
    recordBlockedEngines(m_controller.blockedEngines());
    releaseSlots();
}

void FleetDriver::recordBlockedEngines(std::size_t blockedEngines)
{
    if (blockedEngines > 0 && m_counters.blockedEngines == 0) {
        base::logEvent(base::LogEvent::WeightsChangeHeldBack, {{"domain", m_identity.domain.value()}, {"engines", std::to_string(blockedEngines)}});
    }
    m_counters.blockedEngines = blockedEngines;
}

void FleetDriver::updateLease()
{
    constexpr int MaxCalls = 3; // read, write, read back
    for (int i = 0; i < MaxCalls; ++i) {
        const LeaseAction action = m_lease.poll(m_clock.now());
        if (action.kind == LeaseActionKind::None) {
            return;
        }
        if (action.kind == LeaseActionKind::Read) {
            const auto object = m_store.read(m_leaseName);
            m_lease.onRead(m_clock.now(), object);
        } else {
            const auto written = m_store.write(m_leaseName, action.value, action.expected);
            m_lease.onWritten(m_clock.now(), written);
        }
    }
}

// Polls up to maxReportsPerStep engines of the domain in round-robin order.
void FleetDriver::pollEngines(std::span<const config::Pool> pools)
{
    std::vector<const config::PoolMember *> members;
    for (const config::Pool &pool : pools) {
        for (const config::PoolMember &member : pool.members) {
            if (pool.kind == config::UpstreamKind::Engine && member.domain == m_identity.domain) {
                members.push_back(&member);
            }
        }
    }
    std::erase_if(m_observed, [&members](const ObservedEngine &engine) {
        return std::none_of(members.begin(), members.end(), [&engine](const config::PoolMember *member) {
            return member->id == engine.id;
        });
    });
    const std::size_t count = std::min(members.size(), m_settings.maxReportsPerStep);
    for (std::size_t i = 0; i < count; ++i) {
        const config::PoolMember &member = *members[m_nextMember++ % members.size()];
        ObservedEngine observed{member.id, std::nullopt, m_clock.now()};
        if (auto report = m_engineControl.report(member.id, member.endpoint)) {
            observed.report = std::move(report).value();
        }
        const auto it = std::find_if(m_observed.begin(), m_observed.end(), [&member](const ObservedEngine &engine) {
            return engine.id == member.id;
        });
        if (it == m_observed.end()) {
            m_observed.push_back(std::move(observed));
        } else {
            *it = std::move(observed);
        }
    }
}

void FleetDriver::sendOrder(const PlannedOrder &planned)
{
    if (planned.slots > 0) {
        const auto slot = m_slots.acquire(m_clock.now(), planned.slots, planned.upstream);
        if (slot || slot.error().kind == ErrorKind::Unclear) {
            m_slotHolders[planned.upstream] = planned.slots;
        }
        if (!slot) {
            ++m_counters.slotWaits;
            return;
        }
    }
    if (!m_lease.isHeld(m_clock.now())) {
        return;
    }
    m_controller.recordOrder(m_clock.now(), planned.upstream);
    const auto result = m_engineControl.order(planned.upstream, planned.endpoint, planned.order);
    if (result || (result.error().kind != ErrorKind::StaleState && result.error().kind != ErrorKind::Unavailable)) {
        ++m_counters.orders;
        base::logEvent(base::LogEvent::EngineOrdered, {{"engine", planned.upstream.value()},
                                                       {"weights_version", std::to_string(planned.order.weightsVersion.value)},
                                                       {"adapter", planned.order.adapter},
                                                       {"fence", std::to_string(planned.order.fence.value)}});
        return;
    }
    base::logEvent(base::LogEvent::EngineOrderFailed, {{"engine", planned.upstream.value()}, {"problem", result.error().message}});
    ++(result.error().kind == ErrorKind::StaleState ? m_counters.staleFenceRejections : m_counters.failedOrders);
    m_controller.clearOrder(planned.upstream);
}

// Finds the slots that a previous holder acquired for engines of this domain, so that
// they are released after the load.
void FleetDriver::recoverSlots(std::span<const config::Pool> pools)
{
    std::uint32_t slots = 0;
    for (const config::Pool &pool : pools) {
        slots = std::max(slots, pool.maxLoads);
    }
    for (const base::UpstreamId &engine : m_slots.holders(slots)) {
        for (const config::Pool &pool : pools) {
            const bool isOurs = std::any_of(pool.members.begin(), pool.members.end(), [&](const config::PoolMember &member) {
                return member.id == engine && member.domain == m_identity.domain;
            });
            if (isOurs) {
                m_slotHolders[engine] = slots;
            }
        }
    }
}

// Releases the slots of engines that neither load nor have an order to load.
void FleetDriver::releaseSlots()
{
    std::erase_if(m_slotHolders, [this](const auto &it) {
        const EngineChangeState state = m_controller.changeState(it.first);
        const bool mayLoad = state == EngineChangeState::Ordered || state == EngineChangeState::Loading || state == EngineChangeState::Unreachable;
        return !mayLoad && m_slots.release(it.second, it.first).has_value();
    });
}

} // namespace carawaylatch::fleet
