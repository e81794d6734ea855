// Tasks of the control thread, lease and rollout; lists and watches are in
// controlplanewatch.cpp.
#include "carawaylatch/gateway/controlplane.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <utility>

#include "carawaylatch/base/incarnation.h"
#include "carawaylatch/base/suspendedtime.h"

namespace carawaylatch::gateway
{

namespace
{

constexpr base::Duration ControlInterval = base::milliseconds{50}; // between checks of lease and rollout; a check makes no call of its own
constexpr base::Duration StatusInterval = base::milliseconds{120}; // between status calls to an engine that is changing
// Of the first snapshot, until the admitted software is known; a store that can't list it must not keep a router from serving.
constexpr base::Duration MaxFirstSnapshotDelay = base::seconds{1};
constexpr base::Duration MaxConfirmationDelay = base::seconds{2}; // of the upstreams, beyond the wait of their watch
constexpr base::Duration CacheStoreInterval = base::seconds{1}; // probes cost calls, but requests that wait for a dead store cost far more

std::string messageOf(const std::exception_ptr &error)
{
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &ex) {
        return ex.what();
    } catch (...) {
        return "unknown exception";
    }
}

} // namespace

ControlPlane::ControlPlane(boost::asio::io_context &loop, const base::Clock &clock, const ControlSettings &settings, ObjectClientFactory &clients,
                           EngineClient &engines, const FleetDecoder &decoder, telemetry::EventLog &log, TableAge &tableAge, RelayClient &relay,
                           Publish publish)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_clients(clients)
    , m_engines(engines)
    , m_log(log)
    , m_tableAge(tableAge)
    , m_publish(std::move(publish))
    , m_state(decoder, log, settings.removal)
    , m_lease(settings.router, base::newIncarnation(), settings.lease)
    , m_leaseObserver(settings.lease.duration, base::hash64(settings.router.value()))
    , m_rollout(settings.router, settings.rollout)
    , m_random(base::hash64(settings.router.value()))
    , m_relay(relay)
    , m_readers(settings.relay, settings.readers)
    , m_streamSoftware(
          loop, clock, settings.router, clients, log,
          [this] {
              return streamSoftwareInput();
          },
          [this](const SoftwareByPool &admitted) {
              m_state.onSoftwareAdmitted(admitted);
              publishIfChanged();
          })
{
}

void ControlPlane::start()
{
    m_startedAt = m_clock.now();
    for (const ObjectKind kind : {ObjectKind::Tables, ObjectKind::Upstreams, ObjectKind::Weights, ObjectKind::Coordination}) {
        start("watch_" + std::string(objectKindName(kind)), [this, kind] {
            return watchKind(kind);
        });
    }
    start("control", [this] {
        return runControlLoop();
    });
    start("heartbeat", [this] {
        return runHeartbeat();
    });
    start("cache_stores", [this] {
        return watchCacheStores();
    });
    start("software_versions", [this] {
        return m_streamSoftware.runVersions();
    });
    start("stream_records", [this] {
        return m_streamSoftware.runRecords();
    });
    start("stream_searches", [this] {
        return m_streamSoftware.runSearches();
    });
}

void ControlPlane::start(std::string name, std::function<Awaitable<void>()> task)
{
    boost::asio::co_spawn(m_loop, repeat(std::move(name), std::move(task)), boost::asio::detached);
}

// An exception is a bug. It ends one round of one task, not the process, which also serves callers.
Awaitable<void> ControlPlane::repeat(std::string name, std::function<Awaitable<void>()> task)
{
    while (true) {
        std::exception_ptr error;
        try {
            co_await task();
            co_return;
        } catch (...) {
            error = std::current_exception();
        }
        m_log.write(base::LogEvent::UnexpectedError, {{"part", name}, {"problem", messageOf(error)}});
        co_await pause(m_settings.maxRetryPause);
    }
}

void ControlPlane::beginStop()
{
    m_isStopping = true;
    // Routers whose polls are held go to another reader now; when the process ends they would lose the connection.
    for (const auto &[kind, confirmation] : m_confirmations) {
        wakePolls(kind);
    }
}

