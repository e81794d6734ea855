// The watching thread loads the head when it starts to watch and after each change,
// and posts the result to the control thread, which checks whether it is newer. A
// failed call is retried after RetryInterval; edits from peers still arrive meanwhile.
#include "carawaylatch/router/configcontroller.h"

#include <variant>
#include <vector>

#include "carawaylatch/base/logevents.h"

namespace carawaylatch::router
{

namespace
{

constexpr base::Duration RetryInterval = base::seconds{1};
constexpr base::Duration IdlePollInterval = base::milliseconds{200}; // while this router is not a watcher

config::DistributorOptions distributorOptions(const config::Settings &settings)
{
    config::DistributorOptions options;
    options.self = settings.router.id;
    options.domain = settings.router.failureDomain;
    return options;
}

void sleepFor(base::Duration duration, const std::stop_token &stop)
{
    const base::SteadyClock clock;
    const base::TimePoint deadline = clock.now() + duration;
    while (!stop.stop_requested() && clock.now() < deadline) {
        std::this_thread::sleep_for(base::milliseconds{20});
    }
}

} // namespace

ConfigController::ConfigController(const ControllerDependencies &dependencies, PeerBus &bus, InForceHandler onInForce)
    : m_dependencies(dependencies)
    , m_bus(bus)
    , m_onInForce(std::move(onInForce))
    , m_distributor(distributorOptions(dependencies.settings))
{
    m_bus.subscribe<config::ConfigUpdate>([this](const peer::PeerIdentity &sender, const config::ConfigUpdate &update, base::TimePoint now) {
        m_distributor.onUpdate(sender.id, update, now);
        executeActions(now);
    });
    m_bus.subscribe<config::ConfigRequest>([this](const peer::PeerIdentity &sender, const config::ConfigRequest &request, base::TimePoint now) {
        m_distributor.onRequest(sender.id, request);
        executeActions(now);
    });
}

void ConfigController::start()
{
    const config::DistributionPeer self{m_dependencies.settings.router.id, m_dependencies.settings.router.failureDomain};
    m_distributor.onMembers({&self, 1});
    executeActions(m_dependencies.clock.now());
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
        const bool isLive = it.record.state == membership::MemberState::Alive || it.record.state == membership::MemberState::Suspect;
        if (isLive || it.record.id == members.self) {
            peers.push_back({it.record.id, it.record.domain});
        }
    }
    m_distributor.onMembers(peers);
    executeActions(now);
}

void ConfigController::onPeerRevision(const base::RouterId &peer, base::Revision revision, base::TimePoint now)
{
    m_distributor.onPeerRevision(peer, revision, now);
    executeActions(now);
}

void ConfigController::onRows(const config::RowSet &rows, base::TimePoint now)
{
    config::ConfigUpdate update;
    update.snapshot = std::make_shared<const config::RowSet>(rows);
    m_distributor.onUpdate(m_dependencies.settings.router.id, update, now);
    executeActions(now);
}

base::Revision ConfigController::revision() const
{
    return m_distributor.revision();
}

std::shared_ptr<const config::RowSet> ConfigController::rows() const
{
    return m_distributor.rows();
}

void ConfigController::executeActions(base::TimePoint now)
{
    for (const auto &it : m_distributor.takeActions()) {
        if (const auto *update = std::get_if<config::SendUpdate>(&it)) {
            m_bus.send(update->to, update->update);
        } else if (const auto *request = std::get_if<config::SendRequest>(&it)) {
            m_bus.send(request->to, request->request);
        } else if (const auto *inForce = std::get_if<config::ConfigInForce>(&it)) {
            onConfigInForce(*inForce, now);
        } else {
            m_isWatcher = std::holds_alternative<config::StartWatch>(it);
        }
    }
}

void ConfigController::onConfigInForce(const config::ConfigInForce &inForce, base::TimePoint now)
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
    config::ConfigStore store(m_dependencies.objects);
    while (!stop.stop_requested()) {
        if (m_isWatcher) {
            loadAndWatch(store, stop);
        } else {
            sleepFor(IdlePollInterval, stop);
        }
    }
}

void ConfigController::loadAndWatch(config::ConfigStore &store, const std::stop_token &stop)
{
    const auto stored = store.load();
    if (!stored) {
        sleepFor(RetryInterval, stop);
        return;
    }
    m_dependencies.loop.post([this, stored](base::TimePoint now) {
        m_distributor.onStoredConfig(stored.value().head, stored.value().rows);
        executeActions(now);
    });
    const auto changes = m_dependencies.objects.watch(config::HeadName, stored.value().version, m_dependencies.settings.platform.watchWait);
    if (!changes) {
        sleepFor(RetryInterval, stop);
    }
}

} // namespace carawaylatch::router
