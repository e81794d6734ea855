// What placement makes of other routers' load reports.
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

// Two routers in front of four engines of one model.
class SharedPlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedPlacementTest);
    CPPUNIT_TEST(testQueueOfAnotherRouterIsAvoided);
    CPPUNIT_TEST(testPromptThatAnotherRouterPlacedIsFound);
    CPPUNIT_TEST(testMemoryOfOthersIsCounted);
    CPPUNIT_TEST(testPlacesOfAServiceAreSharedOut);
    CPPUNIT_TEST(testEstimateWithoutReports);
    CPPUNIT_TEST(testBurstSpreadsEvenly);
    CPPUNIT_TEST(testChangesAreReportedOnce);
    CPPUNIT_TEST(testUpstreamThatIsGoneIsReportedBeforeItIsForgotten);
    CPPUNIT_TEST_SUITE_END();

    FleetView m_view;
    UpstreamBook m_books[2];
    PlacementTuning m_tuning;

    PlacementQuery query(std::uint64_t prompt)
    {
        PlacementQuery out;
        out.now = Start;
        out.pool = base::PoolName("engines");
        out.model = base::ModelId("m");
        out.promptKey = prompt;
        out.sharedTokens = prompt != 0 ? 6000 : 0;
        out.memoryTokens = 9100;
        out.domain = base::FailureDomain("a");
        return out;
    }
    UpstreamRecord *placeAt(int router, const PlacementQuery &query)
    {
        return place(query, m_view, m_books[router], m_tuning).record;
    }
    // What router `from` did since the last call reaches the other one.
    void report(int from)
    {
        LoadReport changes = m_books[from].takeChanges();
        changes.sender = static_cast<std::uint64_t>(from) + 1;
        changes.life = 1;
        CPPUNIT_ASSERT(m_books[1 - from].heardOf(changes, Start));
    }

public:
    void setUp() override
    {
        auto table = std::make_shared<RouteTable>();
        table->pools.push_back(Pool{base::PoolName("engines"), 100, EngineShape{50'000, 64}});
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
            m_books[router] = UpstreamBook{};
            m_books[router].adopt(m_view, Start);
            LoadReport whole;
            whole.sender = static_cast<std::uint64_t>(1 - router) + 1;
            whole.life = 1;
            whole.isWhole = true;
            CPPUNIT_ASSERT(m_books[router].heardOf(whole, Start));
        }
    }

    void testQueueOfAnotherRouterIsAvoided()
    {
        UpstreamRecord *home = placeAt(0, query(3));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("both routers know the same home", home->upstream.id, placeAt(1, query(3))->upstream.id);
        m_books[0].began(*home, AttemptWeight{9100, 30'000}, Start);
        report(0);
        CPPUNIT_ASSERT(home->upstream.id != placeAt(1, query(3))->upstream.id);
    }

    void testPromptThatAnotherRouterPlacedIsFound()
    {
        const base::UpstreamId home = placeAt(0, query(3))->upstream.id;
        const base::UpstreamId other(home.value() == "e1" ? "e2" : "e1");
        m_books[0].placed(promptStateKey(3, base::WeightsVersion{1}), *m_books[0].find(other), Start);
        report(0);
        CPPUNIT_ASSERT_EQUAL(other, placeAt(1, query(3))->upstream.id);
    }

    void testMemoryOfOthersIsCounted()
    {
        for (const char *id : {"e1", "e2", "e3", "e4"}) {
            m_books[0].began(*m_books[0].find(base::UpstreamId(id)), AttemptWeight{36'000, 0}, Start);
        }
        CPPUNIT_ASSERT(placeAt(1, query(0)) != nullptr);
        report(0);
        CPPUNIT_ASSERT_MESSAGE("36,000 and 9,100 are more than 90% of 50,000", placeAt(1, query(0)) == nullptr);
    }

    void testPlacesOfAServiceAreSharedOut()
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
            m_books[placed % 2].began(*record, {}, Start);
            report(placed % 2);
        }
        CPPUNIT_ASSERT_EQUAL(4 * static_cast<int>(m_tuning.serviceQueueFactor), placed);
    }

    // Without reports a router takes its own part for that of each router.
    void testEstimateWithoutReports()
    {
        m_view.routers = 4;
        UpstreamRecord &record = *m_books[0].find(base::UpstreamId("e1"));
        m_books[0].began(record, AttemptWeight{9000, 5000}, Start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4 * 5000, m_books[0].workAt(record, 4, Start).unreadTokens, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9000, m_books[0].workAt(record, 4, Start).memoryTokens, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, m_books[0].workAt(record, 2, Start).unreadTokens, 0.1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_books[0].forgetSilentPeers(Start + base::seconds{2}));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * 5000, m_books[0].workAt(record, 2, Start).unreadTokens, 0.1);
    }

    // A burst of prompts that share nothing, at both routers in turn.
    void testBurstSpreadsEvenly()
    {
        std::map<base::UpstreamId, int> prompts;
        for (int i = 0; i < 16; ++i) {
            UpstreamRecord *record = placeAt(i % 2, query(0));
            CPPUNIT_ASSERT(record != nullptr);
            m_books[i % 2].began(*record, AttemptWeight{9100, 9000}, Start);
            report(i % 2);
            ++prompts[record->upstream.id];
        }
        for (const auto &[id, n] : prompts) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id.value(), 4, n);
        }
    }

    void testChangesAreReportedOnce()
    {
        UpstreamRecord &record = *m_books[0].find(base::UpstreamId("e1"));
        m_books[0].began(record, AttemptWeight{9000, 5000}, Start);
        m_books[0].started(record, AttemptWeight{9000, 5000});
        m_books[0].placed(7, record, Start);
        m_books[0].placed(7, record, Start);
        const LoadReport changes = m_books[0].takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.work.size());
        CPPUNIT_ASSERT_EQUAL(1U, changes.work[0].requests);
        CPPUNIT_ASSERT_EQUAL(0U, changes.work[0].unreadTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.placements.size());
        CPPUNIT_ASSERT(m_books[0].takeChanges().work.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_books[0].wholeReport().work.size());
    }

    void testUpstreamThatIsGoneIsReportedBeforeItIsForgotten()
    {
        UpstreamRecord &record = *m_books[0].find(base::UpstreamId("e1"));
        m_books[0].began(record, AttemptWeight{9000, 5000}, Start);
        report(0);
        m_books[0].ended(record, AttemptWeight{9000, 5000}, false, AttemptEnd::Broken, Start);
        m_view.upstreams.erase(m_view.upstreams.begin());
        m_books[0].adopt(m_view, Start);
        const LoadReport changes = m_books[0].takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.work.size());
        CPPUNIT_ASSERT_EQUAL(0U, changes.work[0].requests);
        m_books[0].adopt(m_view, Start);
        CPPUNIT_ASSERT(m_books[0].find(base::UpstreamId("e1")) == nullptr);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SharedPlacementTest);

} // namespace carawaylatch::proxy::testing
