// Periodic tasks that block on the platform or on engines, on event loops of their
// own: reading the VM list, pending updates of order records, pruning of order
// records, and the fleet controller's orders to engines.
#pragma once

#include <functional>
#include <vector>

#include "carawaylatch/base/eventloop.h"
#include "carawaylatch/fleet/fleetdriver.h"
#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/orders/retention.h"
#include "carawaylatch/router/controlstate.h"

namespace carawaylatch::router
{

class PeriodicTasks
{
public:
    using VmListHandler = std::function<void(const std::vector<store::VmRecord> &vms, base::TimePoint now)>;

    // All references outlive the tasks; `onVmList` is called on the control thread.
    PeriodicTasks(const ControllerDependencies &dependencies, orders::OrderExecutor &executor, fleet::EngineControl &engines, VmListHandler onVmList);
    ~PeriodicTasks();

    void start(base::TimePoint now);
    void stop();
    // Event loop for other blocking calls to the platform.
    [[nodiscard]] base::EventLoop &platformLoop();

private:
    void readVmList();
    void stepFleet();
    void stepRetention(base::TimePoint now);
    // Returns whether this router is among the first n of its failure domain by rank for a task.
    [[nodiscard]] bool isAmongFirst(std::string_view task, std::size_t n) const;

    const ControllerDependencies &m_dependencies;
    orders::OrderExecutor &m_executor;
    const VmListHandler m_onVmList;
    orders::RecordPruner m_pruner; // order loop
    fleet::FleetDriver m_fleet; // fleet loop
    bool m_isVmListFailing = false; // platform loop
    std::vector<base::TimerService::Subscription> m_timers;
    // One loop for each purpose, so that their calls don't wait for each other.
    base::EventLoop m_platformLoop;
    base::EventLoop m_orderLoop;
    base::EventLoop m_fleetLoop;
};

} // namespace carawaylatch::router
