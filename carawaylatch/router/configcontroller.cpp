// The watching thread reads the head when it starts to watch and after each
// change, and hands what it read to the control thread, which decides whether it
// is newer. A failed call is repeated after a pause; in the meantime peers' edits
// still arrive.
#include "carawaylatch/router/configcontroller.h"

#include <variant>
#include <vector>

#include "carawaylatch/base/logevents.h"

namespace carawaylatch::router
{

namespace
{

constexpr base::Duration RetryPause = base::seconds{1};
constexpr base::Duration IdlePause = base::milliseconds{200}; // while this router isn't a watcher

config::DistributorOptions distributorOptions(const config::Settings &settings)
{
    config::DistributorOptions options;
    options.self = settings.router.id;
    options.domain = settings.router.failureDomain;
    return options;
}

void pause(base::Duration duration, const std::stop_token &stop)
{
    const base::SteadyClock clock;
    const base::TimePoint until = clock.now() + duration;
    while (!stop.stop_requested() && clock.now() < until) {
        std::this_thread::sleep_for(base::milliseconds{20});
    }
}

} // namespace

ConfigController::ConfigController(const ControlParts &parts, PeerBus &bus, InForceHandler onInForce)
    : m_parts(parts)
    , m_bus(bus)
    , m_onInForce(std::move(onInForce))
    , m_distributor(distributorOptions(parts.settings))
{
    m_bus.subscribe<config::ConfigUpdate>([this](const peer::PeerIdentity &sender, const config::ConfigUpdate &update, base::TimePoint now) {
        m_distributor.onUpdate(sender.id, update, now);
        carryOut(now);
    });
    m_bus.subscribe<config::ConfigRequest>([this](const peer::PeerIdentity &sender, const config::ConfigRequest &request, base::TimePoint now) {
        m_distributor.onRequest(sender.id, request);
        carryOut(now);
    });
}

void ConfigController::start()
{
    const config::DistributionPeer self{m_parts.settings.router.id, m_parts.settings.router.failureDomain};
    m_distributor.onMembers({&self, 1});
    carryOut(m_parts.clock.now());
    m_watcher = std::jthread([this](const std::stop_token &stop) {
        watch(stop);
    });
}

void ConfigController::stop()
{
    m_watcher.request_stop();
    if (m_watcher.joinable()) {
        m_watcher.join();
    }
}

void ConfigController::onMembers(const membership::MembershipView &members, base::TimePoint now)
{
    std::vector<config::DistributionPeer> peers;
    for (const auto &it : members.members) {
        const bool takesDuties = it.record.state == membership::MemberState::Alive || it.record.state == membership::MemberState::Suspect;
        if (takesDuties || it.record.id == members.self) {
            peers.push_back({it.record.id, it.record.domain});
        }
    }
    m_distributor.onMembers(peers);
    carryOut(now);
}

void ConfigController::onPeerRevision(const base::RouterId &peer, base::Revision revision, base::TimePoint now)
{
    m_distributor.onPeerRevision(peer, revision, now);
    carryOut(now);
}

void ConfigController::onRows(const config::RowSet &rows, base::TimePoint now)
{
    config::ConfigUpdate update;
    update.snapshot = std::make_shared<const config::RowSet>(rows);
    m_distributor.onUpdate(m_parts.settings.router.id, update, now);
    carryOut(now);
}

base::Revision ConfigController::revision() const
{
    return m_distributor.revision();
}

std::shared_ptr<const config::RowSet> ConfigController::rows() const
{
    return m_distributor.rows();
}

void ConfigController::carryOut(base::TimePoint now)
{
    for (const auto &it : m_distributor.takeActions()) {
        if (const auto *update = std::get_if<config::SendUpdate>(&it)) {
            m_bus.send(update->to, update->update);
        } else if (const auto *request = std::get_if<config::SendRequest>(&it)) {
            m_bus.send(request->to, request->request);
        } else if (const auto *inForce = std::get_if<config::ConfigInForce>(&it)) {
            carryOut(*inForce, now);
        } else {
            m_isWatcher = std::holds_alternative<config::StartWatch>(it);
        }
    }
}

void ConfigController::carryOut(const config::ConfigInForce &inForce, base::TimePoint now)
{
    if (!inForce.tables) {
        base::logEvent(base::LogEvent::ConfigUnreadable, {{"revision", std::to_string(inForce.revision.value)}, {"problem", inForce.problem}});
        return;
    }
    base::logEvent(base::LogEvent::ConfigInForce, {{"revision", std::to_string(inForce.revision.value)}});
    m_onInForce(inForce.tables, now);
}

void ConfigController::watch(const std::stop_token &stop)
{
    config::ConfigStore store(m_parts.objects);
    while (!stop.stop_requested()) {
        if (m_isWatcher) {
            watchOnce(store, stop);
        } else {
            pause(IdlePause, stop);
        }
    }
}

void ConfigController::watchOnce(config::ConfigStore &store, const std::stop_token &stop)
{
    const auto stored = store.load();
    if (!stored) {
        pause(RetryPause, stop);
        return;
    }
    m_parts.loop.post([this, stored](base::TimePoint now) {
        m_distributor.onStoredConfig(stored.value().head, stored.value().rows);
        carryOut(now);
    });
    const auto changes = m_parts.objects.watch(config::HeadName, stored.value().version, m_parts.settings.platform.watchWait);
    if (!changes) {
        pause(RetryPause, stop);
    }
}

} // namespace carawaylatch::router
