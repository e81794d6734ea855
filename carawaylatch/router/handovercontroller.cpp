// Placements can be imported only for upstreams whose incarnation this router has
// seen itself, and a starting router loads its snapshot before the first load
// reports arrive. Placements are therefore kept for ImportRetryPeriod and imported
// as the incarnations become known.
#include "carawaylatch/router/handovercontroller.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/logevents.h"
#include "carawaylatch/peer/codec.h"

namespace carawaylatch::router
{

namespace
{

constexpr base::Duration TickInterval = base::milliseconds{50};
constexpr base::Duration ImportRetryPeriod = base::seconds{5};
constexpr base::Duration EncodingLifetime = base::milliseconds{500};
constexpr std::size_t MaxPlacements = 60'000; // blocks in one snapshot
constexpr std::size_t MaxLevels = 5'000;
constexpr std::string_view SnapshotTask = "snapshot";

handover::WarmStartOptions warmStartOptions(const ControllerDependencies &dependencies)
{
    handover::WarmStartOptions options;
    options.domain = dependencies.settings.router.failureDomain;
    options.ownDomainTimeout = dependencies.settings.timings.warmStart / 2;
    options.otherDomainsTimeout = dependencies.settings.timings.warmStart / 2;
    options.seed = base::combineHashes(dependencies.settings.routing.seed, dependencies.incarnation.value);
    return options;
}

handover::ShutdownOptions shutdownOptions(const config::Settings &settings)
{
    handover::ShutdownOptions options;
    options.drainLag = settings.timings.drainLag;
    return options;
}

base::Revision greatestRevision(const membership::MembershipView &members)
{
    base::Revision greatest;
    for (const auto &it : members.members) {
        greatest = std::max(greatest, it.revision);
    }
    return greatest;
}

std::string storedSnapshotName(const base::FailureDomain &domain)
{
    return std::string(handover::StoredSnapshotPrefix) + domain.value();
}

// Reads the stored configuration and, if there is one, the stored hot state. Fails
// only if the configuration can't be read.
base::Result<handover::Snapshot> readStoredSnapshot(store::ObjectStore &objects, const base::FailureDomain &domain)
{
    BOOST_OUTCOME_TRY(stored, config::ConfigStore(objects).load());
    handover::Snapshot snapshot;
    if (const auto object = objects.read(storedSnapshotName(domain)); object) {
        if (auto decoded = peer::decodeSnapshot(object.value().value); decoded) {
            snapshot = std::move(decoded).value();
        }
    }
    snapshot.rows = stored.rows;
    return snapshot;
}

base::Result<void> writeStoredSnapshot(store::ObjectStore &objects, const base::FailureDomain &domain, const handover::Snapshot &snapshot)
{
    const std::string name = storedSnapshotName(domain);
    const auto present = objects.read(name);
    if (!present && present.error().kind != base::ErrorKind::NotFound) {
        return present.error();
    }
    const auto version = present ? present.value().version : store::Version{};
    BOOST_OUTCOME_TRYV(objects.write(name, peer::encodeSnapshot(snapshot), version));
    return base::ok();
}

} // namespace

HandoverController::HandoverController(const ControllerDependencies &dependencies, ControlState &state, PeerBus &bus, base::EventLoop &platformLoop,
                                       const HandoverSources &sources, ShutdownHooks hooks)
    : m_dependencies(dependencies)
    , m_state(state)
    , m_bus(bus)
    , m_platformLoop(platformLoop)
    , m_sources(sources)
    , m_hooks(std::move(hooks))
    , m_warmStart(warmStartOptions(dependencies), peer::decodeSnapshot, dependencies.clock.now())
    , m_snapshotServer(
          [this] {
              return peer::encodeSnapshot(collectSnapshot(m_dependencies.clock.now()));
          },
          EncodingLifetime)
    , m_shutdown(shutdownOptions(dependencies.settings))
{
    m_bus.subscribe<handover::SnapshotRequest>([this](const peer::PeerIdentity &sender, const handover::SnapshotRequest &request, base::TimePoint now) {
        m_bus.send(sender.id, m_snapshotServer.serve(request, now));
    });
    m_bus.subscribe<handover::SnapshotPart>([this](const peer::PeerIdentity &sender, const handover::SnapshotPart &part, base::TimePoint now) {
        m_warmStart.onPart(sender.id, part, now);
        advance(now);
    });
    m_bus.subscribe<prefix::HotPlacements>([this](const auto &, const prefix::HotPlacements &placements, base::TimePoint now) {
        m_dependencies.routingState.caches.importHot(placements, now);
    });
}

void HandoverController::start(base::TimePoint now)
{
    m_tickTimer = m_dependencies.loop.timers().every(now, TickInterval, [this](base::TimePoint at) {
        m_warmStart.onTick(at);
        m_shutdown.onEvent(handover::ShutdownEvent::Tick, m_hooks.openRequests(), at);
        onStateChanged(at);
    });
    m_snapshotTimer = m_dependencies.loop.timers().every(now, m_dependencies.settings.timings.snapshot, [this](base::TimePoint at) {
        storeSnapshot(at);
    });
}

void HandoverController::onStateChanged(base::TimePoint now)
{
    m_warmStart.onPeers(m_sources.members.peers(), now);
    if (const auto &members = m_state.snapshot().members) {
        m_warmStart.onFleetRevision(greatestRevision(*members));
    }
    m_warmStart.onStateChanged(m_sources.config.revision(), m_sources.upstreams.availableCount(now));
    advance(now);
}

void HandoverController::onSignal(base::TimePoint now)
{
    const std::size_t streams = m_hooks.openRequests();
    if (m_shutdown.step() == handover::ShutdownStep::Running) {
        base::logEvent(base::LogEvent::RouterStopping, {{"streams", std::to_string(streams)}});
        m_warmStart.onStopping();
    }
    m_shutdown.onEvent(handover::ShutdownEvent::Signal, streams, now);
    advance(now);
}

void HandoverController::advance(base::TimePoint now)
{
    executeWarmStartActions(now);
    importPlacements(now);
    executeShutdownActions(now);
    updateServing();
}

void HandoverController::executeWarmStartActions(base::TimePoint now)
{
    for (const auto &it : m_warmStart.takeActions()) {
        if (const auto *send = std::get_if<handover::SendSnapshotRequest>(&it)) {
            m_bus.send(send->peer, send->request);
        } else if (const auto *loaded = std::get_if<handover::LoadSnapshot>(&it)) {
            loadSnapshot(loaded->snapshot, now);
        } else {
            readPlatformSnapshot();
        }
    }
}

void HandoverController::loadSnapshot(const handover::Snapshot &snapshot, base::TimePoint now)
{
    if (snapshot.rows.revision.value > 0) {
        m_sources.config.onRows(snapshot.rows, now);
    }
    m_sources.members.onRecords(snapshot.members, now);
    m_sources.upstreams.importMarks(snapshot.marks, now);
    m_dependencies.routingState.heat.importHot(snapshot.levels, now);
    m_pendingPlacements = snapshot.placements;
    m_importDeadline = now + ImportRetryPeriod;
    base::logEvent(base::LogEvent::WarmStartLoaded, {{"revision", std::to_string(snapshot.rows.revision.value)},
                                                     {"placements", std::to_string(snapshot.placements.upstreams.size())},
                                                     {"marks", std::to_string(snapshot.marks.size())}});
}

void HandoverController::importPlacements(base::TimePoint now)
{
    if (m_pendingPlacements.upstreams.empty()) {
        return;
    }
    const auto view = m_state.snapshot().upstreams;
    const auto known = std::partition(m_pendingPlacements.upstreams.begin(), m_pendingPlacements.upstreams.end(), [&](const prefix::HotUpstream &it) {
        const auto *status = view->find(it.upstream);
        return status == nullptr || status->incarnation.value == 0;
    });
    prefix::HotPlacements ready;
    ready.upstreams.assign(std::make_move_iterator(known), std::make_move_iterator(m_pendingPlacements.upstreams.end()));
    m_pendingPlacements.upstreams.erase(known, m_pendingPlacements.upstreams.end());
    if (!ready.upstreams.empty()) {
        m_dependencies.routingState.caches.importHot(ready, now);
    }
    if (now > m_importDeadline) {
        m_pendingPlacements.upstreams.clear();
    }
}

void HandoverController::readPlatformSnapshot()
{
    m_platformLoop.post([this](base::TimePoint) {
        auto stored = readStoredSnapshot(m_dependencies.objects, m_dependencies.settings.router.failureDomain);
        m_dependencies.loop.post([this, stored = std::move(stored)](base::TimePoint now) {
            m_warmStart.onPlatform(stored, now);
            advance(now);
        });
    });
}

void HandoverController::updateServing()
{
    using handover::ShutdownStep;
    const auto &snapshot = m_state.snapshot();
    ServingState serving = m_warmStart.readiness() == handover::NotReadyReason::None ? ServingState::Ready : ServingState::NotReady;
    if (m_shutdown.step() == ShutdownStep::NotReady) {
        serving = ServingState::Draining;
    } else if (m_shutdown.step() != ShutdownStep::Running) {
        serving = ServingState::Refusing;
    }
    const std::string message = m_warmStart.notReadyMessage();
    if (serving == snapshot.serving && message == snapshot.notReadyMessage) {
        return;
    }
    if (serving == ServingState::Ready) {
        base::logEvent(base::LogEvent::RouterReady, {{"revision", std::to_string(m_sources.config.revision().value)},
                                                     {"upstreams", std::to_string(m_sources.upstreams.availableCount(m_dependencies.clock.now()))}});
    } else {
        base::logEvent(base::LogEvent::RouterNotReady, {{"reason", message}});
    }
    m_state.setServing(serving, message);
}

void HandoverController::executeShutdownActions(base::TimePoint now)
{
    for (const auto it : m_shutdown.takeActions()) {
        switch (it) {
        case handover::ShutdownAction::BecomeNotReady:
            m_sources.members.leave(now);
            break;
        case handover::ShutdownAction::RefuseRequests:
            m_hooks.refuseRequests();
            break;
        case handover::ShutdownAction::HandOver:
            sendHotPlacements();
            m_shutdown.onEvent(handover::ShutdownEvent::HandedOver, m_hooks.openRequests(), now);
            executeShutdownActions(now);
            break;
        case handover::ShutdownAction::AbortStreams:
            m_hooks.abortStreams();
            break;
        case handover::ShutdownAction::Depart:
            m_sources.members.depart(now);
            m_shutdown.onEvent(handover::ShutdownEvent::Departed, m_hooks.openRequests(), now);
            executeShutdownActions(now);
            break;
        case handover::ShutdownAction::Exit:
            m_hooks.exit();
            break;
        }
    }
}

void HandoverController::sendHotPlacements()
{
    const auto peers = m_sources.members.peers();
    if (!peers.empty()) {
        m_bus.send(peers.front().id, m_dependencies.routingState.caches.exportHot(MaxPlacements, m_dependencies.clock.now()));
    }
}

handover::Snapshot HandoverController::collectSnapshot(base::TimePoint now) const
{
    handover::Snapshot snapshot;
    snapshot.rows = *m_sources.config.rows();
    snapshot.members = m_sources.members.records();
    snapshot.marks = m_sources.upstreams.exportMarks();
    snapshot.placements = m_dependencies.routingState.caches.exportHot(MaxPlacements, now);
    snapshot.levels = m_dependencies.routingState.heat.exportHot(MaxLevels, now);
    for (const auto &it : m_state.snapshot().upstreams->upstreams) {
        if (it.incarnation.value != 0) {
            snapshot.incarnations.push_back({it.id, it.incarnation});
        }
    }
    handover::shrinkSnapshot(snapshot, handover::MaxSnapshotBytes);
    return snapshot;
}

void HandoverController::storeSnapshot(base::TimePoint now)
{
    if (!isSnapshotWriter()) {
        return;
    }
    auto snapshot = collectSnapshot(now);
    snapshot.rows = {};
    handover::shrinkSnapshot(snapshot, handover::MaxStoredSnapshotBytes);
    m_platformLoop.post([this, snapshot = std::move(snapshot)](base::TimePoint) {
        const auto written = writeStoredSnapshot(m_dependencies.objects, m_dependencies.settings.router.failureDomain, snapshot);
        if (!written && written.error().kind != base::ErrorKind::Conflict) {
            base::logEvent(base::LogEvent::SnapshotNotStored, {{"problem", written.error().message}});
        }
    });
}

bool HandoverController::isSnapshotWriter() const
{
    const auto &snapshot = m_state.snapshot();
    return snapshot.serving == ServingState::Ready && snapshot.members
           && snapshot.members->isSelfAmongFirst(1, SnapshotTask, m_dependencies.settings.router.failureDomain);
}

} // namespace carawaylatch::router
