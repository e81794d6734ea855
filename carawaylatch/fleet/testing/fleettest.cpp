// Tests changes of weights over three failure domains in virtual time: load slots,
// capacity limits, fencing, and every fault in every state of an engine's change.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/fleet/fleetdriver.h"
#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/memorystore.h"

namespace carawaylatch::fleet::testing
{

using base::ErrorKind;
using store::StoreFault;

namespace
{

constexpr base::Duration Step = base::milliseconds{500};
constexpr base::Duration LoadTime = base::milliseconds{600};
constexpr std::size_t EnginesOfDomain = 3;
constexpr std::uint32_t MaxLoads = 2;
constexpr base::WeightsVersion OldVersion{1};
constexpr base::WeightsVersion NewVersion{2};
const std::string_view Domains[] = {"dakar-a", "dakar-b", "dakar-c"};

enum class OrderFault {
    None,
    NotSent,
    AnswerLost,
    RequestLost,
    Delayed, // the test executes it later
};

struct FakeEngine
{
    EngineReport report;
    base::WeightsVersion loading;
    std::string loadingAdapter;
    base::TimePoint loadedAt;
    base::FencingToken fence;
    bool isReachable = true;
    std::vector<std::pair<base::TimePoint, EngineReport>> history; // earlier reports, for `lag`
};

struct ExecutedOrder
{
    base::TimePoint at;
    base::UpstreamId upstream;
    EngineOrder order;
};

// Simulated engines with a manual clock.
class FakeFleet : public EngineControl
{
public:
    explicit FakeFleet(const base::Clock &clock)
        : m_clock(clock)
    {
    }

    std::map<base::UpstreamId, FakeEngine> engines;
    bool checksFencing = true;
    base::Duration lag{}; // age of reports
    OrderFault fault = OrderFault::None; // for the next order
    std::vector<std::pair<base::UpstreamId, EngineOrder>> delayed;
    std::vector<ExecutedOrder> executedOrders;

    base::Result<void> order(const base::UpstreamId &upstream, const base::Endpoint & /*endpoint*/, const EngineOrder &order) override
    {
        const OrderFault present = std::exchange(fault, OrderFault::None);
        if (present == OrderFault::NotSent || !engines.at(upstream).isReachable) {
            return base::fail(ErrorKind::Unavailable, "not sent");
        }
        if (present == OrderFault::Delayed) {
            delayed.emplace_back(upstream, order);
        }
        if (present == OrderFault::Delayed || present == OrderFault::RequestLost) {
            return base::fail(ErrorKind::Unclear, "lost");
        }
        auto result = execute(upstream, order);
        if (present == OrderFault::AnswerLost) {
            return base::fail(ErrorKind::Unclear, "lost");
        }
        return result;
    }

    base::Result<EngineReport> report(const base::UpstreamId &upstream, const base::Endpoint & /*endpoint*/) override
    {
        if (!engines.at(upstream).isReachable) {
            return base::fail(ErrorKind::Unavailable, "down");
        }
        const FakeEngine &engine = engines.at(upstream);
        for (auto it = engine.history.rbegin(); it != engine.history.rend() && lag > base::Duration{}; ++it) {
            if (it->first <= m_clock.now() - lag) {
                EngineReport old = it->second;
                old.age = m_clock.now() - it->first;
                return old;
            }
        }
        return engine.report;
    }

    base::Result<void> execute(const base::UpstreamId &upstream, const EngineOrder &order)
    {
        FakeEngine &engine = engines.at(upstream);
        if (checksFencing && order.fence < engine.fence) {
            return base::fail(ErrorKind::StaleState, "old fencing number");
        }
        engine.fence = order.fence;
        engine.loading = order.weightsVersion;
        engine.loadingAdapter = order.adapter;
        engine.loadedAt = m_clock.now() + (order.kind == EngineOrderKind::LoadWeights ? LoadTime : base::Duration{});
        engine.report.state = EngineState::Loading;
        executedOrders.push_back(ExecutedOrder{m_clock.now(), upstream, order});
        return base::ok();
    }

