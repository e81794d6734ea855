// Control planes against a store that fails: each fault at each of the first
// calls, and two routers of which the holder of the lease is cut off. All worlds
// run at once on one loop; times are a tenth of those in use.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/gateway/controlplane.h"
#include "carawaylatch/gateway/testing/fakes.h"
#include "carawaylatch/gateway/testing/fakestore.h"

namespace carawaylatch::gateway::testing
{

namespace
{

constexpr base::Duration LeaseTime = base::milliseconds{300};
constexpr base::Duration LoadTime = base::milliseconds{60};
constexpr int Engines = 3;

struct GivenOrder
{
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t version = 0;
    base::TimePoint at;
};

// Engines that load what they are told to; every order is noted.
class FakeEngines : public EngineClient
{
public:
    FakeEngines(boost::asio::io_context &loop, const base::Clock &clock)
        : m_loop(loop)
        , m_clock(clock)
    {
    }
    Awaitable<base::Result<OrderAnswer>> order(WeightsOrder order) override
    {
        orders[order.engine].push_back({order.holder, order.fence.value, order.version.value, m_clock.now()});
        m_loads[order.engine] = {m_clock.now() + LoadTime, order.version};
        co_return OrderAnswer::Accepted;
    }
    Awaitable<base::Result<EngineStatus>> status(base::UpstreamId engine, base::Endpoint /*endpoint*/, base::ModelId /*model*/) override
    {
        EngineStatus status;
        const auto it = m_loads.find(engine);
        const bool isLoaded = it != m_loads.end() && m_clock.now() >= it->second.first;
        status.weights = isLoaded ? it->second.second : base::WeightsVersion{1};
        co_return status;
    }
    Awaitable<base::Result<void>> probeCacheStore(base::Endpoint /*endpoint*/) override
    {
        co_return base::ok();
    }
    std::map<base::UpstreamId, std::vector<GivenOrder>> orders;

private:
    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    std::map<base::UpstreamId, std::pair<base::TimePoint, base::WeightsVersion>> m_loads;
};

class FakeClients : public ObjectClientFactory
{
public:
    explicit FakeClients(FakeStore &store)
        : m_store(store)
    {
    }
    std::unique_ptr<ObjectClient> makeClient() override
    {
        return std::make_unique<FakeClient>(m_store, isCut);
    }
    bool isCut = false; // from the store

private:
    FakeStore &m_store;
};

// One router's control plane, and what it has published.
struct Router
{
    Router(boost::asio::io_context &loop, const base::Clock &clock, FakeStore &store, FakeEngines &engines, const FleetDecoder &decoder,
           telemetry::DecisionLog &log, const std::string &id)
        : clients(store)
        , plane(loop, clock, settings(id), clients, engines, decoder, log, age, [this](std::shared_ptr<const proxy::FleetView> view) {
            const std::uint64_t version = view->table ? view->table->version : 0;
            hasGoneBack = hasGoneBack || version < newestTable;
            newestTable = std::max(newestTable, version);
            last = std::move(view);
        })
    {
        plane.start();
    }
    static ControlSettings settings(const std::string &id)
    {
        ControlSettings out;
        out.router = base::RouterId(id);
        out.lease.length = LeaseTime * 6 / 10;
        out.lease.readInterval = LeaseTime / 10;
        out.lease.isRouterSingle = true;
        out.rollout.settleTime = LeaseTime;
        out.rollout.longestDrain = base::milliseconds{50};
        out.rollout.orderTimeout = base::milliseconds{400};
        out.watchWait = base::milliseconds{60};
        out.longWatchWait = base::milliseconds{200};
        out.retryPause = base::milliseconds{10};
        out.maxRetryPause = base::milliseconds{50};
        return out;
    }

