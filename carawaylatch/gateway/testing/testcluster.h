// Control planes of several routers before one in-memory store, with a tenth of the default
// times.
#pragma once

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/gateway/controlplane.h"
#include "carawaylatch/gateway/testing/fakerelay.h"
#include "carawaylatch/gateway/testing/fakes.h"
#include "carawaylatch/gateway/testing/fakestore.h"

namespace carawaylatch::gateway::testing
{

constexpr base::Duration LeaseTime = base::milliseconds{300};
constexpr base::Duration LoadTime = base::milliseconds{60};
constexpr int Engines = 3;

struct RecordedOrder
{
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t version = 0;
    base::TimePoint at;
};

// Engines that execute every order and record it.
class FakeEngines : public EngineClient
{
public:
    explicit FakeEngines(const base::Clock &clock)
        : m_clock(clock)
    {
    }
    Awaitable<base::Result<OrderResponse>> order(WeightsOrder order, std::function<std::optional<base::FencingToken>()> currentFence) override
    {
        ++pendingOrders;
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        timer.expires_after(connectTime);
        co_await timer.async_wait(boost::asio::use_awaitable);
        --pendingOrders;
        const auto fence = currentFence();
        if (!fence) {
            co_return base::fail(base::ErrorKind::Unavailable, "not sent");
        }
        orders[order.engine].push_back({order.holder, fence->value, order.version.value, m_clock.now()});
        m_loads[order.engine] = {m_clock.now() + LoadTime, order.version};
        co_return OrderResponse::Accepted;
    }
    Awaitable<base::Result<EngineStatus>> status(base::UpstreamId engine, base::Endpoint /*endpoint*/, base::ModelId /*model*/) override
    {
        EngineStatus status;
        const auto it = m_loads.find(engine);
        const bool isLoaded = it != m_loads.end() && m_clock.now() >= it->second.first;
        status.weights = isLoaded ? it->second.second : base::WeightsVersion{1};
        status.running = runningRequests;
        co_return status;
    }
    Awaitable<base::Result<void>> probeCacheStore(base::Endpoint /*endpoint*/) override
    {
        co_return base::ok();
    }
    void abandonOrders() override
    {
    }
    std::map<base::UpstreamId, std::vector<RecordedOrder>> orders;
    base::Duration connectTime{}; // until an order can be sent
    std::uint32_t runningRequests = 0; // of each engine
    int pendingOrders = 0; // whose connection is being opened

private:
    const base::Clock &m_clock;
    std::map<base::UpstreamId, std::pair<base::TimePoint, base::WeightsVersion>> m_loads;
};

struct StoreCalls
{
    int watches = 0;
    int leaseCalls = 0;
};

// Counts calls of one router.
class CountedClient : public FakeClient
{
public:
    CountedClient(FakeStore &store, const StoreLink &link, StoreEra &era, StoreCalls &calls)
        : FakeClient(store, link, era)
        , m_calls(calls)
    {
    }
    Awaitable<base::Result<ObjectPage>> watch(ObjectKind kind, std::uint64_t since, base::Duration wait) override
    {
        ++m_calls.watches;
        return FakeClient::watch(kind, since, wait);
    }
    Awaitable<base::Result<StoredObject>> read(ObjectKind kind, std::string name, ReadConsistency consistency) override
    {
        m_calls.leaseCalls += kind == ObjectKind::Leases ? 1 : 0;
        return FakeClient::read(kind, std::move(name), consistency);
    }
    Awaitable<base::Result<std::uint64_t>> write(ObjectKind kind, std::string name, std::string text, std::uint64_t expected) override
    {
        m_calls.leaseCalls += kind == ObjectKind::Leases ? 1 : 0;
        return FakeClient::write(kind, std::move(name), std::move(text), expected);
    }

private:
    StoreCalls &m_calls;
};

class FakeClients : public ObjectClientFactory, public StoreLink
{
public:
    explicit FakeClients(FakeStore &store)
        : m_store(store)
    {
    }
    std::unique_ptr<ObjectClient> makeClient() override
    {
        return std::make_unique<CountedClient>(m_store, *this, m_era, calls);
    }
    std::optional<std::uint64_t> storeEra() const override
    {
        return m_era.isKnown ? std::optional(m_era.current) : std::nullopt;
    }
    StoreCalls calls;

private:
    FakeStore &m_store;
    StoreEra m_era;
};

// The control plane of one router, and what it has published.
struct Router
{
    Router(boost::asio::io_context &loop, const base::Clock &clock, FakeStore &store, FakeEngines &engines, const FleetDecoder &decoder,
           telemetry::EventLog &log, RelayNetwork &network, const ControlSettings &settings)
        : clients(store)
        , relay(loop, network)
        , plane(loop, clock, settings, clients, engines, decoder, log, age, relay, [this](std::shared_ptr<const proxy::FleetView> view) {
            const std::uint64_t version = view->table ? view->table->version : 0;
            hasVersionRegressed = hasVersionRegressed || version < newestTable;
            newestTable = std::max(newestTable, version);
            last = std::move(view);
            first = first ? first : last;
        })
    {
        network.sources[settings.relay] = &plane;
        plane.start();
    }
    static ControlSettings settings(const std::string &id)
    {
        ControlSettings out;
        out.router = base::RouterId(id);
        out.lease.duration = LeaseTime * 6 / 10;
        out.lease.readInterval = LeaseTime / 10;
        out.lease.isRouterIdUnique = true;
        out.rollout.takeoverDelay = LeaseTime;
        out.rollout.orderFlightTime = base::milliseconds{150};
        out.rollout.maxDrainTime = base::milliseconds{50};
        out.rollout.orderTimeout = base::milliseconds{400};
        out.watchWait = base::milliseconds{60};
        out.longWatchWait = base::milliseconds{200};
        out.retryPause = base::milliseconds{10};
        out.maxRetryPause = base::milliseconds{50};
        return out;
    }

