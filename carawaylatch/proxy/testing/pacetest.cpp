// Tests of placement with the paces that upstreams report.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/loglimiter.h"
#include "carawaylatch/proxy/placement.h"
#include "carawaylatch/proxy/upstreamtracker.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};

// Load of the upstream that becomes fast.
enum class FastUpstream {
    Idle,
    AsOthers,
};

enum class PaceReports {
    None,
    Sent,
};

constexpr std::uint32_t Slots = 64;

base::TimePoint at(int milliseconds)
{
    return Start + base::milliseconds{milliseconds};
}

Upstream upstream(const std::string &id, const std::string &pool, const std::string &domain)
{
    Upstream out;
    out.id = base::UpstreamId(id);
    out.pool = base::PoolName(pool);
    out.domain = base::FailureDomain(domain);
    out.endpoint = base::Endpoint{"127.0.0.1", 1};
    out.slots = Slots;
    if (pool == "engines") {
        out.models[base::ModelId("m")] = base::WeightsVersion{1};
    }
    return out;
}

FleetView fleet()
{
    auto table = std::make_shared<RouteTable>();
    table->pools.push_back(Pool{base::PoolName("engines"), 100, EngineCapacity{1'000'000, Slots}});
    table->pools.push_back(Pool{base::PoolName("services"), 100, std::nullopt});
    FleetView view;
    view.table = table;
    for (const char *id : {"e1", "e2", "e3"}) {
        view.upstreams.push_back(upstream(id, "engines", *(id + 1) == '3' ? "b" : "a"));
    }
    for (const char *id : {"s1", "s2", "s3"}) {
        view.upstreams.push_back(upstream(id, "services", *(id + 1) == '3' ? "b" : "a"));
    }
    return view;
}

PlacementQuery queryFor(const std::string &pool, base::TimePoint now)
{
    PlacementQuery out;
    out.now = now;
    out.pool = base::PoolName(pool);
    out.model = base::ModelId(pool == "engines" ? "m" : "");
    out.domain = base::FailureDomain("a");
    return out;
}

LoadSample sampleOf(std::uint32_t running, std::uint32_t pace)
{
    return {running, 0, Slots, pace};
}

} // namespace

class PaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PaceTest);
    CPPUNIT_TEST(testFactorIsAveragedLimitedAndAges);
    CPPUNIT_TEST(testOldOrFormerFigureHasNoEffect);
    CPPUNIT_TEST(testIdleSlowUpstreamIsAvoided);
    CPPUNIT_TEST(testOnlyTheTimeOfWorkIsMultiplied);
    CPPUNIT_TEST(testWithoutPaceCostsAreAsBefore);
    CPPUNIT_TEST(testHalfSpeedForASecond);
    CPPUNIT_TEST(testManyRoutersDoNotAllChooseTheFastUpstream);
    CPPUNIT_TEST(testLogLimit);
    CPPUNIT_TEST_SUITE_END();

    FleetView m_view = fleet();
    UpstreamTracker m_tracker;
    PlacementTuning m_tuning;

    UpstreamRecord &record(const std::string &id)
    {
        return *m_tracker.find(base::UpstreamId(id));
    }
    std::string placed(const PlacementQuery &query)
    {
        return place(query, m_view, m_tracker, m_tuning).record->upstream.id.value();
    }
    // The cost as it was before upstreams reported paces, written as it was then.
    double formerCost(const PlacementQuery &query, const UpstreamRecord &record, const UpstreamRecord *owner, bool hasCachedPrefix) const
    {
        const TotalLoad load = m_tracker.totalLoad(record, m_view.routers, query.now);
        double cost = record.failureShare * record.failureShare * m_tuning.failureMilliseconds;
        if (record.upstream.domain != query.domain) {
            cost += m_tuning.otherDomainMilliseconds;
        }
        if (record.upstream.pool == base::PoolName("services")) {
            return cost + m_tuning.fullServiceMilliseconds * load.requests / Slots;
        }
        cost += load.prefillTokens * m_tuning.prefillMillisecondsPerToken;
        cost += load.requests * m_tuning.runningRequestMilliseconds;
        if (!hasCachedPrefix) {
            const double ownerShare = owner == &record ? m_tuning.ownerShare : 1.0;
            cost += query.sharedTokens * (m_tuning.prefillMillisecondsPerToken + m_tuning.recomputeMillisecondsPerToken) * ownerShare;
        }
        return cost;
    }
    // Uneven machines: how many of the requests of two seconds each upstream gets. s1 works at half speed from
    // 500 to 1,500 ms; a request takes 20 ms at the usual pace. The first number counts requests during that second.
    std::map<std::string, std::array<int, 2>> playHalfSpeed(PaceReports reports);
    // 90 routers send a request every 12 ms each, of 40 ms at the usual pace. Then s1 has this pace, and is idle or as loaded as the others,
    // which all routers see at the same moment. Returns how many of the 375 requests of the next 50 ms s1 gets.
    int playHerd(FastUpstream fast, std::uint32_t pace, const PaceBounds &bounds);

