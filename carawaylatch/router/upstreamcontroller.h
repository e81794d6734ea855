// Controller of upstreams: the registry, its poller, and the gossip of leaving marks
// between routers.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <vector>

#include "carawaylatch/admission/admissioncontroller.h"
#include "carawaylatch/base/hash.h"
#include "carawaylatch/http/upstreamclient.h"
#include "carawaylatch/router/completionplacer.h"
#include "carawaylatch/router/controlstate.h"
#include "carawaylatch/router/peerbus.h"
#include "carawaylatch/router/upstreampoller.h"
#include "carawaylatch/telemetry/metrics.h"
#include "carawaylatch/upstreams/registry.h"

namespace carawaylatch::router
{

// Control thread only; the poller has threads of its own.
class UpstreamController
{
public:
    // All outlive the controller.
    UpstreamController(const ControllerDependencies &dependencies, ControlState &state, PeerBus &bus, http::UpstreamClient &client,
                       admission::AdmissionController &admissionController, telemetry::Metrics &metrics);

    void start(base::TimePoint now);
    void stop();
    void configure(const config::Tables &tables, base::TimePoint now);
    void onAttempt(const AttemptReport &attempt, base::TimePoint now);
    void onLeaving(const base::UpstreamId &id, upstreams::LeavingSource source, base::TimePoint now);
    void onUndrain(const base::UpstreamId &id, base::TimePoint now);
    void onPlatformList(std::span<const store::VmRecord> vms, base::TimePoint now);
    void importMarks(std::span<const upstreams::LeavingMark> marks, base::TimePoint now);
    [[nodiscard]] std::vector<upstreams::LeavingMark> exportMarks() const;
    // Number of upstreams that accept requests.
    [[nodiscard]] std::size_t availableCount(base::TimePoint now) const;

private:
    void onReport(const base::UpstreamId &id, const base::Result<upstreams::LoadReport> &report, base::TimePoint now);
    void advance(base::TimePoint now);
    void executeAction(const upstreams::RegistryAction &action, base::TimePoint now);
    void announceMark(const upstreams::LeavingMark &mark, base::TimePoint now);
    void gossipRecentMarks(base::TimePoint now);
    void gossipMarks(std::span<const upstreams::LeavingMark> marks);
    void updatePollTargets(const config::Tables &tables);
    void updateCapacity(const upstreams::UpstreamView &view);
    [[nodiscard]] std::vector<base::RouterId> otherRouters() const;

    const ControllerDependencies &m_dependencies;
    ControlState &m_state;
    PeerBus &m_bus;
    admission::AdmissionController &m_admissionController;
    telemetry::Metrics &m_metrics;
    upstreams::Registry m_registry;
    UpstreamPoller m_poller;
    // A mark that is still gossiped.
    struct RecentMark
    {
        upstreams::LeavingMark mark;
        base::TimePoint receivedAt;
    };
    std::deque<RecentMark> m_recentMarks; // oldest first, at most MaxRecentMarks
    base::Random m_random; // chooses the receivers of gossip
    base::TimerService::Subscription m_tickTimer;
    base::TimerService::Subscription m_gossipTimer;
};

} // namespace carawaylatch::router