void ControlPlane::onUpstreamLeaving(const base::UpstreamId &upstream, std::uint64_t startTimeMs)
{
    m_state.onUpstreamLeaving(upstream, startTimeMs);
    publishIfChanged();
}

void ControlPlane::onWeightsSeen(const base::UpstreamId &upstream, base::WeightsVersion weights)
{
    m_state.onWeightsSeen(upstream, weights);
    publishIfChanged();
}

void ControlPlane::onStreamsSent(const std::vector<proxy::StreamOrigin> &streams)
{
    m_streamSoftware.onStreamsSent(streams);
}

void ControlPlane::findOrigin(const base::PoolName &pool, std::uint64_t stream, std::function<void(proxy::OriginAnswer)> done)
{
    m_streamSoftware.findOrigin(pool, stream, std::move(done));
}

StreamSoftwareInput ControlPlane::streamSoftwareInput()
{
    const Confirmation &upstreams = m_confirmations[ObjectKind::Upstreams];
    StreamSoftwareInput input;
    input.isListed = m_published && upstreams.count > 0 && m_confirmations[ObjectKind::Coordination].count > 0;
    if (!input.isListed || !m_published->table) {
        return input;
    }
    input.versions.listed = m_listedSoftware;
    input.versions.isCurrent = TableAge::bootTime() - upstreams.at < m_settings.longWatchWait + MaxConfirmationDelay;
    input.versions.isLeaseHolder = m_isLeaseHolder && m_lease.isHeld(m_clock.now());
    input.versions.routers = m_published->routers;
    input.versions.maxStreamTime = maxStreamTime(*m_published->table);
    return input;
}