    void advance()
    {
        for (auto &[id, engine] : engines) {
            engine.history.emplace_back(m_clock.now(), engine.report);
            if (engine.report.state == EngineState::Loading && m_clock.now() >= engine.loadedAt) {
                engine.report.state = EngineState::Live;
                engine.report.weightsVersion = engine.loading;
                engine.report.adapter = engine.loadingAdapter;
            }
        }
    }

    std::size_t count(EngineState state) const
    {
        return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [state](const auto &it) {
            return it.second.report.state == state;
        }));
    }

private:
    const base::Clock &m_clock;
};

enum class ChangeFault {
    None,
    OrderNotSent,
    OrderAnswerLost,
    OrderRequestLost,
    EngineRestartsEmpty,
    EngineDown, // for 20 s
    HolderPaused, // for 40 s; another router takes over
    HolderRestarts,
    PlatformDown, // for 40 s
};
constexpr std::size_t ChangeFaultCount = static_cast<std::size_t>(ChangeFault::PlatformDown) + 1;

// Expected outcome of each fault in one state. c: all engines serve what the pool
// specifies; b: the domain's change is blocked, as the leaving engine alone reaches the
// limit of unavailable engines.
struct ChangeRow
{
    EngineChangeState state;
    std::string_view outcomes;
};
constexpr ChangeRow ChangeRows[] = {
    {EngineChangeState::Unreachable, "ccccccccc"}, //
    {EngineChangeState::UpToDate, "ccccccccc"}, //
    {EngineChangeState::Outdated, "ccccccccc"}, //
    {EngineChangeState::Ordered, "ccccccccc"}, //
    {EngineChangeState::Loading, "ccccccccc"}, //
    {EngineChangeState::Leaving, "bbbbbbbbb"}, //
};
static_assert(std::size(ChangeRows) == EngineChangeStateCount, "a state has no row");

base::UpstreamId engineId(std::size_t domain, std::size_t n)
{
    return base::UpstreamId(std::string(Domains[domain]) + "-" + std::to_string(n));
}

// Three failure domains with one router each, and a spare router in the first domain.
class FleetSimulation
{
public:
    FleetSimulation()
    {
        config::Pool pool;
        pool.name = base::PoolName("contracts");
        pool.weightsVersion = OldVersion;
        pool.maxLoads = MaxLoads;
        pool.fencing = config::OrderFencing::Checked;
        for (std::size_t domain = 0; domain < std::size(Domains); ++domain) {
            for (std::size_t n = 0; n < EnginesOfDomain; ++n) {
                pool.members.push_back(config::PoolMember{engineId(domain, n), {}, base::FailureDomain(Domains[domain])});
                fleet.engines[engineId(domain, n)].report.weightsVersion = OldVersion;
            }
            addRouter(Domains[domain], "router-" + std::to_string(domain));
        }
        addRouter(Domains[0], "spare");
        pools.push_back(std::move(pool));
    }

    void addRouter(std::string_view domain, const std::string &name)
    {
        stores.push_back(std::make_unique<store::FaultyStore>(platform));
        const FleetIdentity identity{base::RouterId(name), base::Incarnation{++incarnation}, base::FailureDomain(domain)};
        drivers.push_back(std::make_unique<FleetDriver>(identity, *stores.back(), fleet, clock));
    }

    void restart(std::size_t router)
    {
        const FleetIdentity identity{base::RouterId("router-0"), base::Incarnation{++incarnation}, base::FailureDomain(Domains[0])};
        drivers[router] = std::make_unique<FleetDriver>(identity, *stores[router], fleet, clock);
    }

    // Runs one step of all routers but the paused one and checks the invariants.
    void step(std::optional<std::size_t> paused = std::nullopt)
    {
        for (std::size_t i = 0; i < drivers.size(); ++i) {
            if (i != paused) {
                drivers[i]->step(pools);
                checkInvariants();
            }
        }
        clock.advance(Step);
        fleet.advance();
    }

    void run(base::Duration duration)
    {
        for (const base::TimePoint end = clock.now() + duration; clock.now() < end;) {
            step();
        }
    }

