// Thin driver: lease first, then reports, then orders, with the lease asked again
// right before each order. A pause between that question and the order's arrival
// is what fencing numbers are for, and longestInFlight where engines ignore them.
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
    , m_slots(store, settings.slotLapse)
{
}

const FleetCounters &FleetDriver::counters() const
{
    return m_counters;
}

ChangeStep FleetDriver::changeStep(const base::UpstreamId &engine) const
{
    return m_controller.step(engine);
}

void FleetDriver::step(std::span<const config::Pool> pools)
{
    driveLease();
    const auto fence = m_lease.fence(m_clock.now());
    if (!fence) {
        if (m_counters.isHolder) {
            base::logEvent(base::LogEvent::FleetLeaseLost, {{"domain", m_identity.domain.value()}});
        }
        m_counters.isHolder = false;
        m_counters.heldBack = 0;
        m_controller.reset();
        m_observed.clear();
        m_loading.clear();
        return;
    }
    if (!m_counters.isHolder) {
        base::logEvent(base::LogEvent::FleetLeaseGained, {{"domain", m_identity.domain.value()}, {"fence", std::to_string(fence->value)}});
        adoptSlots(pools);
    }
    m_counters.isHolder = true;
    m_counters.fence = *fence;
    readEngines(pools);
    const base::TimePoint now = m_clock.now();
    const Tenure tenure{*fence, now - m_lease.heldFor(now)};
    for (const PlannedOrder &planned : m_controller.plan(now, tenure, pools, m_observed)) {
        giveOrder(planned);
    }
    noteHeldBack(m_controller.heldBack());
    releaseSlots();
}

void FleetDriver::noteHeldBack(std::size_t heldBack)
{
    if (heldBack > 0 && m_counters.heldBack == 0) {
        base::logEvent(base::LogEvent::WeightsChangeHeldBack, {{"domain", m_identity.domain.value()}, {"engines", std::to_string(heldBack)}});
    }
    m_counters.heldBack = heldBack;
}

void FleetDriver::driveLease()
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

// Asks up to maxReportsPerStep engines of the domain, in turn.
void FleetDriver::readEngines(std::span<const config::Pool> pools)
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
        const config::PoolMember &member = *members[m_nextReport++ % members.size()];
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

void FleetDriver::giveOrder(const PlannedOrder &planned)
{
    if (planned.slots > 0) {
        const auto slot = m_slots.take(m_clock.now(), planned.slots, planned.upstream);
        if (slot || slot.error().kind == ErrorKind::Unclear) {
            m_loading[planned.upstream] = planned.slots;
        }
        if (!slot) {
            ++m_counters.waitedForSlot;
            return;
        }
    }
    if (!m_lease.mayAct(m_clock.now())) {
        return;
    }
    m_controller.onOrdered(m_clock.now(), planned.upstream);
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
    ++(result.error().kind == ErrorKind::StaleState ? m_counters.refusedAsOld : m_counters.failedOrders);
    m_controller.onNotOrdered(planned.upstream);
}

// Takes over the slots of a former holder, so that they are given back after the load.
void FleetDriver::adoptSlots(std::span<const config::Pool> pools)
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
                m_loading[engine] = slots;
            }
        }
    }
}

// Gives slots back of engines that neither load nor are about to.
void FleetDriver::releaseSlots()
{
    std::erase_if(m_loading, [this](const auto &it) {
        const ChangeStep step = m_controller.step(it.first);
        const bool mayLoad = step == ChangeStep::Ordered || step == ChangeStep::Loading || step == ChangeStep::Unreached;
        return !mayLoad && m_slots.release(it.second, it.first).has_value();
    });
}

} // namespace carawaylatch::fleet
