// In each failure domain only the first few routers by rank read the VM list and
// compete for the fleet lease, so that the platform's read rate doesn't grow with
// the fleet; other routers receive members and leaving marks from peers. A router
// without a membership view counts as first of its domain.
//
// Three loops: one for the VM list and snapshots; one for orders, whose outcomes must
// not be delayed by other calls; one for the fleet controller, which blocks on engines.
#include "carawaylatch/router/periodictasks.h"

#include <utility>

#include "carawaylatch/base/logevents.h"

namespace carawaylatch::router
{

namespace
{

constexpr base::Duration VmListInterval = base::seconds{1};
constexpr base::Duration PendingUpdateInterval = base::milliseconds{100};
constexpr base::Duration RetentionInterval = base::seconds{2};
constexpr base::Duration FleetInterval = base::milliseconds{500};
constexpr std::string_view RetentionTask = "retention";
constexpr std::string_view VmListTask = "vm-list";
constexpr std::string_view FleetTask = "fleet";
constexpr std::size_t VmListReaders = 3; // routers per failure domain
constexpr std::size_t FleetLeaseCandidates = 3; // routers per failure domain

fleet::FleetSettings fleetSettings(const config::Settings &settings)
{
    fleet::FleetSettings fleet;
    fleet.lease.duration = settings.timings.lease;
    return fleet;
}

} // namespace

PeriodicTasks::PeriodicTasks(const ControllerDependencies &dependencies, orders::OrderExecutor &executor, fleet::EngineControl &engines, VmListHandler onVmList)
    : m_dependencies(dependencies)
    , m_executor(executor)
    , m_onVmList(std::move(onVmList))
    , m_pruner(dependencies.objects, {})
    , m_fleet({dependencies.settings.router.id, dependencies.incarnation, dependencies.settings.router.failureDomain}, dependencies.objects, engines,
              dependencies.clock, fleetSettings(dependencies.settings))
    , m_platformLoop(dependencies.clock)
    , m_orderLoop(dependencies.clock)
    , m_fleetLoop(dependencies.clock)
{
}

PeriodicTasks::~PeriodicTasks()
{
    stop();
}

void PeriodicTasks::start(base::TimePoint now)
{
    m_timers.push_back(m_platformLoop.timers().every(now, VmListInterval, [this](base::TimePoint) {
        readVmList();
    }));
    m_timers.push_back(m_orderLoop.timers().every(now, PendingUpdateInterval, [this](base::TimePoint) {
        m_executor.step();
    }));
    m_timers.push_back(m_orderLoop.timers().every(now, RetentionInterval, [this](base::TimePoint at) {
        stepRetention(at);
    }));
    m_timers.push_back(m_fleetLoop.timers().every(now, FleetInterval, [this](base::TimePoint) {
        stepFleet();
    }));
    m_platformLoop.start();
    m_orderLoop.start();
    m_fleetLoop.start();
}

void PeriodicTasks::stop()
{
    m_platformLoop.stop();
    m_orderLoop.stop();
    m_fleetLoop.stop();
    m_timers.clear();
}

base::EventLoop &PeriodicTasks::platformLoop()
{
    return m_platformLoop;
}

void PeriodicTasks::readVmList()
{
    if (!isAmongFirst(VmListTask, VmListReaders)) {
        return;
    }
    const auto vms = m_dependencies.objects.vms();
    if (!vms && !m_isVmListFailing) {
        base::logEvent(base::LogEvent::PlatformListFailed, {{"problem", vms.error().message}});
    }
    m_isVmListFailing = !vms;
    if (vms) {
        m_dependencies.loop.post([this, list = vms.value()](base::TimePoint now) {
            m_onVmList(list, now);
        });
    }
}

void PeriodicTasks::stepFleet()
{
    const auto snapshot = m_dependencies.published.load();
    if (snapshot->tables && snapshot->serving == ServingState::Ready && isAmongFirst(FleetTask, FleetLeaseCandidates)) {
        m_fleet.step(snapshot->tables->pools);
    }
}

void PeriodicTasks::stepRetention(base::TimePoint now)
{
    m_pruner.step(now, isAmongFirst(RetentionTask, 1) ? orders::PrunerRole::Pruner : orders::PrunerRole::Observer);
    m_executor.setEpoch(m_pruner.epoch());
}

bool PeriodicTasks::isAmongFirst(std::string_view task, std::size_t n) const
{
    const auto snapshot = m_dependencies.published.load();
    return !snapshot->members || snapshot->members->isSelfAmongFirst(n, task, m_dependencies.settings.router.failureDomain);
}

} // namespace carawaylatch::router