    void checkInvariants() const
    {
        CPPUNIT_ASSERT_MESSAGE("more concurrent loads than the weight store can serve", fleet.count(EngineState::Loading) <= MaxLoads);
        for (std::size_t domain = 0; domain < std::size(Domains); ++domain) {
            std::size_t loading = 0;
            for (std::size_t n = 0; n < EnginesOfDomain; ++n) {
                const EngineReport &report = fleet.engines.at(engineId(domain, n)).report;
                loading += report.state == EngineState::Loading && report.weightsVersion.value != 0 ? 1 : 0;
            }
            CPPUNIT_ASSERT_MESSAGE("too many unavailable engines in a domain", loading <= 1);
        }
    }

    std::size_t upToDateCount() const
    {
        return static_cast<std::size_t>(std::count_if(fleet.engines.begin(), fleet.engines.end(), [this](const auto &it) {
            return it.second.report.state == EngineState::Live && it.second.report.weightsVersion == pools[0].weightsVersion;
        }));
    }

    base::ManualClock clock;
    store::MemoryStore platform;
    FakeFleet fleet{clock};
    std::vector<config::Pool> pools;
    std::vector<std::unique_ptr<store::FaultyStore>> stores;
    std::vector<std::unique_ptr<FleetDriver>> drivers;
    std::uint64_t incarnation = 0;
};

} // namespace

class FleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(testRollingChange);
    CPPUNIT_TEST(testLaggingReports);
    CPPUNIT_TEST(testEveryFaultInEveryState);
    CPPUNIT_TEST(testFencingRejectsOrderOfPausedHolder);
    CPPUNIT_TEST(testNewHolderWaitsWithoutFencing);
    CPPUNIT_TEST(testUnreachableEngineBlocksChange);
    CPPUNIT_TEST(testSlotOfLostHolderExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRollingChange()
    {
        FleetSimulation simulation;
        simulation.run(base::seconds{5});
        CPPUNIT_ASSERT(simulation.fleet.executedOrders.empty());
        simulation.pools[0].weightsVersion = NewVersion;
        simulation.run(base::seconds{30});
        CPPUNIT_ASSERT_EQUAL(simulation.fleet.engines.size(), simulation.upToDateCount());
        CPPUNIT_ASSERT_EQUAL(simulation.fleet.engines.size(), simulation.fleet.executedOrders.size());
        CPPUNIT_ASSERT(simulation.platform.list("fleet/slots/").value().written.empty());
        simulation.pools[0].adapter = "legal";
        simulation.run(base::seconds{30});
        CPPUNIT_ASSERT_EQUAL(std::string("legal"), simulation.fleet.engines.begin()->second.report.adapter);
        CPPUNIT_ASSERT(simulation.fleet.executedOrders.back().order.kind == EngineOrderKind::LoadAdapter);
    }

    // Reports are older than several loads, so an order's effect is reported late. The order
    // must not be repeated meanwhile.
    void testLaggingReports()
    {
        FleetSimulation simulation;
        simulation.fleet.lag = base::seconds{2};
        simulation.run(base::seconds{5});
        simulation.pools[0].weightsVersion = NewVersion;
        simulation.run(base::minutes{2});
        CPPUNIT_ASSERT_EQUAL(simulation.fleet.engines.size(), simulation.upToDateCount());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("each engine gets one order", simulation.fleet.engines.size(), simulation.fleet.executedOrders.size());
    }

    void testEveryFaultInEveryState()
    {
        for (const ChangeRow &row : ChangeRows) {
            std::string outcomes;
            for (std::size_t fault = 0; fault < ChangeFaultCount; ++fault) {
                outcomes += outcomeOf(row.state, static_cast<ChangeFault>(fault));
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("state " + std::to_string(static_cast<int>(row.state)), std::string(row.outcomes), outcomes);
        }
    }

    // An order of the paused holder is in flight while the spare router acquires the lease.
    void testFencingRejectsOrderOfPausedHolder()
    {
        FleetSimulation simulation;
        delayOrderOfFirstHolder(simulation);
        simulation.pools[0].weightsVersion = base::WeightsVersion{3};
        runUntilSpareHolds(simulation, base::seconds{40});
        CPPUNIT_ASSERT_EQUAL(simulation.fleet.engines.size(), simulation.upToDateCount());
        const auto [upstream, order] = simulation.fleet.delayed.front();
        CPPUNIT_ASSERT(simulation.fleet.execute(upstream, order).error().kind == ErrorKind::StaleState);
    }

    // Engines execute any order, and one of the previous holder may arrive up to
    // maxOrderDelay after the lease has changed hands. The new holder sends no order until
    // then, and afterwards corrects the effect of the late one.
    void testNewHolderWaitsWithoutFencing()
    {
        FleetSimulation simulation;
        simulation.pools[0].fencing = config::OrderFencing::Ignored;
        simulation.fleet.checksFencing = false;
        simulation.run(base::seconds{15});
        delayOrderOfFirstHolder(simulation);
        simulation.pools[0].weightsVersion = base::WeightsVersion{3};
        simulation.fleet.executedOrders.clear();
        while (!simulation.drivers[3]->counters().isHolder) {
            simulation.step(0);
        }
        const base::TimePoint since = simulation.clock.now();
        bool hasArrived = false;
        for (int i = 0; i < 120; ++i) {
            if (!hasArrived && simulation.clock.now() >= since + base::seconds{8}) {
                hasArrived = true;
                CPPUNIT_ASSERT(simulation.fleet.execute(simulation.fleet.delayed.front().first, simulation.fleet.delayed.front().second));
            }
            simulation.step(0);
        }
        for (const ExecutedOrder &it : simulation.fleet.executedOrders) {
            const bool isSuccessors = it.upstream.value().starts_with(Domains[0]) && it.order.weightsVersion == simulation.pools[0].weightsVersion;
            CPPUNIT_ASSERT_MESSAGE("the new holder sent an order before maxOrderDelay had passed", !isSuccessors || it.at >= since - Step + base::seconds{10});
        }
        CPPUNIT_ASSERT_EQUAL(simulation.fleet.engines.size(), simulation.upToDateCount());
    }

    void testUnreachableEngineBlocksChange()
    {
        FleetSimulation simulation;
        simulation.run(base::seconds{2});
        simulation.fleet.engines.at(engineId(0, 2)).isReachable = false;
        simulation.run(base::seconds{20});
        simulation.pools[0].weightsVersion = NewVersion;
        simulation.run(base::seconds{30});
        CPPUNIT_ASSERT_EQUAL(2 * EnginesOfDomain, simulation.upToDateCount());
        CPPUNIT_ASSERT_EQUAL(EnginesOfDomain - 1, simulation.drivers[0]->counters().blockedEngines);
        std::erase_if(simulation.pools[0].members, [](const config::PoolMember &it) {
            return it.id == engineId(0, 2);
        });
        simulation.run(base::seconds{30});
        CPPUNIT_ASSERT_EQUAL(3 * EnginesOfDomain - 1, simulation.upToDateCount());
    }

    void testSlotOfLostHolderExpires()
    {
        store::MemoryStore platform;
        LoadSlots slots(platform, base::minutes{5});
        const base::TimePoint now{base::hours{1}};
        const base::UpstreamId engines[] = {base::UpstreamId("a"), base::UpstreamId("b"), base::UpstreamId("c")};
        CPPUNIT_ASSERT(slots.acquire(now, 2, engines[0]) && slots.acquire(now, 2, engines[1]) && slots.acquire(now, 2, engines[0]));
        CPPUNIT_ASSERT(slots.acquire(now, 2, engines[2]).error().kind == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(slots.release(2, engines[0]) && slots.acquire(now, 2, engines[2]));
        CPPUNIT_ASSERT(!slots.acquire(now + base::minutes{4}, 2, engines[0]));
        CPPUNIT_ASSERT(slots.acquire(now + base::minutes{6}, 2, engines[0]));
    }

private:
    static void delayOrderOfFirstHolder(FleetSimulation &simulation)
    {
        simulation.pools[0].weightsVersion = NewVersion;
        while (simulation.fleet.delayed.empty()) {
            simulation.fleet.fault = OrderFault::Delayed;
            simulation.drivers[0]->step(simulation.pools);
            simulation.fleet.fault = OrderFault::None;
            simulation.clock.advance(Step);
        }
    }

    static void runUntilSpareHolds(FleetSimulation &simulation, base::Duration duration)
    {
        for (const base::TimePoint end = simulation.clock.now() + duration; simulation.clock.now() < end;) {
            simulation.step(0);
        }
        CPPUNIT_ASSERT(simulation.drivers[3]->counters().isHolder);
    }

    static char outcomeOf(EngineChangeState state, ChangeFault fault)
    {
        FleetSimulation simulation;
        const base::UpstreamId engine = engineId(0, state == EngineChangeState::Outdated ? EnginesOfDomain - 1 : 0); // the last engine has to wait
        simulation.run(base::seconds{3});
        if (state == EngineChangeState::Leaving) {
            simulation.fleet.engines.at(engine).report.state = EngineState::Leaving;
        }
        if (state == EngineChangeState::Unreachable) {
            simulation.fleet.engines.at(engine).isReachable = false;
        }
        simulation.pools[0].weightsVersion = state == EngineChangeState::UpToDate ? OldVersion : NewVersion;
        std::optional<base::TimePoint> faultAt;
        for (const base::TimePoint end = simulation.clock.now() + base::minutes{4}; simulation.clock.now() < end;) {
            if (!faultAt && simulation.drivers[0]->changeState(engine) == state) {
                faultAt = simulation.clock.now();
                inject(simulation, fault, engine);
            }
            const bool isPaused = faultAt && fault == ChangeFault::HolderPaused && simulation.clock.now() < *faultAt + base::seconds{40};
            if (faultAt && simulation.clock.now() >= *faultAt + base::seconds{20}) {
                simulation.fleet.engines.at(engine).isReachable = true;
            }
            if (faultAt && simulation.clock.now() >= *faultAt + base::seconds{40}) {
                setPlatform(simulation, StoreFault::None);
                simulation.pools[0].weightsVersion = NewVersion;
            }
            simulation.step(isPaused ? std::optional<std::size_t>(0) : std::nullopt);
        }
        CPPUNIT_ASSERT_MESSAGE("state " + std::to_string(static_cast<int>(state)) + " not reached", faultAt.has_value());
        if (simulation.upToDateCount() == simulation.fleet.engines.size()) {
            return 'c';
        }
        const std::size_t blockedEngines =
            simulation.drivers[0]->counters().blockedEngines + simulation.drivers[3]->counters().blockedEngines; // either of the two may hold the lease
        return simulation.upToDateCount() == simulation.fleet.engines.size() - EnginesOfDomain && blockedEngines > 0 ? 'b' : '-';
    }

    static void setPlatform(FleetSimulation &simulation, StoreFault fault)
    {
        for (const auto &it : simulation.stores) {
            it->inject(fault);
        }
    }

    static void inject(FleetSimulation &simulation, ChangeFault fault, const base::UpstreamId &engine)
    {
        FakeEngine &target = simulation.fleet.engines.at(engine);
        switch (fault) {
        case ChangeFault::OrderNotSent:
            simulation.fleet.fault = OrderFault::NotSent;
            break;
        case ChangeFault::OrderAnswerLost:
            simulation.fleet.fault = OrderFault::AnswerLost;
            break;
        case ChangeFault::OrderRequestLost:
            simulation.fleet.fault = OrderFault::RequestLost;
            break;
        case ChangeFault::EngineRestartsEmpty:
            if (target.report.state != EngineState::Leaving) {
                target.report = EngineReport{};
            }
            break;
        case ChangeFault::EngineDown:
            target.isReachable = false;
            break;
        case ChangeFault::HolderRestarts:
            simulation.restart(0);
            break;
        case ChangeFault::PlatformDown:
            setPlatform(simulation, StoreFault::Down);
            break;
        case ChangeFault::None:
        case ChangeFault::HolderPaused:
            break;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

} // namespace carawaylatch::fleet::testing
