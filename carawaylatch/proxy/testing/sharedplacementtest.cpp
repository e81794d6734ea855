// Tests of placement with the load reports of other routers.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>

#include "carawaylatch/proxy/kvtransfer.h"
#include "carawaylatch/proxy/placement.h"
#include "carawaylatch/proxy/upstreamtracker.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};

} // namespace

// Two routers in front of four engines of one model and one plain service.
class SharedPlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedPlacementTest);
    CPPUNIT_TEST(testLoadAtAnotherRouterIsAvoided);
    CPPUNIT_TEST(testPrefixPlacedByAnotherRouterIsUsed);
    CPPUNIT_TEST(testMemoryUsedByOtherRoutersIsCounted);
    CPPUNIT_TEST(testServiceSlotsAreSharedByRouters);
    CPPUNIT_TEST(testEstimateWithoutReports);
    CPPUNIT_TEST(testBurstSpreadsEvenly);
    CPPUNIT_TEST(testChangesAreReportedOnce);
    CPPUNIT_TEST(testRemovedUpstreamIsReportedBeforeItsRecordIsDropped);
    CPPUNIT_TEST(testLeavingUpstreamIsReported);
    CPPUNIT_TEST(testPausedUpstreamsResumeSlowly);
    CPPUNIT_TEST(testSoftwareLimitsTheChoice);
    CPPUNIT_TEST(testPrefixesStaySpreadWithinASoftware);
    CPPUNIT_TEST(testPauseOfOtherSoftwareDoesNotCount);
    CPPUNIT_TEST(testLoadOfRoutersThatDoNotReportHere);
    CPPUNIT_TEST_SUITE_END();

    FleetView m_view;
    UpstreamTracker m_trackers[2];
    PlacementTuning m_tuning;

    PlacementQuery query(std::uint64_t prompt)
    {
        PlacementQuery out;
        out.now = Start;
        out.pool = base::PoolName("engines");
        out.model = base::ModelId("m");
        out.prefixKey = prompt;
        out.sharedTokens = prompt != 0 ? 6000 : 0;
        out.memoryTokens = 9100;
        out.domain = base::FailureDomain("a");
        return out;
    }
    // e1 and e2 run v1, the others v2.
    void useTwoVersions()
    {
        for (Upstream &upstream : m_view.upstreams) {
            upstream.software = base::SoftwareVersion(upstream.id.value() <= "e2" ? "v1" : "v2");
        }
        for (UpstreamTracker &tracker : m_trackers) {
            tracker.adopt(m_view, Start);
        }
    }
    PlacementQuery boundQuery(std::uint64_t prompt, const SoftwareSet &software)
    {
        PlacementQuery out = query(prompt);
        out.software = &software;
        return out;
    }
    UpstreamRecord *placeAt(int router, const PlacementQuery &query)
    {
        return place(query, m_view, m_trackers[router], m_tuning).record;
    }
    // Delivers the changes of router `from` since the last call to the other router.
    void report(int from)
    {
        LoadReport changes = m_trackers[from].takeChanges();
        changes.sender = static_cast<std::uint64_t>(from) + 1;
        changes.incarnation = 1;
        CPPUNIT_ASSERT(m_trackers[1 - from].applyReport(changes, Start));
    }

