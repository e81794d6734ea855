// Changes of weights over three failure domains in virtual time: slots, capacity,
// fencing, and every fault at every step of an engine's change.
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
    Delayed, // lands when delayedLand() is called
};

struct FakeEngine
{
    EngineReport report;
    base::WeightsVersion loading;
    std::string loadingAdapter;
    base::TimePoint loadedAt;
    base::FenceToken fence;
    bool isReachable = true;
    std::vector<std::pair<base::TimePoint, EngineReport>> history; // kept for lagging reports
};

struct ObeyedOrder
{
    base::TimePoint at;
    base::UpstreamId upstream;
    EngineOrder order;
};

// Engines in memory under a manual clock.
class FakeFleet : public EngineControl
{
public:
    explicit FakeFleet(const base::Clock &clock)
        : m_clock(clock)
    {
    }

    std::map<base::UpstreamId, FakeEngine> engines;
    bool checksFences = true;
    base::Duration lag{}; // of reports
    OrderFault fault = OrderFault::None; // of the next order
    std::vector<std::pair<base::UpstreamId, EngineOrder>> delayed;
    std::vector<ObeyedOrder> journal;

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
        auto result = obey(upstream, order);
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

    base::Result<void> obey(const base::UpstreamId &upstream, const EngineOrder &order)
    {
        FakeEngine &engine = engines.at(upstream);
        if (checksFences && order.fence < engine.fence) {
            return base::fail(ErrorKind::StaleState, "old fencing number");
        }
        engine.fence = order.fence;
        engine.loading = order.weightsVersion;
        engine.loadingAdapter = order.adapter;
        engine.loadedAt = m_clock.now() + (order.kind == EngineOrderKind::LoadWeights ? LoadTime : base::Duration{});
        engine.report.state = EngineState::Loading;
        journal.push_back(ObeyedOrder{m_clock.now(), upstream, order});
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

// What happens in the end: c all engines serve what the pool asks for, b the
// domain is held back, as the leaving engine is all that may be away.
struct ChangeRow
{
    ChangeStep step;
    std::string_view outcomes;
};
constexpr ChangeRow ChangeRows[] = {
    {ChangeStep::Unreached, "ccccccccc"}, //
    {ChangeStep::Settled, "ccccccccc"}, //
    {ChangeStep::Wanted, "ccccccccc"}, //
    {ChangeStep::Ordered, "ccccccccc"}, //
    {ChangeStep::Loading, "ccccccccc"}, //
    {ChangeStep::Leaving, "bbbbbbbbb"}, //
};
static_assert(std::size(ChangeRows) == ChangeStepCount, "a step has no row");

base::UpstreamId engineId(std::size_t domain, std::size_t n)
{
    return base::UpstreamId(std::string(Domains[domain]) + "-" + std::to_string(n));
}

// Three domains with a router each and a spare router in the first domain.
class FleetBed
{
public:
    FleetBed()
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

    // One step of all routers but the paused one, then the invariants.
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
        CPPUNIT_ASSERT_MESSAGE("more loads at once than the weight store bears", fleet.count(EngineState::Loading) <= MaxLoads);
        for (std::size_t domain = 0; domain < std::size(Domains); ++domain) {
            std::size_t loading = 0;
            for (std::size_t n = 0; n < EnginesOfDomain; ++n) {
                const EngineReport &report = fleet.engines.at(engineId(domain, n)).report;
                loading += report.state == EngineState::Loading && report.weightsVersion.value != 0 ? 1 : 0;
            }
            CPPUNIT_ASSERT_MESSAGE("too many engines of a domain away", loading <= 1);
        }
    }

    std::size_t settled() const
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
    CPPUNIT_TEST(testEveryFaultAtEveryStep);
    CPPUNIT_TEST(testPausedHolderIsFencedOff);
    CPPUNIT_TEST(testSuccessorWaitsWhereFencesAreIgnored);
    CPPUNIT_TEST(testDeadEngineHoldsChangeBack);
    CPPUNIT_TEST(testSlotOfVanishedHolderLapses);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRollingChange()
    {
        FleetBed bed;
        bed.run(base::seconds{5});
        CPPUNIT_ASSERT(bed.fleet.journal.empty());
        bed.pools[0].weightsVersion = NewVersion;
        bed.run(base::seconds{30});
        CPPUNIT_ASSERT_EQUAL(bed.fleet.engines.size(), bed.settled());
        CPPUNIT_ASSERT_EQUAL(bed.fleet.engines.size(), bed.fleet.journal.size());
        CPPUNIT_ASSERT(bed.platform.list("fleet/slots/").value().written.empty());
        bed.pools[0].adapter = "legal";
        bed.run(base::seconds{30});
        CPPUNIT_ASSERT_EQUAL(std::string("legal"), bed.fleet.engines.begin()->second.report.adapter);
        CPPUNIT_ASSERT(bed.fleet.journal.back().order.kind == EngineOrderKind::LoadAdapter);
    }

    // Reports lag by several loads, so that an order's effect is seen late.
    void testLaggingReports()
    {
        FleetBed bed;
        bed.fleet.lag = base::seconds{2};
        bed.run(base::seconds{5});
        bed.pools[0].weightsVersion = NewVersion;
        bed.run(base::minutes{2});
        CPPUNIT_ASSERT_EQUAL(bed.fleet.engines.size(), bed.settled());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("each engine is ordered once", bed.fleet.engines.size(), bed.fleet.journal.size());
    }

    void testEveryFaultAtEveryStep()
    {
        for (const ChangeRow &row : ChangeRows) {
            std::string outcomes;
            for (std::size_t fault = 0; fault < ChangeFaultCount; ++fault) {
                outcomes += outcomeOf(row.step, static_cast<ChangeFault>(fault));
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("step " + std::to_string(static_cast<int>(row.step)), std::string(row.outcomes), outcomes);
        }
    }

    // The old holder's order is on its way while the lease changes hands.
    void testPausedHolderIsFencedOff()
    {
        FleetBed bed;
        delayOrderOfFirstHolder(bed);
        bed.pools[0].weightsVersion = base::WeightsVersion{3};
        passToSpare(bed, base::seconds{40});
        CPPUNIT_ASSERT_EQUAL(bed.fleet.engines.size(), bed.settled());
        const auto [upstream, order] = bed.fleet.delayed.front();
        CPPUNIT_ASSERT(bed.fleet.obey(upstream, order).error().kind == ErrorKind::StaleState);
    }

    // Engines obey any order, so the old one may land up to longestInFlight after
    // the lease changed hands; the successor gives none before, and corrects it.
    void testSuccessorWaitsWhereFencesAreIgnored()
    {
        FleetBed bed;
        bed.pools[0].fencing = config::OrderFencing::Ignored;
        bed.fleet.checksFences = false;
        bed.run(base::seconds{15});
        delayOrderOfFirstHolder(bed);
        bed.pools[0].weightsVersion = base::WeightsVersion{3};
        bed.fleet.journal.clear();
        while (!bed.drivers[3]->counters().isHolder) {
            bed.step(0);
        }
        const base::TimePoint since = bed.clock.now();
        bool hasLanded = false;
        for (int i = 0; i < 120; ++i) {
            if (!hasLanded && bed.clock.now() >= since + base::seconds{8}) {
                hasLanded = true;
                CPPUNIT_ASSERT(bed.fleet.obey(bed.fleet.delayed.front().first, bed.fleet.delayed.front().second));
            }
            bed.step(0);
        }
        for (const ObeyedOrder &it : bed.fleet.journal) {
            const bool isSuccessors = it.upstream.value().starts_with(Domains[0]) && it.order.weightsVersion == bed.pools[0].weightsVersion;
            CPPUNIT_ASSERT_MESSAGE("the successor gave an order before the old one had landed", !isSuccessors || it.at >= since - Step + base::seconds{10});
        }
        CPPUNIT_ASSERT_EQUAL(bed.fleet.engines.size(), bed.settled());
    }

    void testDeadEngineHoldsChangeBack()
    {
        FleetBed bed;
        bed.run(base::seconds{2});
        bed.fleet.engines.at(engineId(0, 2)).isReachable = false;
        bed.run(base::seconds{20});
        bed.pools[0].weightsVersion = NewVersion;
        bed.run(base::seconds{30});
        CPPUNIT_ASSERT_EQUAL(2 * EnginesOfDomain, bed.settled());
        CPPUNIT_ASSERT_EQUAL(EnginesOfDomain - 1, bed.drivers[0]->counters().heldBack);
        std::erase_if(bed.pools[0].members, [](const config::PoolMember &it) {
            return it.id == engineId(0, 2);
        });
        bed.run(base::seconds{30});
        CPPUNIT_ASSERT_EQUAL(3 * EnginesOfDomain - 1, bed.settled());
    }

    void testSlotOfVanishedHolderLapses()
    {
        store::MemoryStore platform;
        LoadSlots slots(platform, base::minutes{5});
        const base::TimePoint now{base::hours{1}};
        const base::UpstreamId engines[] = {base::UpstreamId("a"), base::UpstreamId("b"), base::UpstreamId("c")};
        CPPUNIT_ASSERT(slots.take(now, 2, engines[0]) && slots.take(now, 2, engines[1]) && slots.take(now, 2, engines[0]));
        CPPUNIT_ASSERT(slots.take(now, 2, engines[2]).error().kind == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(slots.release(2, engines[0]) && slots.take(now, 2, engines[2]));
        CPPUNIT_ASSERT(!slots.take(now + base::minutes{4}, 2, engines[0]));
        CPPUNIT_ASSERT(slots.take(now + base::minutes{6}, 2, engines[0]));
    }

private:
    static void delayOrderOfFirstHolder(FleetBed &bed)
    {
        bed.pools[0].weightsVersion = NewVersion;
        while (bed.fleet.delayed.empty()) {
            bed.fleet.fault = OrderFault::Delayed;
            bed.drivers[0]->step(bed.pools);
            bed.fleet.fault = OrderFault::None;
            bed.clock.advance(Step);
        }
    }

    static void passToSpare(FleetBed &bed, base::Duration duration)
    {
        for (const base::TimePoint end = bed.clock.now() + duration; bed.clock.now() < end;) {
            bed.step(0);
        }
        CPPUNIT_ASSERT(bed.drivers[3]->counters().isHolder);
    }

    static char outcomeOf(ChangeStep step, ChangeFault fault)
    {
        FleetBed bed;
        const base::UpstreamId engine = engineId(0, step == ChangeStep::Wanted ? EnginesOfDomain - 1 : 0); // the last one has to wait
        bed.run(base::seconds{3});
        if (step == ChangeStep::Leaving) {
            bed.fleet.engines.at(engine).report.state = EngineState::Leaving;
        }
        if (step == ChangeStep::Unreached) {
            bed.fleet.engines.at(engine).isReachable = false;
        }
        bed.pools[0].weightsVersion = step == ChangeStep::Settled ? OldVersion : NewVersion;
        std::optional<base::TimePoint> faultAt;
        for (const base::TimePoint end = bed.clock.now() + base::minutes{4}; bed.clock.now() < end;) {
            if (!faultAt && bed.drivers[0]->changeStep(engine) == step) {
                faultAt = bed.clock.now();
                inject(bed, fault, engine);
            }
            const bool isPaused = faultAt && fault == ChangeFault::HolderPaused && bed.clock.now() < *faultAt + base::seconds{40};
            if (faultAt && bed.clock.now() >= *faultAt + base::seconds{20}) {
                bed.fleet.engines.at(engine).isReachable = true;
            }
            if (faultAt && bed.clock.now() >= *faultAt + base::seconds{40}) {
                setPlatform(bed, StoreFault::None);
                bed.pools[0].weightsVersion = NewVersion;
            }
            bed.step(isPaused ? std::optional<std::size_t>(0) : std::nullopt);
        }
        CPPUNIT_ASSERT_MESSAGE("step " + std::to_string(static_cast<int>(step)) + " not reached", faultAt.has_value());
        if (bed.settled() == bed.fleet.engines.size()) {
            return 'c';
        }
        const std::size_t heldBack = bed.drivers[0]->counters().heldBack + bed.drivers[3]->counters().heldBack; // either may hold the lease
        return bed.settled() == bed.fleet.engines.size() - EnginesOfDomain && heldBack > 0 ? 'b' : '-';
    }

    static void setPlatform(FleetBed &bed, StoreFault fault)
    {
        for (const auto &it : bed.stores) {
            it->inject(fault);
        }
    }

    static void inject(FleetBed &bed, ChangeFault fault, const base::UpstreamId &engine)
    {
        FakeEngine &target = bed.fleet.engines.at(engine);
        switch (fault) {
        case ChangeFault::OrderNotSent:
            bed.fleet.fault = OrderFault::NotSent;
            break;
        case ChangeFault::OrderAnswerLost:
            bed.fleet.fault = OrderFault::AnswerLost;
            break;
        case ChangeFault::OrderRequestLost:
            bed.fleet.fault = OrderFault::RequestLost;
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
            bed.restart(0);
            break;
        case ChangeFault::PlatformDown:
            setPlatform(bed, StoreFault::Down);
            break;
        case ChangeFault::None:
        case ChangeFault::HolderPaused:
            break;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

} // namespace carawaylatch::fleet::testing
