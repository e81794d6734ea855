// Controller of startup and shutdown: warm start, snapshots for other routers,
// graceful shutdown.
#pragma once

#include <cstddef>
#include <functional>

#include "carawaylatch/handover/shutdown.h"
#include "carawaylatch/handover/snapshotserver.h"
#include "carawaylatch/handover/warmstart.h"
#include "carawaylatch/router/configcontroller.h"
#include "carawaylatch/router/controlstate.h"
#include "carawaylatch/router/membercontroller.h"
#include "carawaylatch/router/peerbus.h"
#include "carawaylatch/router/upstreamcontroller.h"

namespace carawaylatch::router
{

// The other controllers, whose state goes into snapshots.
struct HandoverSources
{
    ConfigController &config;
    MemberController &members;
    UpstreamController &upstreams;
};

// Callbacks into the rest of the router; called on the control thread.
struct ShutdownHooks
{
    std::function<std::size_t()> openRequests;
    std::function<void()> refuseRequests; // queued ones too
    std::function<void()> abortStreams;
    std::function<void()> exit;
};

class HandoverController
{
public:
    // `platformLoop` runs blocking calls to the platform. All references outlive the controller.
    HandoverController(const ControllerDependencies &dependencies, ControlState &state, PeerBus &bus, base::EventLoop &platformLoop,
                       const HandoverSources &sources, ShutdownHooks hooks);

    void start(base::TimePoint now);
    // Called when the configuration revision or the available upstreams may have changed.
    void onStateChanged(base::TimePoint now);
    // The first signal starts the shutdown, the second aborts open streams.
    void onSignal(base::TimePoint now);

private:
    void advance(base::TimePoint now);
    void executeWarmStartActions(base::TimePoint now);
    void loadSnapshot(const handover::Snapshot &snapshot, base::TimePoint now);
    void importPlacements(base::TimePoint now);
    void readPlatformSnapshot();
    void updateServing();
    void executeShutdownActions(base::TimePoint now);
    void sendHotPlacements();
    [[nodiscard]] handover::Snapshot collectSnapshot(base::TimePoint now) const;
    void storeSnapshot(base::TimePoint now);
    [[nodiscard]] bool isSnapshotWriter() const;

    const ControllerDependencies &m_dependencies;
    ControlState &m_state;
    PeerBus &m_bus;
    base::EventLoop &m_platformLoop;
    HandoverSources m_sources;
    const ShutdownHooks m_hooks;
    handover::WarmStart m_warmStart;
    handover::SnapshotServer m_snapshotServer;
    handover::Shutdown m_shutdown;
    // Placements at incarnations that this router has not seen yet; retried until m_importDeadline.
    prefix::HotPlacements m_pendingPlacements;
    base::TimePoint m_importDeadline;
    base::TimerService::Subscription m_tickTimer;
    base::TimerService::Subscription m_snapshotTimer;
};

} // namespace carawaylatch::router
