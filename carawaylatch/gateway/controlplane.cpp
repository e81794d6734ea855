// Coroutines of the control thread.
//
// A watch that fails is started again from the revision that was read last; only
// lost history makes a new list necessary. A confirmation of the configuration
// counts from when the call that gave it was sent.
#include "carawaylatch/gateway/controlplane.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <utility>

#include "carawaylatch/base/incarnation.h"

namespace carawaylatch::gateway
{

namespace
{

constexpr base::Duration DutyInterval = base::milliseconds{50}; // looks at lease and rollout; no call by itself
constexpr base::Duration StatusInterval = base::milliseconds{120}; // between questions to an engine that changes
constexpr base::Duration CacheStoreInterval = base::seconds{1}; // each probe is priced; a dead store costs callers far more
constexpr base::Duration DutiesPause = base::milliseconds{200}; // engines that change are named in groups; a drain takes three times as long
constexpr base::Duration PartialListLife = base::seconds{10}; // half of the history that a store keeps
constexpr base::Duration OutOfReachLife = base::milliseconds{2500}; // after the store's return, entries may still be missing

// A coroutine that ends by an exception is a fault of this program: end the process, it is started again.
void rethrow(const std::exception_ptr &error)
{
    if (error) {
        std::rethrow_exception(error);
    }
}

} // namespace

ControlPlane::ControlPlane(boost::asio::io_context &loop, const base::Clock &clock, const ControlSettings &settings, ObjectClientFactory &clients,
                           EngineClient &engines, const FleetDecoder &decoder, telemetry::DecisionLog &log, TableAge &tableAge, Publish publish)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_clients(clients)
    , m_engines(engines)
    , m_log(log)
    , m_tableAge(tableAge)
    , m_publish(std::move(publish))
    , m_state(decoder, log)
    , m_lease(settings.router, base::newIncarnation(), settings.lease)
    , m_rollout(settings.rollout)
    , m_random(base::hash64(settings.router.value()))
{
}

void ControlPlane::start()
{
    for (const ObjectKind kind : {ObjectKind::Tables, ObjectKind::Upstreams, ObjectKind::Weights, ObjectKind::Duties}) {
        boost::asio::co_spawn(m_loop, watchKind(kind), rethrow);
    }
    boost::asio::co_spawn(m_loop, runDuties(), rethrow);
    boost::asio::co_spawn(m_loop, watchCacheStores(), rethrow);
}

void ControlPlane::beginStop()
{
    m_isStopping = true;
}

void ControlPlane::onWeightsSeen(const base::UpstreamId &upstream, base::WeightsVersion weights)
{
    m_state.onWeightsSeen(upstream, weights);
    publishIfChanged();
}

Awaitable<void> ControlPlane::pause(base::Duration duration)
{
    boost::asio::steady_timer timer(m_loop);
    timer.expires_after(duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

void ControlPlane::publishIfChanged()
{
    if (m_state.takeChanged()) {
        m_publish(m_state.view());
    }
}

Awaitable<base::Result<std::uint64_t>> ControlPlane::listAll(ObjectClient &client, ObjectKind kind, bool wasOutOfReach, PartialList &partial)
{
    if (m_clock.now() - partial.begunAt > PartialListLife) {
        partial = PartialList{{}, {}, 0, m_clock.now()};
    }
    bool hasMore = true;
    while (hasMore) {
        auto page = co_await client.list(kind, partial.after);
        if (!page) {
            co_return page.error();
        }
        partial.asOf = partial.asOf == 0 ? page.value().asOf : partial.asOf;
        hasMore = page.value().hasMore && !page.value().objects.empty();
        for (StoredObject &object : page.value().objects) {
            partial.after = object.name;
            partial.objects.push_back(std::move(object));
        }
    }
    const PartialList whole = std::exchange(partial, {});
    m_state.onList(kind, whole.objects, wasOutOfReach, m_clock.now());
    co_return whole.asOf;
}

// The watch of the configuration is short, so it notices first that the store is
// out of reach. The other watches may hang on calls that are never answered.
void ControlPlane::interruptWatches()
{
    for (const auto &[kind, client] : m_watches) {
        if (kind != ObjectKind::Tables) {
            client->interrupt();
        }
    }
}

base::Duration ControlPlane::watchWait(ObjectKind kind) const
{
    return kind == ObjectKind::Tables ? m_settings.watchWait : m_settings.longWatchWait;
}

// Changes that come together cost one call instead of one each.
base::Duration ControlPlane::pauseAfterChanges(ObjectKind kind) const
{
    switch (kind) {
    case ObjectKind::Upstreams:
        return m_settings.upstreamsPause;
    case ObjectKind::Duties:
        return DutiesPause;
    case ObjectKind::Tables:
    case ObjectKind::Weights:
    case ObjectKind::Leases:
        break;
    }
    return {};
}

Awaitable<void> ControlPlane::watchKind(ObjectKind kind)
{
    const auto client = m_clients.makeClient();
    m_watches[kind] = client.get();
    std::uint64_t since = 0; // zero: list first
    PartialList partial;
    base::Duration pauseNext = m_settings.retryPause;
    std::optional<base::TimePoint> lostAt; // first of the calls that failed in a row
    base::TimePoint backAt{}; // first success after calls that failed
    while (true) {
        const base::Duration sentAt = TableAge::bootTime();
        const base::TimePoint callAt = m_clock.now();
        const bool wasOutOfReach = lostAt || callAt - backAt < OutOfReachLife;
        base::Result<std::uint64_t> result = std::uint64_t{0};
        bool hasChanges = false;
        if (since == 0) {
            const std::size_t read = partial.objects.size();
            result = co_await listAll(*client, kind, wasOutOfReach && backAt != base::TimePoint{}, partial);
            if (!result && partial.objects.size() > read) {
                pauseNext = m_settings.retryPause; // the store serves, if not each call
            }
        } else {
            auto changes = co_await client->watch(kind, since, watchWait(kind));
            if (changes) {
                for (const StoredObject &object : changes.value().objects) {
                    m_state.onChange(kind, object, wasOutOfReach, m_clock.now());
                }
                result = std::max(changes.value().asOf, since);
                hasChanges = !changes.value().objects.empty();
            } else {
                result = changes.error();
            }
        }
        const base::TimePoint now = m_clock.now();
        if (result) {
            since = result.value();
            pauseNext = m_settings.retryPause;
            if (lostAt) {
                m_log.write(base::LogEvent::StoreRegained,
                            {{"kind", std::string(objectKindName(kind))}, {"lost_ms", std::to_string(base::toMilliseconds(now - *lostAt))}});
                lostAt.reset();
                backAt = now;
                if (kind == ObjectKind::Tables) {
                    interruptWatches();
                }
            }
            if (backAt == base::TimePoint{}) {
                backAt = now - OutOfReachLife;
            }
            if (kind == ObjectKind::Tables) {
                m_tableAge.confirm(sentAt);
            }
            publishIfChanged();
            if (hasChanges) {
                co_await pause(pauseAfterChanges(kind));
            }
            continue;
        }
        if (result.error().kind == base::ErrorKind::StaleState && since != 0) {
            m_log.write(base::LogEvent::HistoryLost, {{"kind", std::string(objectKindName(kind))}});
            since = 0;
            continue;
        }
        if (!lostAt) {
            lostAt = now;
            m_log.write(base::LogEvent::StoreLost, {{"kind", std::string(objectKindName(kind))},
                                                    {"problem", result.error().message},
                                                    {"age_ms", std::to_string(base::toMilliseconds(m_tableAge.age()))}});
        }
        // Spread, so that routers don't all come back at the same moment.
        const base::Duration wait = base::fromSeconds(base::toSeconds(pauseNext) * (0.5 + m_random.unit()));
        pauseNext = std::min<base::Duration>(pauseNext * 2, m_settings.maxRetryPause);
        co_await pause(wait);
    }
}

// A dead store holds up every engine that is told to fetch from it.
Awaitable<void> ControlPlane::watchCacheStores()
{
    while (true) {
        co_await pause(CacheStoreInterval);
        const auto stores = m_state.cacheStores();
        for (const proxy::CacheStore &store : stores) {
            const auto probed = co_await m_engines.probeCacheStore(store.endpoint);
            m_state.onCacheStore(store.endpoint, probed.has_value());
        }
        publishIfChanged();
    }
}

Awaitable<void> ControlPlane::runDuties()
{
    const auto client = m_clients.makeClient();
    while (true) {
        co_await pause(DutyInterval);
        m_state.onTick(m_clock.now());
        publishIfChanged();
        const bool isOwnObjectSeen = m_state.duty(ownName()) != nullptr;
        if (std::exchange(m_isOwnObjectSeen, isOwnObjectSeen) && !isOwnObjectSeen) {
            m_isRegistered = false; // another router took this one for gone
        }
        if (!m_isRegistered) {
            co_await registerRouter(*client);
        }
        co_await removeGoneRouters(*client);
        if (m_isStopping) {
            co_await releaseLease(*client);
            co_return;
        }
        co_await stepLease(*client);
        co_await noteHolding(*client);
        if (m_isHolding && m_lease.mayAct(m_clock.now())) {
            co_await stepRollout(*client);
        }
    }
}

// Other routers count the objects to know their part of shared budgets, and read from
// each where to send load reports.
Awaitable<void> ControlPlane::registerRouter(ObjectClient &client)
{
    const std::string name = ownName();
    const std::string text = encodeRouter(m_settings.peers);
    const auto result = co_await client.write(ObjectKind::Duties, name, text, 0);
    m_isRegistered = result.has_value() || result.error().kind == base::ErrorKind::Conflict;
    if (!m_isRegistered) {
        co_await pause(m_settings.maxRetryPause);
    }
}

std::string ControlPlane::ownName() const
{
    return std::string(RouterPrefix) + m_settings.router.value();
}

void ControlPlane::onRouterUnreachable(const base::Endpoint &peers)
{
    m_goneRouters.insert(peers);
}

// One try for each time that a router is told to be gone; it is told again if that fails.
Awaitable<void> ControlPlane::removeGoneRouters(ObjectClient &client)
{
    for (const base::Endpoint &peers : std::exchange(m_goneRouters, {})) {
        const StoredObject *object = m_state.routerAt(peers);
        if (object == nullptr || object->name == ownName()) {
            continue;
        }
        const std::string name = object->name;
        const auto removed = co_await client.remove(ObjectKind::Duties, name, object->revision);
        m_log.write(base::LogEvent::RouterForgotten, {{"name", name}, {"problem", removed ? "" : removed.error().message}});
    }
}

Awaitable<void> ControlPlane::stepLease(ObjectClient &client)
{
    const fleet::LeaseAction action = m_lease.poll(m_clock.now());
    if (action.kind == fleet::LeaseActionKind::Read) {
        const bool isObserving = m_lease.state().step == fleet::LeaseStep::Observing;
        // An outdated lease only makes an observer's conditional write fail.
        const Freshness freshness = isObserving ? Freshness::MayBeStale : Freshness::Newest;
        auto result = co_await client.read(ObjectKind::Leases, std::string(LeaseName), freshness);
        if (result) {
            m_lease.onRead(m_clock.now(), store::Object{result.value().name, result.value().text, store::Version{result.value().revision}});
        } else {
            m_lease.onRead(m_clock.now(), result.error());
        }
        co_return;
    }
    if (action.kind == fleet::LeaseActionKind::Write) {
        auto result = co_await client.write(ObjectKind::Leases, std::string(LeaseName), action.value, action.expected.value);
        if (result) {
            m_lease.onWritten(m_clock.now(), store::Version{result.value()});
        } else {
            m_lease.onWritten(m_clock.now(), result.error());
        }
    }
}

// A new holder first reads which engines its predecessor may have ordered.
Awaitable<void> ControlPlane::noteHolding(ObjectClient &client)
{
    const bool isHolding = m_lease.mayAct(m_clock.now());
    if (isHolding == m_isHolding) {
        co_return;
    }
    if (isHolding) {
        auto changing = co_await client.read(ObjectKind::Duties, std::string(ChangingName), Freshness::Newest);
        if (!changing && changing.error().kind != base::ErrorKind::NotFound) {
            co_return; // tried again at the next look
        }
        const base::TimePoint now = m_clock.now();
        if (!m_lease.mayAct(now)) {
            co_return;
        }
        if (changing) {
            m_state.onChange(ObjectKind::Duties, changing.value(), false, now);
            if (!m_lease.isContinued()) {
                m_rollout.takeOver(now, ChangingEngines::decode(changing.value().text));
            }
        }
        m_isHolding = true;
        m_log.write(base::LogEvent::FleetLeaseGained, {{"domain", "fleet"}, {"fence", std::to_string(m_lease.fence(now)->value)}});
    } else {
        m_isHolding = false;
        m_log.write(base::LogEvent::FleetLeaseLost, {{"domain", "fleet"}});
        m_rollout.reset();
    }
}

// The lease object goes back to a state that nobody holds: observers take it at once.
Awaitable<void> ControlPlane::releaseLease(ObjectClient &client)
{
    const auto fence = m_lease.fence(m_clock.now());
    if (!fence) {
        co_return;
    }
    m_isHolding = false;
    m_log.write(base::LogEvent::FleetLeaseLost, {{"domain", "fleet"}});
    const auto released = co_await client.write(ObjectKind::Leases, std::string(LeaseName), fleet::encodeReleasedLease(), fence->value);
    if (!released) {
        m_log.write(base::LogEvent::StoreLost, {{"kind", "leases"}, {"problem", released.error().message}, {"age_ms", "0"}});
    }
}

// Engines that leave service are published at once; what has changed goes along, as
// routers also learn it from answers and entries.
Awaitable<bool> ControlPlane::publishChanging(ObjectClient &client)
{
    const ChangingEngines changing = m_rollout.changing();
    const StoredObject *seen = m_state.duty(ChangingName);
    const ChangingEngines published = ChangingEngines::decode(seen != nullptr ? seen->text : std::string_view{});
    const bool isIncluded = std::includes(published.engines.begin(), published.engines.end(), changing.engines.begin(), changing.engines.end());
    if (isIncluded && (!changing.engines.empty() || published.engines.empty())) {
        co_return true;
    }
    const std::string text = changing.encode();
    const auto written = co_await client.write(ObjectKind::Duties, std::string(ChangingName), text, seen != nullptr ? seen->revision : 0);
    if (!written) {
        co_return false; // tried again at the next look
    }
    m_state.onChange(ObjectKind::Duties, StoredObject{std::string(ChangingName), text, written.value(), false}, false, m_clock.now());
    publishIfChanged();
    co_return true;
}

Awaitable<void> ControlPlane::stepRollout(ObjectClient &client)
{
    const base::TimePoint now = m_clock.now();
    const auto fence = m_lease.fence(now);
    if (!fence) {
        co_return;
    }
    const fleet::Tenure tenure{*fence, now - m_lease.heldFor(now)};
    auto orders = m_rollout.plan(now, tenure, m_state);
    const bool isPublished = co_await publishChanging(client);
    for (WeightsOrder &order : orders) {
        if (!isPublished || !m_lease.mayAct(m_clock.now())) {
            m_rollout.onRefused(m_clock.now(), order.engine);
            continue;
        }
        order.holder = m_settings.router.value();
        order.fence = *m_lease.fence(m_clock.now());
        m_log.write(base::LogEvent::EngineOrdered, {{"engine", order.engine.value()},
                                                    {"weights_version", std::to_string(order.version.value)},
                                                    {"adapter", ""},
                                                    {"fence", std::to_string(order.fence.value)}});
        boost::asio::co_spawn(m_loop, giveOrder(order), rethrow);
    }
    for (const WeightsOrder &order : m_rollout.watched()) {
        if (!m_asked.contains(order.engine)) {
            m_asked.insert(order.engine);
            boost::asio::co_spawn(m_loop, askStatus(order), rethrow);
        }
    }
}

Awaitable<void> ControlPlane::giveOrder(WeightsOrder order)
{
    const auto result = co_await m_engines.order(order);
    std::string problem;
    if (!result) {
        problem = result.error().message;
    } else if (result.value() == OrderAnswer::Busy) {
        problem = "busy with another order, or its count of orders differs";
    }
    if (!problem.empty()) {
        m_log.write(base::LogEvent::EngineOrderFailed, {{"engine", order.engine.value()}, {"problem", problem}});
    }
    const bool isSurelyRefused = result ? result.value() == OrderAnswer::Busy : result.error().kind == base::ErrorKind::Unavailable;
    if (isSurelyRefused) {
        m_rollout.onRefused(m_clock.now(), order.engine);
    }
}

Awaitable<void> ControlPlane::askStatus(WeightsOrder order)
{
    co_await pause(StatusInterval);
    const base::TimePoint askedAt = m_clock.now();
    const auto result = co_await m_engines.status(order.engine, order.endpoint, order.model);
    if (result) {
        m_rollout.onStatus(askedAt, order.engine, result.value());
        const auto upstream = m_state.upstreams().find(order.engine);
        const bool isNews = upstream != m_state.upstreams().end() && upstream->second.models.contains(order.model)
                            && upstream->second.models.at(order.model) < result.value().weights;
        if (isNews) {
            m_log.write(base::LogEvent::EngineChanged,
                        {{"engine", order.engine.value()}, {"model", order.model.value()}, {"version", std::to_string(result.value().weights.value)}});
            m_state.onWeightsSeen(order.engine, result.value().weights);
            publishIfChanged();
        }
    }
    m_asked.erase(order.engine);
}

} // namespace carawaylatch::gateway