    FakeClients clients;
    FakeRelay relay;
    TableAge age;
    std::shared_ptr<const proxy::FleetView> first;
    std::shared_ptr<const proxy::FleetView> last;
    std::uint64_t newestTable = 0;
    bool hasVersionRegressed = false;
    ControlPlane plane;
};

struct TestCluster
{
    TestCluster(boost::asio::io_context &loop, const base::Clock &clock, telemetry::EventLog &log)
        : store(loop)
        , engines(clock)
        , m_loop(loop)
        , m_clock(clock)
        , m_log(log)
    {
        store.put(ObjectKind::Tables, "main", "1");
        for (int i = 0; i < Engines; ++i) {
            store.put(ObjectKind::Upstreams, "e" + std::to_string(i), "p ready 1 1");
        }
    }
    void addRouter(const std::string &id)
    {
        addRouter(Router::settings(id));
    }
    void addRouter(const ControlSettings &settings)
    {
        addRouter(settings, m_loop);
    }
    // The router runs only while `loop` runs.
    void addRouter(const ControlSettings &settings, boost::asio::io_context &loop)
    {
        routers.push_back(std::make_unique<Router>(loop, m_clock, store, engines, m_decoder, m_log, network, settings));
    }
    [[nodiscard]] bool isChanged(std::uint64_t version) const
    {
        std::size_t changed = 0;
        for (const auto &[engine, orders] : engines.orders) {
            changed += orders.back().version == version ? 1 : 0;
        }
        return changed == Engines;
    }
    // Returns which invariant is violated, or an empty string.
    [[nodiscard]] std::string violation() const
    {
        for (const auto &router : routers) {
            if (router->hasVersionRegressed) {
                return "the configuration's version decreased";
            }
        }
        for (const auto &[engine, orders] : engines.orders) {
            for (std::size_t i = 1; i < orders.size(); ++i) {
                const RecordedOrder &before = orders[i - 1];
                const RecordedOrder &after = orders[i];
                if (after.fence < before.fence) {
                    return "an order with a lower fencing token follows one with a higher token";
                }
                if (after.holder != before.holder && (after.at - before.at < leaseTime || after.fence == before.fence)) {
                    return "two lease holders sent orders to one engine within the lease time";
                }
            }
        }
        return {};
    }

    base::Duration leaseTime = LeaseTime; // between orders of two holders to one engine
    FakeStore store;
    FakeEngines engines;
    RelayNetwork network;
    std::vector<std::unique_ptr<Router>> routers;

private:
    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    telemetry::EventLog &m_log;
    PlainTextDecoder m_decoder;
};

} // namespace carawaylatch::gateway::testing