    FakeClients clients;
    TableAge age;
    std::shared_ptr<const proxy::FleetView> last;
    std::uint64_t newestTable = 0;
    bool hasGoneBack = false;
    ControlPlane plane;
};

struct World
{
    World(boost::asio::io_context &loop, const base::Clock &clock, telemetry::DecisionLog &log)
        : store(loop)
        , engines(loop, clock)
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
        routers.push_back(std::make_unique<Router>(m_loop, m_clock, store, engines, m_decoder, m_log, id));
    }
    [[nodiscard]] bool isChanged(std::uint64_t version) const
    {
        std::size_t changed = 0;
        for (const auto &[engine, orders] : engines.orders) {
            changed += orders.back().version == version ? 1 : 0;
        }
        return changed == Engines;
    }
    // What breaks a promise, or nothing.
    [[nodiscard]] std::string violation() const
    {
        for (const auto &router : routers) {
            if (router->hasGoneBack) {
                return "a configuration went back";
            }
        }
        for (const auto &[engine, orders] : engines.orders) {
            for (std::size_t i = 1; i < orders.size(); ++i) {
                const GivenOrder &before = orders[i - 1];
                const GivenOrder &after = orders[i];
                if (after.fence < before.fence) {
                    return "an order with a lower fence after a higher one";
                }
                if (after.holder != before.holder && (after.at - before.at < LeaseTime || after.fence == before.fence)) {
                    return "two holders took turns within the lease time";
                }
            }
        }
        return {};
    }

    FakeStore store;
    FakeEngines engines;
    std::vector<std::unique_ptr<Router>> routers;

private:
    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    telemetry::DecisionLog &m_log;
    WordDecoder m_decoder;
};

} // namespace

class ControlPlaneTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlPlaneTest);
    CPPUNIT_TEST(testEveryFaultAtEveryCall);
    CPPUNIT_TEST(testHolderIsCutOff);
    CPPUNIT_TEST(testNewHolderOrdersNothingBeforeItHasReadTheList);
    CPPUNIT_TEST(testHolderStops);
    CPPUNIT_TEST(testOutage);
    CPPUNIT_TEST(testLongListOfABusyStore);
    CPPUNIT_TEST(testGoneRouterIsForgotten);
    CPPUNIT_TEST(testRouterThatWasForgottenComesBack);
    CPPUNIT_TEST_SUITE_END();

    base::SteadyClock m_clock;
    NullLog m_log;
    std::vector<std::unique_ptr<World>> m_worlds;
    std::unique_ptr<boost::asio::io_context> m_loop = std::make_unique<boost::asio::io_context>(1); // its coroutines end before the worlds do

    // Ends all worlds.
    void startAfresh()
    {
        m_loop.reset();
        m_worlds.clear();
        m_loop = std::make_unique<boost::asio::io_context>(1);
    }

    World &addWorld()
    {
        m_worlds.push_back(std::make_unique<World>(*m_loop, m_clock, m_log.log));
        return *m_worlds.back();
    }
    World &addWorldOfTwo()
    {
        World &world = addWorld();
        world.addRouter("a");
        world.addRouter("b");
        return world;
    }
    // Names new weights; returns the router that gives the first order.
    std::string firstHolder(World &world)
    {
        world.store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil(
            [&world] {
                return !world.engines.orders.empty();
            },
            base::seconds{5}));
        return world.engines.orders.begin()->second.front().holder;
    }
    template <typename Condition>
    bool runUntil(Condition condition, base::Duration limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_loop->run_for(std::chrono::milliseconds{5});
        }
        return condition();
    }
    bool allWorlds(const std::function<bool(const World &)> &isTrue) const
    {
        return std::all_of(m_worlds.begin(), m_worlds.end(), [&isTrue](const auto &world) {
            return isTrue(*world);
        });
    }
    void assertNoViolation()
    {
        for (const auto &world : m_worlds) {
            const std::string violation = world->violation();
            CPPUNIT_ASSERT_MESSAGE(violation + " (fault " + std::to_string(static_cast<int>(world->store.fault)) + " at call "
                                       + std::to_string(world->store.faultAt) + ")",
                                   violation.empty());
        }
    }
    static bool hasTable(const World &world, std::uint64_t version)
    {
        return std::all_of(world.routers.begin(), world.routers.end(), [version](const auto &router) {
            return router->last && router->newestTable == version;
        });
    }