Awaitable<void> ControlPlane::pause(base::Duration duration)
{
    boost::asio::steady_timer timer(m_loop);
    timer.expires_after(duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

void ControlPlane::publishIfChanged()
{
    const bool areCoordinationObjectsListed = m_confirmations[ObjectKind::Coordination].count > 0;
    if (!m_published && !areCoordinationObjectsListed && m_clock.now() - m_startedAt < MaxFirstSnapshotDelay) {
        return;
    }
    m_streamSoftware.onObject(m_state.coordinationObject(SoftwareName));
    if (m_state.consumeChanged()) {
        m_published = m_state.view();
        m_listedSoftware = m_published->table ? listedSoftware(*m_published->table, m_state.upstreams()) : SoftwareByPool{};
        m_publish(m_published);
    }
}

// An unavailable cache store blocks every engine that is told to fetch from it.
Awaitable<void> ControlPlane::watchCacheStores()
{
    while (true) {
        co_await pause(CacheStoreInterval);
        const auto stores = m_state.cacheStores();
        for (const proxy::CacheStore &store : stores) {
            const auto probed = co_await m_engines.probeCacheStore(store.endpoint);
            m_state.onCacheStoreProbed(store.endpoint, probed.has_value());
        }
        publishIfChanged();
    }
}

Awaitable<void> ControlPlane::runControlLoop()
{
    const auto client = m_clients.makeClient();
    while (true) {
        co_await pause(ControlInterval);
        checkStoreEra();
        noteList();
        const bool isRouterObjectStored = m_state.coordinationObject(routerObjectName()) != nullptr;
        if (std::exchange(m_wasRouterObjectStored, isRouterObjectStored) && !isRouterObjectStored) {
            m_isRegistered = false; // another router removed it as unreachable
        }
        if (!m_isRegistered) {
            co_await registerRouter(*client);
        }
        co_await removeUnreachableRouters(*client);
        if (m_isStopping) {
            co_await releaseLease(*client);
            co_return;
        }
        co_await stepLease(*client);
        co_await updateHolderState(*client);
        if (m_isLeaseHolder && m_lease.isHeld(m_clock.now())) {
            co_await stepRollout(*client);
        }
    }
}

Awaitable<void> ControlPlane::runHeartbeat()
{
    base::Duration suspended = base::suspendedTime();
    while (true) {
        const base::Duration suspendedNow = base::suspendedTime() - suspended;
        suspended += suspendedNow;
        if (suspendedNow > ChangeTimes::HeartbeatInterval) {
            m_engines.abandonOrders(); // the timeouts of their calls omit a suspension
        }
        if (const auto stalled = m_changeTimes.onHeartbeat(TableAge::bootTime())) {
            m_log.write(base::LogEvent::ControlThreadStalled,
                        {{"stalled_ms", std::to_string(base::toMilliseconds(*stalled))}, {"suspended_ms", std::to_string(base::toMilliseconds(suspendedNow))}});
        }
        m_state.onTick(m_clock.now());
        publishIfChanged();
        checkStoreContact();
        co_await pause(ChangeTimes::HeartbeatInterval);
    }
}

// Writes this router's object. Routers count these objects to compute their share of
// fleet-wide budgets, and read from each where to send load reports.
Awaitable<void> ControlPlane::registerRouter(ObjectClient &client)
{
    const std::string name = routerObjectName();
    const std::string text = encodeRouter(RouterEntry{m_settings.peers, m_settings.domain, m_settings.relay});
    auto result = co_await client.write(ObjectKind::Coordination, name, text, 0);
    if (!result && result.error().kind == base::ErrorKind::Conflict) {
        // An earlier process of this router wrote it, possibly with other addresses.
        const auto stored = co_await client.read(ObjectKind::Coordination, name, ReadConsistency::Latest);
        if (stored && stored.value().text == text) {
            result = stored.value().revision;
        } else if (stored) {
            result = co_await client.write(ObjectKind::Coordination, name, text, stored.value().revision);
        }
    }
    m_isRegistered = result.has_value();
    if (!m_isRegistered) {
        co_await pause(m_settings.maxRetryPause);
    }
}

std::string ControlPlane::routerObjectName() const
{
    return std::string(RouterPrefix) + m_settings.router.value();
}

void ControlPlane::onRouterUnreachable(const base::Endpoint &peers)
{
    m_unreachableRouters.insert(peers);
}

// Tries once for each report of an unreachable router; after a failure the report is repeated.
Awaitable<void> ControlPlane::removeUnreachableRouters(ObjectClient &client)
{
    for (const base::Endpoint &peers : std::exchange(m_unreachableRouters, {})) {
        const StoredObject *object = m_state.routerAt(peers);
        if (object == nullptr || object->name == routerObjectName()) {
            continue;
        }
        const std::string name = object->name;
        const auto removed = co_await client.remove(ObjectKind::Coordination, name, object->revision);
        if (removed || removed.error().kind == base::ErrorKind::Unclear) {
            m_streamSoftware.onRouterRemoved(name.substr(RouterPrefix.size()));
        }
        m_log.write(base::LogEvent::RouterForgotten, {{"name", name}, {"problem", removed ? "" : removed.error().message}});
    }
}

// What routers alone wrote may be gone: the lease, and the objects of the routers.
void ControlPlane::checkStoreEra()
{
    const auto era = m_clients.storeEra();
    const auto former = std::exchange(m_storeEra, era);
    // A new process in a later era does not know when the store was restored either.
    const bool isFirst = !former;
    if (former == era || (isFirst && *era == 0)) {
        return;
    }
    if (!isFirst) {
        m_log.write(base::LogEvent::StoreRestored, {{"former", std::to_string(*former)}, {"era", std::to_string(*era)}});
        m_isRegistered = false;
    }
    const base::TimePoint now = m_clock.now();
    m_lease.onStoreRestored(now);
    // The list of engines that the holder of before has ordered may be gone, and its lease may last a lease duration.
    m_rollout.holdOrdersUntil(now + m_settings.lease.duration + m_settings.rollout.takeoverDelay);
}

void ControlPlane::onOtherCallAnswered()
{
    const base::Duration now = TableAge::bootTime();
    m_contact.onAnswered(now);
    m_changeTimes.onContact(now);
    interruptWatches(m_contact.doubtfulWatches());
}

Awaitable<bool> ControlPlane::readLease(ObjectClient &client, ReadConsistency consistency)
{
    auto result = co_await client.read(ObjectKind::Leases, std::string(LeaseName), consistency);
    checkStoreEra();
    if (result || result.error().kind == base::ErrorKind::NotFound) {
        onOtherCallAnswered();
    }
    if (result) {
        m_lease.onRead(m_clock.now(), store::Object{result.value().name, result.value().text, store::Version{result.value().revision}});
        co_return true;
    }
    m_lease.onRead(m_clock.now(), result.error());
    co_return result.error().kind == base::ErrorKind::NotFound;
}

Awaitable<void> ControlPlane::stepLease(ObjectClient &client)
{
    const LeaseTurn turn = m_leaseObserver.turn(m_clock.now(), m_readers.isAmongFirst(), m_lease.state());
    if (turn == LeaseTurn::Wait) {
        co_return;
    }
    if (turn == LeaseTurn::Read) {
        const bool isRead = co_await readLease(client, ReadConsistency::AllowStale);
        m_leaseObserver.onRead(isRead ? m_lease.state().observedVersion : std::nullopt);
        co_return;
    }
    const fleet::LeaseAction action = m_lease.poll(m_clock.now());
    if (action.kind == fleet::LeaseActionKind::Read) {
        const bool isObserving = m_lease.state().phase == fleet::LeasePhase::Observing;
        // A stale read is safe for an observer: its conditional write then fails.
        static_cast<void>(co_await readLease(client, isObserving ? ReadConsistency::AllowStale : ReadConsistency::Latest));
        co_return;
    }
    if (action.kind == fleet::LeaseActionKind::Write) {
        auto result = co_await client.write(ObjectKind::Leases, std::string(LeaseName), action.value, action.expected.value);
        checkStoreEra();
        if (result) {
            onOtherCallAnswered();
            m_lease.onWritten(m_clock.now(), store::Version{result.value()});
        } else {
            m_lease.onWritten(m_clock.now(), result.error());
        }
    }
}

// A new holder first reads to which engines the previous holder may have sent orders.
Awaitable<void> ControlPlane::updateHolderState(ObjectClient &client)
{
    const bool isLeaseHolder = m_lease.isHeld(m_clock.now());
    if (isLeaseHolder == m_isLeaseHolder) {
        co_return;
    }
    if (isLeaseHolder) {
        auto changing = co_await client.read(ObjectKind::Coordination, std::string(ChangingName), ReadConsistency::Latest);
        if (!changing && changing.error().kind != base::ErrorKind::NotFound) {
            co_return; // retried at the next check
        }
        const base::TimePoint now = m_clock.now();
        if (!m_lease.isHeld(now)) {
            co_return;
        }
        if (changing) {
            m_state.onObject(ObjectKind::Coordination, changing.value(), {now, now, {}});
            const auto inherited = ChangingEngines::decode(changing.value().text);
            const PreviousHolder holder = m_lease.hadNoOtherHolder() ? PreviousHolder::SameRouter : PreviousHolder::OtherRouter;
            m_rollout.takeOver(now, inherited, holder, changing.value().revision == m_list.revision ? m_list.seenAt : now);
            m_list.isWritten = false;
            m_log.write(base::LogEvent::OrdersInherited, {{"revision", std::to_string(changing.value().revision)},
                                                          {"writer", inherited.writer.value()},
                                                          {"engines", std::to_string(inherited.engines.size())},
                                                          {"changed", std::to_string(inherited.changed.size())}});
        }
        m_isLeaseHolder = true;
        m_log.write(base::LogEvent::FleetLeaseGained, {{"domain", "fleet"}, {"fence", std::to_string(m_lease.fence(now)->value)}});
    } else {
        m_isLeaseHolder = false;
        m_log.write(base::LogEvent::FleetLeaseLost, {{"domain", "fleet"}});
        m_rollout.reset();
        m_engines.abandonOrders();
    }
}

// Notes when this router first knew of the list of changing engines that it knows now.
void ControlPlane::noteList()
{
    const StoredObject *object = m_state.coordinationObject(ChangingName);
    if (object != nullptr && object->revision != m_list.revision) {
        m_list.revision = object->revision;
        m_list.seenAt = m_clock.now();
    }
}

// Marks the lease as released, so that an observer can acquire it at once.
Awaitable<void> ControlPlane::releaseLease(ObjectClient &client)
{
    if (!m_lease.isHeld(m_clock.now())) {
        co_return;
    }
    m_isLeaseHolder = false;
    m_engines.abandonOrders();
    m_log.write(base::LogEvent::FleetLeaseLost, {{"domain", "fleet"}});
    m_rollout.reset();
    // The next holder waits for engines that this list names, but not for those that only drained.
    static_cast<void>(co_await publishChangingEngines(client));
    const auto fence = m_lease.fence(m_clock.now());
    if (!fence) {
        co_return;
    }
    const auto released = co_await client.write(ObjectKind::Leases, std::string(LeaseName), fleet::encodeReleasedLease(), fence->value);
    if (!released) {
        m_log.write(base::LogEvent::StoreLost, {{"kind", "leases"}, {"problem", released.error().message}, {"age_ms", "0"}});
    }
}

// A late write of a former holder may have replaced the list, and the watch may tell of it late.
Awaitable<void> ControlPlane::readChangingEngines(ObjectClient &client, base::Error error)
{
    if (error.kind != base::ErrorKind::Conflict || !m_lease.isHeld(m_clock.now())) {
        co_return;
    }
    const auto changing = co_await client.read(ObjectKind::Coordination, std::string(ChangingName), ReadConsistency::Latest);
    if (changing) {
        const base::TimePoint now = m_clock.now();
        m_state.onObject(ObjectKind::Coordination, changing.value(), {now, now, {}});
    }
}

// Writes the object as soon as an engine starts to change. Completed changes are included
// but cause no write of their own while engines are changing, as routers also learn of
// them from responses and entries.
Awaitable<bool> ControlPlane::publishChangingEngines(ObjectClient &client)
{
    const ChangingEngines changing = m_rollout.changing(m_clock.now());
    const StoredObject *seen = m_state.coordinationObject(ChangingName);
    const ChangingEngines published = seen != nullptr ? ChangingEngines::decode(seen->text) : ChangingEngines();
    if (!changing.mustReplace(published) && (m_list.isWritten || changing.engines.empty())) {
        co_return true;
    }
    m_list.isWritten = false; // a write without an answer may still replace the list
    const std::string text = changing.encode();
    const auto written = co_await client.write(ObjectKind::Coordination, std::string(ChangingName), text, seen != nullptr ? seen->revision : 0);
    if (!written) {
        co_await readChangingEngines(client, written.error());
        co_return false; // retried at the next check
    }
    m_list.isWritten = true;
    m_log.write(base::LogEvent::ChangingEnginesWritten, {{"revision", std::to_string(written.value())},
                                                         {"engines", std::to_string(changing.engines.size())},
                                                         {"changed", std::to_string(changing.changed.size())}});
    const base::TimePoint now = m_clock.now();
    m_state.onObject(ObjectKind::Coordination, StoredObject{std::string(ChangingName), text, written.value(), false}, {now, now, {}});
    publishIfChanged();
    co_return true;
}

std::function<void(const std::exception_ptr &)> ControlPlane::logged(const char *part)
{
    return [this, part](const std::exception_ptr &error) {
        if (error) {
            m_log.write(base::LogEvent::UnexpectedError, {{"part", part}, {"problem", messageOf(error)}});
        }
    };
}

Awaitable<void> ControlPlane::stepRollout(ObjectClient &client)
{
    const base::TimePoint now = m_clock.now();
    const auto fence = m_lease.fence(now);
    if (!fence) {
        co_return;
    }
    const fleet::LeaseTerm term{*fence, now - m_lease.heldDuration(now)};
    auto orders = m_rollout.plan(now, term, m_state);
    const bool isPublished = co_await publishChangingEngines(client);
    for (WeightsOrder &order : orders) {
        if (!isPublished || !m_lease.isHeld(m_clock.now())) {
            m_rollout.onOrderEnded(m_clock.now(), order.engine);
            m_rollout.onOrderRejected(m_clock.now(), order.engine);
            continue;
        }
        order.holder = m_settings.router.value();
        boost::asio::co_spawn(m_loop, sendOrder(order, now), [this, engine = order.engine, log = logged("order")](const std::exception_ptr &error) {
            m_rollout.onOrderEnded(m_clock.now(), engine);
            log(error);
        });
    }
    for (const WeightsOrder &order : m_rollout.pendingOrders()) {
        if (!m_pendingStatusCalls.contains(order.engine)) {
            m_pendingStatusCalls.insert(order.engine);
            boost::asio::co_spawn(m_loop, pollStatus(order), [this, engine = order.engine, log = logged("status")](const std::exception_ptr &error) {
                m_pendingStatusCalls.erase(engine);
                log(error);
            });
        }
    }
}

Awaitable<void> ControlPlane::sendOrder(WeightsOrder order, base::TimePoint plannedAt)
{
    // The token of the lease if it was held without interruption since the order was planned.
    const auto currentFence = [this, plannedAt, &order]() -> std::optional<base::FencingToken> {
        const base::TimePoint now = m_clock.now();
        const auto fence = m_lease.fence(now);
        if (!m_isLeaseHolder || !fence || m_lease.heldDuration(now) < now - plannedAt || m_clients.storeEra() != m_storeEra) {
            return std::nullopt;
        }
        m_log.write(base::LogEvent::EngineOrdered, {{"engine", order.engine.value()},
                                                    {"weights_version", std::to_string(order.version.value)},
                                                    {"adapter", ""},
                                                    {"fence", std::to_string(fence->value)},
                                                    {"planned_ms", std::to_string(base::toMilliseconds(now - plannedAt))},
                                                    {"lease_left_ms", std::to_string(base::toMilliseconds(m_lease.state().validUntil - now))}});
        return fence;
    };
    const auto result = co_await m_engines.order(order, currentFence);
    std::string problem;
    if (!result) {
        problem = result.error().message;
    } else if (result.value() == OrderResponse::Busy) {
        problem = "engine is busy with another order, or has accepted another number of orders than expected";
    }
    if (!problem.empty()) {
        m_log.write(base::LogEvent::EngineOrderFailed, {{"engine", order.engine.value()}, {"problem", problem}});
    }
    const bool isRejected = result ? result.value() == OrderResponse::Busy : result.error().kind == base::ErrorKind::Unavailable;
    if (isRejected) {
        m_rollout.onOrderRejected(m_clock.now(), order.engine);
    }
}

Awaitable<void> ControlPlane::pollStatus(WeightsOrder order)
{
    co_await pause(StatusInterval);
    const base::TimePoint requestedAt = m_clock.now();
    const auto result = co_await m_engines.status(order.engine, order.endpoint, order.model);
    if (result) {
        m_rollout.onStatus(requestedAt, order.engine, result.value());
        const auto upstream = m_state.upstreams().find(order.engine);
        if (result.value().isLeaving && upstream != m_state.upstreams().end()) {
            onUpstreamLeaving(order.engine, upstream->second.startTimeMs);
        }
        m_state.onBrittleWord(order.engine, {result.value().brittle, requestedAt});
        publishIfChanged();
        const bool hasChanged = upstream != m_state.upstreams().end() && upstream->second.models.contains(order.model)
                                && upstream->second.models.at(order.model) < result.value().weights;
        if (hasChanged) {
            m_log.write(base::LogEvent::EngineChanged,
                        {{"engine", order.engine.value()}, {"model", order.model.value()}, {"version", std::to_string(result.value().weights.value)}});
            m_state.onWeightsSeen(order.engine, result.value().weights);
            publishIfChanged();
        }
    }
}

} // namespace carawaylatch::gateway
