// Placements can be loaded only for upstreams whose incarnation this router has
// seen itself, and a starting router loads its snapshot before it has heard of
// any. So they are kept and offered to the index again while reports come in.
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
constexpr base::Duration ImportPeriod = base::seconds{5};
constexpr base::Duration EncodingLifetime = base::milliseconds{500};
constexpr std::size_t MaxPlacements = 60'000; // blocks in one snapshot
constexpr std::size_t MaxLevels = 5'000;
constexpr std::string_view SnapshotDuty = "snapshot";

handover::WarmStartOptions startOptions(const ControlParts &parts)
{
    handover::WarmStartOptions options;
    options.domain = parts.settings.router.failureDomain;
    options.askDomain = parts.settings.timings.warmStart / 2;
    options.askOthers = parts.settings.timings.warmStart / 2;
    options.seed = base::combineHashes(parts.settings.routing.seed, parts.incarnation.value);
    return options;
}

handover::ShutdownOptions stopOptions(const config::Settings &settings)
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

std::string storedName(const base::FailureDomain &domain)
{
    return std::string(handover::StoredSnapshotPrefix) + domain.value();
}

// Reads what the platform holds: the configuration must be there, hot state may be.
base::Result<handover::Snapshot> readStored(store::ObjectStore &objects, const base::FailureDomain &domain)
{
    BOOST_OUTCOME_TRY(stored, config::ConfigStore(objects).load());
    handover::Snapshot snapshot;
    if (const auto object = objects.read(storedName(domain)); object) {
        if (auto decoded = peer::decodeSnapshot(object.value().value); decoded) {
            snapshot = std::move(decoded).value();
        }
    }
    snapshot.rows = stored.rows;
    return snapshot;
}

base::Result<void> writeStored(store::ObjectStore &objects, const base::FailureDomain &domain, const handover::Snapshot &snapshot)
{
    const std::string name = storedName(domain);
    const auto present = objects.read(name);
    if (!present && present.error().kind != base::ErrorKind::NotFound) {
        return present.error();
    }
    const auto version = present ? present.value().version : store::Version{};
    BOOST_OUTCOME_TRYV(objects.write(name, peer::encodeSnapshot(snapshot), version));
    return base::ok();
}

} // namespace

HandoverController::HandoverController(const ControlParts &parts, ControlState &state, PeerBus &bus, base::EventLoop &platformLoop,
                                       const HandoverSources &sources, ShutdownHooks hooks)
    : m_parts(parts)
    , m_state(state)
    , m_bus(bus)
    , m_platformLoop(platformLoop)
    , m_sources(sources)
    , m_hooks(std::move(hooks))
    , m_start(startOptions(parts), peer::decodeSnapshot, parts.clock.now())
    , m_server(
          [this] {
              return peer::encodeSnapshot(makeSnapshot(m_parts.clock.now()));
          },
          EncodingLifetime)
    , m_stop(stopOptions(parts.settings))
{
    m_bus.subscribe<handover::SnapshotRequest>([this](const peer::PeerIdentity &sender, const handover::SnapshotRequest &request, base::TimePoint now) {
        m_bus.send(sender.id, m_server.answer(request, now));
    });
    m_bus.subscribe<handover::SnapshotPart>([this](const peer::PeerIdentity &sender, const handover::SnapshotPart &part, base::TimePoint now) {
        m_start.onPart(sender.id, part, now);
        advance(now);
    });
    m_bus.subscribe<prefix::HotPlacements>([this](const auto &, const prefix::HotPlacements &placements, base::TimePoint now) {
        m_parts.knowledge.caches.importHot(placements, now);
    });
}

void HandoverController::start(base::TimePoint now)
{
    m_tick = m_parts.loop.timers().every(now, TickInterval, [this](base::TimePoint at) {
        m_start.onTick(at);
        m_stop.onEvent(handover::ShutdownEvent::Tick, m_hooks.openRequests(), at);
        onState(at);
    });
    m_snapshots = m_parts.loop.timers().every(now, m_parts.settings.timings.snapshot, [this](base::TimePoint at) {
        storeSnapshot(at);
    });
}

void HandoverController::onState(base::TimePoint now)
{
    m_start.onPeers(m_sources.members.peers(), now);
    if (const auto &members = m_state.snapshot().members) {
        m_start.onSeenRevision(greatestRevision(*members));
    }
    m_start.onState(m_sources.config.revision(), m_sources.upstreams.answeringCount(now));
    advance(now);
}

void HandoverController::onSignal(base::TimePoint now)
{
    const std::size_t streams = m_hooks.openRequests();
    if (m_stop.step() == handover::ShutdownStep::Running) {
        base::logEvent(base::LogEvent::RouterStopping, {{"streams", std::to_string(streams)}});
        m_start.onStopping();
    }
    m_stop.onEvent(handover::ShutdownEvent::Signal, streams, now);
    advance(now);
}

void HandoverController::advance(base::TimePoint now)
{
    carryOutStart(now);
    importPlacements(now);
    carryOutStop(now);
    updateServing();
}

void HandoverController::carryOutStart(base::TimePoint now)
{
    for (const auto &it : m_start.takeActions()) {
        if (const auto *ask = std::get_if<handover::AskPeer>(&it)) {
            m_bus.send(ask->peer, ask->request);
        } else if (const auto *loaded = std::get_if<handover::LoadSnapshot>(&it)) {
            load(loaded->snapshot, now);
        } else {
            readPlatform();
        }
    }
}

