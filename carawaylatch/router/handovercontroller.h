// Controller of start and stop: warm start, snapshots for others, graceful
// shutdown.
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

// The other controllers, whose state a snapshot is made of.
struct HandoverSources
{
    ConfigController &config;
    MemberController &members;
    UpstreamController &upstreams;
};

// What the shutdown needs from the rest of the router; called on the control thread.
struct ShutdownHooks
{
    std::function<std::size_t()> openRequests;
    std::function<void()> refuseRequests; // waiting ones too
    std::function<void()> abortStreams;
    std::function<void()> exit;
};

class HandoverController
{
public:
    // `platformLoop` runs blocking calls to the platform. All outlive the controller.
    HandoverController(const ControllerDependencies &dependencies, ControlState &state, PeerBus &bus, base::EventLoop &platformLoop,
                       const HandoverSources &sources, ShutdownHooks hooks);

    void start(base::TimePoint now);
    // Revision in force or answering upstreams may have changed.
    void onStateChanged(base::TimePoint now);
    // A signal to stop; the second one cuts open streams.
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
    // Placements of lives that this router doesn't know yet; tried again until m_importDeadline.
    prefix::HotPlacements m_pendingPlacements;
    base::TimePoint m_importDeadline;
    base::TimerService::Subscription m_tickTimer;
    base::TimerService::Subscription m_snapshotTimer;
};

} // namespace carawaylatch::router