public:
    void setUp() override
    {
        m_tracker.adopt(m_view, Start);
    }

    void testFactorIsAveragedLimitedAndAges()
    {
        const PaceBounds bounds;
        UpstreamPace pace;
        CPPUNIT_ASSERT_EQUAL(1.0, pace.factor(Start, bounds));
        pace.record(200, Start);
        CPPUNIT_ASSERT_EQUAL(2.0, pace.factor(Start, bounds));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, pace.factor(at(250), bounds), 1e-9);
        pace.record(100, Start); // two responses at once
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, pace.factor(Start, bounds), 1e-9);
        pace.record(100, at(1000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, pace.factor(at(1000), bounds), 1e-3);
        // One wrong figure among many moves the average little; after AveragingTime most of it is the new value.
        for (int i = 0; i < 20; ++i) {
            pace.record(100, at(1000 + 10 * i));
        }
        pace.record(200, at(1200));
        CPPUNIT_ASSERT(pace.factor(at(1200), bounds) < 1.2);
        for (int i = 1; i <= 10; ++i) {
            pace.record(200, at(1200 + 10 * i));
        }
        CPPUNIT_ASSERT(pace.factor(at(1300), bounds) > 1.6);
        const std::vector<std::pair<std::uint32_t, double>> limits{{0, 0.5}, {40, 0.5}, {60, 0.6}, {190, 1.9}, {1000, 2}, {1'000'000'000, 2}};
        for (const auto &[figure, factor] : limits) {
            pace.reset();
            pace.record(figure, Start);
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(std::to_string(figure), factor, pace.factor(Start, bounds), 1e-9);
        }
    }

    void testOldOrFormerFigureHasNoEffect()
    {
        m_tracker.onLoadSample(record("s1"), sampleOf(0, 200), Start);
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), placed(queryFor("services", at(499))));
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), placed(queryFor("services", at(500))));
        m_tracker.onLoadSample(record("s1"), sampleOf(0, 200), at(600));
        m_view.upstreams[3].startTimeMs = 7;
        m_tracker.adopt(m_view, at(600));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("of the incarnation before", std::string("s1"), placed(queryFor("services", at(600))));
    }

    // Without the work of the request itself, idle upstreams would cost the same at every pace.
    void testIdleSlowUpstreamIsAvoided()
    {
        for (const char *id : {"s1", "e1"}) {
            m_tracker.onLoadSample(record(id), sampleOf(0, 200), Start);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), placed(queryFor("services", Start)));
        PlacementQuery prompt = queryFor("engines", Start);
        prompt.ownTokens = 860;
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), placed(prompt));
        m_tracker.onLoadSample(record("s2"), sampleOf(0, 50), Start);
        m_tracker.onAttemptStarted(record("s2"), {}, Start);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one request at a fast service", std::string("s2"), placed(queryFor("services", Start)));
    }

    void testOnlyTheTimeOfWorkIsMultiplied()
    {
        for (const char *id : {"s1", "s2"}) {
            m_tracker.onLoadSample(record(id), sampleOf(0, 150), Start);
        }
        const double slowService = m_tuning.fullServiceMilliseconds * 0.5 / Slots;
        CPPUNIT_ASSERT(slowService < m_tuning.otherDomainMilliseconds);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("not in another failure domain", std::string("s1"), placed(queryFor("services", Start)));
        record("s1").failureShare = 0.5;
        record("s2").failureShare = 0.5;
        record("s3").failureShare = 0.5;
        const double cost = place(queryFor("services", Start), m_view, m_tracker, m_tuning).cost;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25 * m_tuning.failureMilliseconds + slowService, cost, 1e-9);
    }

    // Generated loads without paces: the choice and its cost are those of the former formula, bit for bit. All
    // numbers are sums of powers of two, so that processors that fuse a product and a sum give the same result.
    void testWithoutPaceCostsAreAsBefore()
    {
        m_tuning.prefillMillisecondsPerToken = 0.0234375;
        m_tuning.recomputeMillisecondsPerToken = 0.0625;
        m_tuning.ownerShare = 0.3125;
        base::Random random(carawaylatch::testing::seed());
        base::TimePoint now = Start;
        for (int i = 0; i < 4000; ++i) {
            now += base::milliseconds{static_cast<int>(random.below(40))};
            const std::string pool = random.below(2) == 0 ? "engines" : "services";
            UpstreamRecord &any = *m_tracker.members(base::PoolName(pool))[random.below(3)];
            any.failureShare = static_cast<double>(random.below(3)) / 8;
            m_tracker.onLoadSample(any, {static_cast<std::uint32_t>(random.below(12)), 0, Slots, std::nullopt}, now);
            PlacementQuery query = queryFor(pool, now);
            query.prefixKey = pool == "engines" ? random.below(4) : 0;
            query.sharedTokens = query.prefixKey != 0 ? 6000 : 0;
            query.ownTokens = static_cast<std::uint32_t>(random.below(50'000));
            const PlacementResult result = place(query, m_view, m_tracker, m_tuning);
            if (result.verdict != PlacementVerdict::Chosen) {
                continue;
            }
            const auto &members = m_tracker.members(query.pool);
            const auto *owner = *std::max_element(members.begin(), members.end(), [&query](const auto *left, const auto *right) {
                return base::rendezvousWeight(query.prefixKey, left->upstream.id.value()) < base::rendezvousWeight(query.prefixKey, right->upstream.id.value());
            });
            CPPUNIT_ASSERT_EQUAL(formerCost(query, *result.record, owner, query.prefixKey == 0), result.cost);
            for (const UpstreamRecord *other : members) {
                const bool hasRoom = m_tracker.totalLoad(*other, 1, now).requests < (pool == "engines" ? Slots : Slots * 2);
                CPPUNIT_ASSERT(!hasRoom || result.cost <= formerCost(query, *other, owner, query.prefixKey == 0));
            }
            if (random.below(3) != 0) {
                m_tracker.onAttemptStarted(*result.record, AttemptLoad{0, random.below(9) * 1024}, now);
            } else if (any.inflight > 0) {
                m_tracker.onAttemptEnded(any, AttemptLoad{0, 0}, true, AttemptEnd::Answered, now);
            }
        }
    }

    void testHalfSpeedForASecond()
    {
        const auto without = playHalfSpeed(PaceReports::None);
        const auto with = playHalfSpeed(PaceReports::Sent);
        const std::string counts =
            "s1 got " + std::to_string(without.at("s1")[0]) + " requests in its slow second without paces, " + std::to_string(with.at("s1")[0]) + " with them";
        std::cout << ' ' << counts;
        CPPUNIT_ASSERT_MESSAGE(counts, with.at("s1")[0] * 4 < without.at("s1")[0] * 3);
        CPPUNIT_ASSERT_MESSAGE("it is still used", with.at("s1")[0] > 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE("as much as before once it is as fast as the others", without.at("s1")[1], with.at("s1")[1],
                                             without.at("s1")[1] * 0.25);
    }

    void testManyRoutersDoNotAllChooseTheFastUpstream()
    {
        for (const FastUpstream fast : {FastUpstream::Idle, FastUpstream::AsOthers}) {
            const int usual = playHerd(fast, 100, {});
            const int limited = playHerd(fast, 25, {});
            const int unlimited = playHerd(fast, 25, {0, 1000});
            const std::string counts = std::to_string(limited) + " of 375 at the fast upstream, " + std::to_string(unlimited) + " without the limit, "
                                       + std::to_string(usual) + " at the usual pace;";
            std::cout << (fast == FastUpstream::Idle ? " idle: " : " as loaded as the others: ") << counts;
            CPPUNIT_ASSERT_MESSAGE(counts, limited <= 375 * 3 / 4 && limited <= unlimited);
        }
    }

    void testLogLimit()
    {
        LogLimiter limiter;
        CPPUNIT_ASSERT(limiter.mayLog(1, Start));
        CPPUNIT_ASSERT(!limiter.mayLog(1, Start + base::seconds{59}));
        CPPUNIT_ASSERT(limiter.mayLog(2, Start + base::seconds{59}));
        CPPUNIT_ASSERT(limiter.mayLog(1, Start + base::seconds{60}));
        for (std::uint64_t subject = 3; subject <= LogLimiter::MaxSubjects; ++subject) {
            CPPUNIT_ASSERT(limiter.mayLog(subject, Start + base::seconds{60}));
        }
        CPPUNIT_ASSERT_MESSAGE("the table is full", !limiter.mayLog(LogLimiter::MaxSubjects + 1, Start + base::seconds{61}));
        CPPUNIT_ASSERT(limiter.mayLog(LogLimiter::MaxSubjects + 1, Start + base::seconds{119}));
    }
};

std::map<std::string, std::array<int, 2>> PaceTest::playHalfSpeed(PaceReports reports)
{
    struct Running
    {
        std::string id;
        int end = 0;
    };
    m_tracker = UpstreamTracker{};
    m_tracker.adopt(m_view, Start);
    std::map<std::string, std::array<int, 2>> counts{{"s1", {}}, {"s2", {}}, {"s3", {}}};
    std::vector<Running> running;
    for (int ms = 0; ms < 2500; ++ms) {
        const bool isSlow = ms >= 500 && ms < 1500;
        std::erase_if(running, [&](const Running &it) {
            if (it.end > ms) {
                return false;
            }
            UpstreamRecord &from = record(it.id);
            m_tracker.onBytesReceived(from, at(ms));
            LoadSample sample = sampleOf(from.inflight, isSlow && it.id == "s1" ? 200 : 100);
            if (reports == PaceReports::None) {
                sample.pace.reset();
            }
            m_tracker.onLoadSample(from, sample, at(ms));
            m_tracker.onAttemptEnded(from, {}, true, AttemptEnd::Answered, at(ms));
            return true;
        });
        for (int i = 0; i < 1 + ms % 2; ++i) { // 1,500 requests a second, each of 20 ms
            const std::string id = placed(queryFor("services", at(ms)));
            m_tracker.onAttemptStarted(record(id), {}, at(ms));
            running.push_back({id, ms + (isSlow && id == "s1" ? 40 : 20)});
            if (isSlow || ms >= 1600) {
                ++counts[id][isSlow ? 0 : 1];
            }
        }
    }
    return counts;
}

int PaceTest::playHerd(FastUpstream fast, std::uint32_t pace, const PaceBounds &bounds)
{
    constexpr std::uint32_t Routers = 90;
    constexpr int Interval = 12; // milliseconds between the requests of one router
    struct Running
    {
        std::uint32_t router = 0;
        std::string id;
        int end = 0;
    };
    PlacementTuning tuning;
    tuning.pace = bounds;
    for (Upstream &it : m_view.upstreams) {
        it.slots = 4 * Slots;
        it.domain = base::FailureDomain("a");
    }
    m_view.routers = Routers; // fewer than half of the others report, so their requests are known from samples only
    std::vector<UpstreamTracker> trackers(Routers);
    for (UpstreamTracker &tracker : trackers) {
        tracker.adopt(m_view, at(-200));
    }
    std::map<std::string, std::uint32_t> loads;
    std::vector<Running> running;
    int chosen = 0;
    for (int ms = -200; ms < 50; ++ms) {
        const std::uint32_t paceNow = ms < 0 ? 100 : pace;
        std::erase_if(running, [&](const Running &it) {
            const bool isEnded = it.end <= ms || (ms == 0 && fast == FastUpstream::Idle && it.id == "s1");
            if (isEnded) {
                UpstreamRecord &from = *trackers[it.router].find(base::UpstreamId(it.id));
                trackers[it.router].onBytesReceived(from, at(ms));
                trackers[it.router].onLoadSample(from, sampleOf(loads[it.id], it.id == "s1" ? paceNow : 100), at(ms));
                trackers[it.router].onAttemptEnded(from, {}, true, AttemptEnd::Answered, at(ms));
                --loads[it.id];
            }
            return isEnded;
        });
        for (UpstreamTracker &tracker : trackers) {
            if (ms == 0) {
                tracker.onLoadSample(*tracker.find(base::UpstreamId("s1")), sampleOf(loads["s1"], pace), Start);
            }
        }
        for (std::uint32_t router = static_cast<std::uint32_t>(ms + 1200) % Interval; router < Routers; router += Interval) {
            const PlacementResult result = place(queryFor("services", at(ms)), m_view, trackers[router], tuning);
            const std::string id = result.record->upstream.id.value();
            trackers[router].onAttemptStarted(*result.record, {}, at(ms));
            ++loads[id];
            running.push_back({router, id, ms + static_cast<int>(id == "s1" ? paceNow * 40 / 100 : 40)});
            chosen += ms >= 0 && id == "s1" ? 1 : 0;
        }
    }
    return chosen;
}
CPPUNIT_TEST_SUITE_REGISTRATION(PaceTest);

} // namespace carawaylatch::proxy::testing