public:
    void setUp() override
    {
        auto table = std::make_shared<RouteTable>();
        table->pools.push_back(Pool{base::PoolName("engines"), 100, EngineCapacity{50'000, 64}});
        table->pools.push_back(Pool{base::PoolName("services"), 100, std::nullopt});
        m_view = FleetView{};
        m_view.table = table;
        m_view.routers = 2;
        for (const char *id : {"e1", "e2", "e3", "e4", "s1"}) {
            Upstream upstream;
            upstream.id = base::UpstreamId(id);
            upstream.pool = base::PoolName(*id == 'e' ? "engines" : "services");
            upstream.domain = base::FailureDomain("a");
            upstream.endpoint = base::Endpoint{"127.0.0.1", 1};
            upstream.slots = *id == 'e' ? 64 : 4;
            if (*id == 'e') {
                upstream.models[base::ModelId("m")] = base::WeightsVersion{1};
            }
            m_view.upstreams.push_back(upstream);
        }
        for (int router = 0; router < 2; ++router) {
            m_trackers[router] = UpstreamTracker{};
            m_trackers[router].adopt(m_view, Start);
            LoadReport full;
            full.sender = static_cast<std::uint64_t>(1 - router) + 1;
            full.incarnation = 1;
            full.isFullReport = true;
            CPPUNIT_ASSERT(m_trackers[router].applyReport(full, Start));
        }
    }

    void testLoadAtAnotherRouterIsAvoided()
    {
        UpstreamRecord *owner = placeAt(0, query(3));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("both routers choose the same owner", owner->upstream.id, placeAt(1, query(3))->upstream.id);
        m_trackers[0].onAttemptStarted(*owner, AttemptLoad{9100, 30'000}, Start);
        report(0);
        CPPUNIT_ASSERT(owner->upstream.id != placeAt(1, query(3))->upstream.id);
    }

    void testPrefixPlacedByAnotherRouterIsUsed()
    {
        const base::UpstreamId owner = placeAt(0, query(3))->upstream.id;
        const base::UpstreamId other(owner.value() == "e1" ? "e2" : "e1");
        m_trackers[0].onPromptSent(kvCacheKey(3, base::WeightsVersion{1}), *m_trackers[0].find(other), Start);
        report(0);
        CPPUNIT_ASSERT_EQUAL(other, placeAt(1, query(3))->upstream.id);
    }

    void testMemoryUsedByOtherRoutersIsCounted()
    {
        for (const char *id : {"e1", "e2", "e3", "e4"}) {
            m_trackers[0].onAttemptStarted(*m_trackers[0].find(base::UpstreamId(id)), AttemptLoad{36'000, 0}, Start);
        }
        CPPUNIT_ASSERT(placeAt(1, query(0)) != nullptr);
        report(0);
        CPPUNIT_ASSERT_MESSAGE("36,000 and 9,100 are more than 90% of 50,000", placeAt(1, query(0)) == nullptr);
    }

    void testServiceSlotsAreSharedByRouters()
    {
        PlacementQuery call;
        call.now = Start;
        call.pool = base::PoolName("services");
        int placed = 0;
        for (; placed < 100; ++placed) {
            UpstreamRecord *record = placeAt(placed % 2, call);
            if (record == nullptr) {
                break;
            }
            m_trackers[placed % 2].onAttemptStarted(*record, {}, Start);
            report(placed % 2);
        }
        CPPUNIT_ASSERT_EQUAL(4 * static_cast<int>(m_tuning.serviceQueueFactor), placed);
    }

    // Without reports, a router assumes that every router has the same load as itself.
    void testEstimateWithoutReports()
    {
        m_view.routers = 4;
        UpstreamRecord &record = *m_trackers[0].find(base::UpstreamId("e1"));
        m_trackers[0].onAttemptStarted(record, AttemptLoad{9000, 5000}, Start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4 * 5000, m_trackers[0].totalLoad(record, 4, Start).prefillTokens, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9000, m_trackers[0].totalLoad(record, 4, Start).memoryTokens, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, m_trackers[0].totalLoad(record, 2, Start).prefillTokens, 0.1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_trackers[0].removeSilentPeers(Start + base::seconds{2}));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * 5000, m_trackers[0].totalLoad(record, 2, Start).prefillTokens, 0.1);
    }

    // A burst of prompts without shared prefixes, sent to both routers in turn.
    void testBurstSpreadsEvenly()
    {
        std::map<base::UpstreamId, int> prompts;
        for (int i = 0; i < 16; ++i) {
            UpstreamRecord *record = placeAt(i % 2, query(0));
            CPPUNIT_ASSERT(record != nullptr);
            m_trackers[i % 2].onAttemptStarted(*record, AttemptLoad{9100, 9000}, Start);
            report(i % 2);
            ++prompts[record->upstream.id];
        }
        for (const auto &[id, n] : prompts) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id.value(), 4, n);
        }
    }

    void testChangesAreReportedOnce()
    {
        UpstreamRecord &record = *m_trackers[0].find(base::UpstreamId("e1"));
        m_trackers[0].onAttemptStarted(record, AttemptLoad{9000, 5000}, Start);
        m_trackers[0].onFirstOutput(record, AttemptLoad{9000, 5000});
        m_trackers[0].onPromptSent(7, record, Start);
        m_trackers[0].onPromptSent(7, record, Start);
        const LoadReport changes = m_trackers[0].takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.loads.size());
        CPPUNIT_ASSERT_EQUAL(1U, changes.loads[0].requests);
        CPPUNIT_ASSERT_EQUAL(0U, changes.loads[0].prefillTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.placements.size());
        CPPUNIT_ASSERT(m_trackers[0].takeChanges().loads.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_trackers[0].fullReport().loads.size());
    }

    void testRemovedUpstreamIsReportedBeforeItsRecordIsDropped()
    {
        UpstreamRecord &record = *m_trackers[0].find(base::UpstreamId("e1"));
        m_trackers[0].onAttemptStarted(record, AttemptLoad{9000, 5000}, Start);
        report(0);
        m_trackers[0].onAttemptEnded(record, AttemptLoad{9000, 5000}, false, AttemptEnd::Broken, Start);
        m_view.upstreams.erase(m_view.upstreams.begin());
        m_trackers[0].adopt(m_view, Start);
        const LoadReport changes = m_trackers[0].takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.loads.size());
        CPPUNIT_ASSERT_EQUAL(0U, changes.loads[0].requests);
        m_trackers[0].adopt(m_view, Start);
        CPPUNIT_ASSERT(m_trackers[0].find(base::UpstreamId("e1")) == nullptr);
    }

    // Known by one router's answer, it is used by none, also if the others list it only later, until it starts again.
    void testLeavingUpstreamIsReported()
    {
        UpstreamRecord &record = *m_trackers[0].find(base::UpstreamId("e1"));
        CPPUNIT_ASSERT(m_trackers[0].onLeaving(record, Start));
        CPPUNIT_ASSERT(!m_trackers[0].onLeaving(record, Start));
        const auto notices = m_trackers[0].takeLeaving();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices.size());
        CPPUNIT_ASSERT(m_trackers[0].takeLeaving().empty());
        CPPUNIT_ASSERT(m_trackers[0].leaving() == notices);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_trackers[1].applyLeaving(notices, Start).size());
        CPPUNIT_ASSERT(m_trackers[1].applyLeaving(notices, Start).empty());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("passed on", std::size_t{1}, m_trackers[1].takeLeaving().size());
        UpstreamTracker later;
        CPPUNIT_ASSERT(later.applyLeaving(notices, Start).empty());
        later.adopt(m_view, Start);
        for (UpstreamTracker *tracker : {&m_trackers[0], &m_trackers[1], &later}) {
            CPPUNIT_ASSERT(!tracker->find(base::UpstreamId("e1"))->takesRequests(Start));
            CPPUNIT_ASSERT(tracker->find(base::UpstreamId("e2"))->takesRequests(Start));
            m_view.upstreams.front().startTimeMs = 0;
            tracker->adopt(m_view, Start);
            CPPUNIT_ASSERT_MESSAGE("the same incarnation", !tracker->find(base::UpstreamId("e1"))->takesRequests(Start));
            m_view.upstreams.front().startTimeMs = 5;
            tracker->adopt(m_view, Start);
            CPPUNIT_ASSERT(tracker->find(base::UpstreamId("e1"))->takesRequests(Start));
            CPPUNIT_ASSERT_MESSAGE("a late notice", tracker->applyLeaving(notices, Start).empty());
            CPPUNIT_ASSERT(tracker->find(base::UpstreamId("e1"))->takesRequests(Start));
        }
    }

    // Load: a third of the upstreams ask for pauses in turn. They get nothing during a pause, and few requests at first after it.
    void testPausedUpstreamsResumeSlowly()
    {
        UpstreamRecord &record = *m_trackers[0].find(base::UpstreamId("e1"));
        const base::PoolName pool = record.upstream.pool;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("never paused, right after the clock's start", 1.0, record.resumedShare(base::TimePoint{} + base::milliseconds{1}));
        m_trackers[0].onPause(record, base::seconds{2}, base::milliseconds{100}, Start);
        m_trackers[0].onPause(record, base::seconds{1}, base::milliseconds{0}, Start); // a shorter one changes nothing
        const base::TimePoint end = Start + base::milliseconds{2100};
        CPPUNIT_ASSERT(!record.takesRequests(end - base::milliseconds{1}));
        CPPUNIT_ASSERT(record.takesRequests(end));
        CPPUNIT_ASSERT(record.resumedShare(end) < 0.1 && record.resumedShare(end + base::seconds{1}) >= 1);
        CPPUNIT_ASSERT_MESSAGE("others take requests", !m_trackers[0].nextRequest(pool, {}, nullptr, Start));
        for (UpstreamRecord *other : m_trackers[0].members(pool)) {
            if (other != &record) {
                m_trackers[0].onPause(*other, base::seconds{3}, {}, Start);
            }
        }
        CPPUNIT_ASSERT(m_trackers[0].nextRequest(pool, {}, nullptr, Start)->at == end);
        const std::vector<base::UpstreamId> tried{record.upstream.id};
        CPPUNIT_ASSERT(m_trackers[0].nextRequest(pool, tried, nullptr, Start)->at == Start + base::seconds{3});
        CPPUNIT_ASSERT_EQUAL(0.0, record.failureShare);
    }

    void testSoftwareLimitsTheChoice()
    {
        useTwoVersions();
        const SoftwareSet v1{base::SoftwareVersion("v1")};
        const SoftwareSet both{base::SoftwareVersion("v1"), base::SoftwareVersion("v2")};
        const SoftwareSet other{base::SoftwareVersion("v3")};
        for (std::uint64_t prompt = 1; prompt <= 64; ++prompt) {
            CPPUNIT_ASSERT_EQUAL(base::SoftwareVersion("v1"), placeAt(0, boundQuery(prompt, v1))->upstream.software);
            CPPUNIT_ASSERT_EQUAL(placeAt(0, query(prompt)), placeAt(0, boundQuery(prompt, both)));
            CPPUNIT_ASSERT(placeAt(0, boundQuery(prompt, other)) == nullptr);
        }
        for (const char *id : {"e1", "e2"}) {
            m_trackers[0].onLeaving(*m_trackers[0].find(base::UpstreamId(id)), Start);
        }
        CPPUNIT_ASSERT_MESSAGE("only leaving upstreams run it", placeAt(0, boundQuery(1, v1)) == nullptr);
    }

    // All routers choose the same upstream for a prefix that no engine holds, and the one that holds it, as without the limit.
    void testPrefixesStaySpreadWithinASoftware()
    {
        useTwoVersions();
        const SoftwareSet v1{base::SoftwareVersion("v1")};
        std::map<std::string, int> chosen;
        for (std::uint64_t prompt = 1; prompt <= 64; ++prompt) {
            const base::UpstreamId owner = placeAt(0, boundQuery(prompt, v1))->upstream.id;
            CPPUNIT_ASSERT_EQUAL(owner, placeAt(1, boundQuery(prompt, v1))->upstream.id);
            ++chosen[owner.value()];
            const base::UpstreamId other(owner.value() == "e1" ? "e2" : "e1");
            m_trackers[0].onPromptSent(kvCacheKey(prompt, base::WeightsVersion{1}), *m_trackers[0].find(other), Start);
            CPPUNIT_ASSERT_EQUAL(other, placeAt(0, boundQuery(prompt, v1))->upstream.id);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(chosen["e1"]) + " of 64 at e1", chosen["e1"] >= 16 && chosen["e2"] >= 16);
    }

    void testPauseOfOtherSoftwareDoesNotCount()
    {
        useTwoVersions();
        const base::PoolName pool("engines");
        const SoftwareSet v1{base::SoftwareVersion("v1")};
        const SoftwareSet v2{base::SoftwareVersion("v2")};
        for (const char *id : {"e1", "e2"}) {
            m_trackers[0].onPause(*m_trackers[0].find(base::UpstreamId(id)), base::seconds{4}, {}, Start);
        }
        CPPUNIT_ASSERT(m_trackers[0].nextRequest(pool, {}, &v1, Start)->at == Start + base::seconds{4});
        CPPUNIT_ASSERT_MESSAGE("others take requests", !m_trackers[0].nextRequest(pool, {}, &v2, Start));
    }

    // 90 routers see the same engines; most of the load is at routers whose reports this one does not get.
    void testLoadOfRoutersThatDoNotReportHere()
    {
        constexpr std::size_t Routers = 90;
        m_view.routers = Routers;
        for (std::size_t i = 0; i < Routers; ++i) {
            m_view.routerEndpoints.push_back({"10.1.0." + std::to_string(100 + i), 7040});
            m_view.routerKeys.push_back(1000 + i);
        }
        UpstreamTracker &tracker = m_trackers[0];
        tracker = UpstreamTracker(m_view.routerEndpoints[2], m_view.routerKeys[2], 1);
        tracker.adopt(m_view, Start);
        const auto chosen = [&](base::Duration after) {
            PlacementQuery asked = query(0);
            asked.now = Start + after;
            return place(asked, m_view, tracker, m_tuning).record->upstream.id;
        };
        const Arc arc = arcAt(Routers, arcOf(Routers, 2));
        LoadSummary summary;
        summary.sender = m_view.routerKeys[indexOfRank(arc, 0)];
        summary.incarnation = 1;
        summary.isFull = true;
        summary.isFleet = true;
        summary.arc = static_cast<std::uint16_t>(arcOf(Routers, 2));
        summary.arcs = static_cast<std::uint16_t>(arcCount(Routers));
        summary.coveredRouters = Routers;
        for (const char *busy : {"e1", "e2", "e4"}) {
            summary.loads.push_back({tracker.find(base::UpstreamId(busy))->idHash, 12, 40'000, 20'000});
        }
        const std::uint64_t cacheKey = kvCacheKey(7, base::WeightsVersion{1});
        summary.placements.push_back({cacheKey, tracker.find(base::UpstreamId("e4"))->idHash});
        tracker.applySummary(summary, Start);
        CPPUNIT_ASSERT_EQUAL(base::UpstreamId("e3"), chosen({}));
        const UpstreamRecord &e1 = *tracker.find(base::UpstreamId("e1"));
        CPPUNIT_ASSERT_EQUAL(12.0, tracker.totalLoad(e1, Routers, Start).requests);
        CPPUNIT_ASSERT(tracker.placements().isLikelyCached(cacheKey, tracker.find(base::UpstreamId("e4"))->idHash, Start));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("an old summary says nothing of the load now", 0.0, tracker.totalLoad(e1, Routers, Start + base::seconds{1}).requests);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SharedPlacementTest);

} // namespace carawaylatch::proxy::testing