void HandoverController::load(const handover::Snapshot &snapshot, base::TimePoint now)
{
    if (snapshot.rows.revision.value > 0) {
        m_sources.config.onRows(snapshot.rows, now);
    }
    m_sources.members.onRecords(snapshot.members, now);
    m_sources.upstreams.importMarks(snapshot.marks, now);
    m_parts.knowledge.heat.importHot(snapshot.levels, now);
    m_placements = snapshot.placements;
    m_importUntil = now + ImportPeriod;
    base::logEvent(base::LogEvent::WarmStartLoaded, {{"revision", std::to_string(snapshot.rows.revision.value)},
                                                     {"placements", std::to_string(snapshot.placements.upstreams.size())},
                                                     {"marks", std::to_string(snapshot.marks.size())}});
}

void HandoverController::importPlacements(base::TimePoint now)
{
    if (m_placements.upstreams.empty()) {
        return;
    }
    const auto view = m_state.snapshot().upstreams;
    const auto known = std::partition(m_placements.upstreams.begin(), m_placements.upstreams.end(), [&](const prefix::HotUpstream &it) {
        const auto *status = view->find(it.upstream);
        return status == nullptr || status->incarnation.value == 0;
    });
    prefix::HotPlacements ready;
    ready.upstreams.assign(std::make_move_iterator(known), std::make_move_iterator(m_placements.upstreams.end()));
    m_placements.upstreams.erase(known, m_placements.upstreams.end());
    if (!ready.upstreams.empty()) {
        m_parts.knowledge.caches.importHot(ready, now);
    }
    if (now > m_importUntil) {
        m_placements.upstreams.clear();
    }
}

void HandoverController::readPlatform()
{
    m_platformLoop.post([this](base::TimePoint) {
        auto stored = readStored(m_parts.objects, m_parts.settings.router.failureDomain);
        m_parts.loop.post([this, stored = std::move(stored)](base::TimePoint now) {
            m_start.onPlatform(stored, now);
            advance(now);
        });
    });
}

void HandoverController::updateServing()
{
    using handover::ShutdownStep;
    const auto &snapshot = m_state.snapshot();
    Serving serving = m_start.readiness() == handover::NotReadyReason::None ? Serving::Yes : Serving::NotYet;
    if (m_stop.step() == ShutdownStep::NotReady) {
        serving = Serving::Draining;
    } else if (m_stop.step() != ShutdownStep::Running) {
        serving = Serving::Refusing;
    }
    const std::string because = m_start.notReadyBecause();
    if (serving == snapshot.serving && because == snapshot.notReadyBecause) {
        return;
    }
    if (serving == Serving::Yes) {
        base::logEvent(base::LogEvent::RouterReady, {{"revision", std::to_string(m_sources.config.revision().value)},
                                                     {"upstreams", std::to_string(m_sources.upstreams.answeringCount(m_parts.clock.now()))}});
    } else {
        base::logEvent(base::LogEvent::RouterNotReady, {{"reason", because}});
    }
    m_state.setServing(serving, because);
}

void HandoverController::carryOutStop(base::TimePoint now)
{
    for (const auto it : m_stop.takeActions()) {
        switch (it) {
        case handover::ShutdownAction::BecomeNotReady:
            m_sources.members.leave(now);
            break;
        case handover::ShutdownAction::RefuseRequests:
            m_hooks.refuseRequests();
            break;
        case handover::ShutdownAction::HandOver:
            handOver();
            m_stop.onEvent(handover::ShutdownEvent::HandedOver, m_hooks.openRequests(), now);
            carryOutStop(now);
            break;
        case handover::ShutdownAction::CutStreams:
            m_hooks.cutStreams();
            break;
        case handover::ShutdownAction::Depart:
            m_sources.members.depart(now);
            m_stop.onEvent(handover::ShutdownEvent::Departed, m_hooks.openRequests(), now);
            carryOutStop(now);
            break;
        case handover::ShutdownAction::Exit:
            m_hooks.exit();
            break;
        }
    }
}

void HandoverController::handOver()
{
    const auto peers = m_sources.members.peers();
    if (!peers.empty()) {
        m_bus.send(peers.front().id, m_parts.knowledge.caches.exportHot(MaxPlacements, m_parts.clock.now()));
    }
}

handover::Snapshot HandoverController::makeSnapshot(base::TimePoint now) const
{
    handover::Snapshot snapshot;
    snapshot.rows = *m_sources.config.rows();
    snapshot.members = m_sources.members.records();
    snapshot.marks = m_sources.upstreams.exportMarks();
    snapshot.placements = m_parts.knowledge.caches.exportHot(MaxPlacements, now);
    snapshot.levels = m_parts.knowledge.heat.exportHot(MaxLevels, now);
    for (const auto &it : m_state.snapshot().upstreams->upstreams) {
        if (it.incarnation.value != 0) {
            snapshot.lives.push_back({it.id, it.incarnation});
        }
    }
    handover::shrinkSnapshot(snapshot, handover::MaxSnapshotBytes);
    return snapshot;
}

void HandoverController::storeSnapshot(base::TimePoint now)
{
    if (!writesSnapshots()) {
        return;
    }
    auto snapshot = makeSnapshot(now);
    snapshot.rows = {};
    handover::shrinkSnapshot(snapshot, handover::MaxStoredSnapshotBytes);
    m_platformLoop.post([this, snapshot = std::move(snapshot)](base::TimePoint) {
        const auto written = writeStored(m_parts.objects, m_parts.settings.router.failureDomain, snapshot);
        if (!written && written.error().kind != base::ErrorKind::Conflict) {
            base::logEvent(base::LogEvent::SnapshotNotStored, {{"problem", written.error().message}});
        }
    });
}

bool HandoverController::writesSnapshots() const
{
    const auto &snapshot = m_state.snapshot();
    return snapshot.serving == Serving::Yes && snapshot.members && snapshot.members->isSelfAmongFirst(1, SnapshotDuty, m_parts.settings.router.failureDomain);
}

} // namespace carawaylatch::router