public:
    // The calls of a start, of taking the lease, of a rollout and of a new configuration.
    // A few worlds at a time: on a loop that can't keep up no lease is ever renewed in time.
    void testEveryFaultAtEveryCall()
    {
        constexpr int Calls = 30;
        constexpr int CallsAtOnce = 6;
        for (const CallFault fault : AllCallFaults) {
            for (int first = 1; first <= Calls; first += CallsAtOnce) {
                startAfresh();
                for (int call = first; call < first + CallsAtOnce; ++call) {
                    World &world = addWorld();
                    world.store.fault = fault;
                    world.store.faultAt = call;
                    world.addRouter("a");
                    world.addRouter("b");
                }
                changeEverything();
            }
        }
    }

    // New weights and a new configuration reach all routers and engines of all worlds.
    void changeEverything()
    {
        CPPUNIT_ASSERT(runUntil(
            [this] {
                return allWorlds([](const World &world) {
                    return hasTable(world, 1);
                });
            },
            base::seconds{10}));
        for (const auto &world : m_worlds) {
            world->store.put(ObjectKind::Weights, "m", "m 2");
            world->store.put(ObjectKind::Tables, "main", "2");
        }
        CPPUNIT_ASSERT(runUntil(
            [this] {
                return allWorlds([](const World &world) {
                    return hasTable(world, 2) && world.isChanged(2);
                });
            },
            base::seconds{20}));
        assertNoViolation();
    }

    void testHolderIsCutOff()
    {
        World &world = addWorldOfTwo();
        const std::string holder = firstHolder(world);
        world.routers[holder == "a" ? 0 : 1]->clients.isCut = true;
        world.store.put(ObjectKind::Weights, "m", "m 3");
        CPPUNIT_ASSERT(runUntil(
            [&world] {
                return world.isChanged(3);
            },
            base::seconds{10}));
        for (const auto &[engine, orders] : world.engines.orders) {
            CPPUNIT_ASSERT(orders.back().holder != holder);
        }
        assertNoViolation();
    }

    // Without the list a new holder can't know which engines its predecessor has ordered.
    void testNewHolderOrdersNothingBeforeItHasReadTheList()
    {
        World &world = addWorldOfTwo();
        const std::string holder = firstHolder(world);
        world.store.areDutyReadsRefused = true;
        world.routers[holder == "a" ? 0 : 1]->clients.isCut = true;
        world.store.put(ObjectKind::Weights, "m", "m 3");
        m_loop->run_for(std::chrono::milliseconds{1000});
        for (const auto &[engine, orders] : world.engines.orders) {
            CPPUNIT_ASSERT(orders.back().holder == holder);
        }
        world.store.areDutyReadsRefused = false;
        CPPUNIT_ASSERT(runUntil(
            [&world] {
                return world.isChanged(3);
            },
            base::seconds{10}));
        assertNoViolation();
    }

    // A holder that stops releases the lease: the other one takes it at once.
    void testHolderStops()
    {
        World &world = addWorldOfTwo();
        CPPUNIT_ASSERT(runUntil(
            [&world] {
                return !world.store.objects(ObjectKind::Leases).empty();
            },
            base::seconds{5}));
        const std::string first = world.store.objects(ObjectKind::Leases).begin()->second.text.substr(0, 1);
        world.routers[first == "a" ? 0 : 1]->plane.beginStop();
        CPPUNIT_ASSERT(runUntil(
            [&world, &first] {
                const std::string &text = world.store.objects(ObjectKind::Leases).begin()->second.text;
                return text.substr(0, 1) != first && text != fleet::encodeReleasedLease();
            },
            base::seconds{5}));
        world.store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil(
            [&world] {
                return world.isChanged(2);
            },
            base::seconds{5}));
        assertNoViolation();
    }

    // Everything that was changed while the store was down is known soon after its return.
    void testOutage()
    {
        World &world = addWorldOfTwo();
        CPPUNIT_ASSERT(runUntil(
            [&world] {
                return hasTable(world, 1);
            },
            base::seconds{5}));
        world.store.isDown = true;
        m_loop->run_for(std::chrono::milliseconds{400});
        CPPUNIT_ASSERT_MESSAGE("the age tells of the outage", world.routers[0]->age.age() > base::milliseconds{250});
        world.store.put(ObjectKind::Tables, "main", "2");
        world.store.put(ObjectKind::Weights, "m", "m 2");
        world.store.isDown = false;
        CPPUNIT_ASSERT(runUntil(
            [&world] {
                return hasTable(world, 2) && world.isChanged(2) && world.routers[0]->age.age() < base::milliseconds{200};
            },
            base::seconds{5}));
        assertNoViolation();
    }

    // Twenty pages from a store that refuses every third call, as when many routers start together.
    void testLongListOfABusyStore()
    {
        constexpr int Upstreams = 40;
        World &world = addWorld();
        for (int i = 0; i < Upstreams; ++i) {
            world.store.put(ObjectKind::Upstreams, "u" + std::to_string(100 + i), "p ready 1 1");
        }
        world.store.pageSize = 2;
        world.store.refusedListEvery = 3;
        world.addRouter("a");
        const auto knowsAll = [&world] {
            return world.routers[0]->last && world.routers[0]->last->upstreams.size() == Upstreams + Engines;
        };
        CPPUNIT_ASSERT(runUntil(knowsAll, base::seconds{5}));
    }

    void testGoneRouterIsForgotten()
    {
        World &world = addWorld();
        const base::Endpoint gone{"10.0.0.9", 7};
        world.store.put(ObjectKind::Duties, "router.gone", encodeRouter(gone));
        world.addRouter("a");
        world.addRouter("b");
        const auto seesRouters = [&world](std::uint32_t routers) {
            return std::all_of(world.routers.begin(), world.routers.end(), [routers](const auto &router) {
                return router->last && router->last->routers == routers;
            });
        };
        CPPUNIT_ASSERT(runUntil(
            [&seesRouters] {
                return seesRouters(3);
            },
            base::seconds{5}));
        // Both find out; the second one's removal meets nothing.
        world.routers[0]->plane.onRouterUnreachable(gone);
        world.routers[1]->plane.onRouterUnreachable(gone);
        world.routers[1]->plane.onRouterUnreachable(base::Endpoint{"10.0.0.8", 7});
        CPPUNIT_ASSERT(runUntil(
            [&seesRouters] {
                return seesRouters(2);
            },
            base::seconds{5}));
        CPPUNIT_ASSERT(!world.store.objects(ObjectKind::Duties).contains("router.gone"));
    }

    // A router that was cut off from the others for long, but not from the store.
    void testRouterThatWasForgottenComesBack()
    {
        World &world = addWorldOfTwo();
        const auto isRegistered = [&world] {
            return world.store.objects(ObjectKind::Duties).contains("router.a") && world.routers[0]->last && world.routers[0]->last->routers == 2;
        };
        CPPUNIT_ASSERT(runUntil(isRegistered, base::seconds{5}));
        const StoredObject object = world.store.objects(ObjectKind::Duties).at("router.a");
        FakeClient client(world.store, world.routers[1]->clients.isCut);
        bool isRemoved = false;
        boost::asio::co_spawn(
            *m_loop,
            [&client, &object, &isRemoved]() -> Awaitable<void> {
                isRemoved = (co_await client.remove(ObjectKind::Duties, object.name, object.revision)).has_value();
            },
            boost::asio::detached);
        CPPUNIT_ASSERT(runUntil(
            [&world, &isRemoved] {
                return isRemoved && world.routers[1]->last->routers == 1;
            },
            base::seconds{5}));
        CPPUNIT_ASSERT(runUntil(isRegistered, base::seconds{5}));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ControlPlaneTest);

} // namespace carawaylatch::gateway::testing
