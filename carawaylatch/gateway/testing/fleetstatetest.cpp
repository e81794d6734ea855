// Tests FleetState in virtual time: which objects change the snapshot, and which are
// ignored.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "carawaylatch/gateway/fleetstate.h"
#include "carawaylatch/gateway/testing/fakes.h"

namespace carawaylatch::gateway::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};

StoredObject object(const std::string &name, const std::string &text, std::uint64_t revision = 1)
{
    return StoredObject{name, text, revision, false};
}

StoredObject removal(const std::string &name)
{
    return StoredObject{name, {}, 99, true};
}

} // namespace

class FleetStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetStateTest);
    CPPUNIT_TEST(testTableVersionNeverDecreases);
    CPPUNIT_TEST(testMalformedTableIsIgnored);
    CPPUNIT_TEST(testDrainingIsFinalForAnIncarnation);
    CPPUNIT_TEST(testBrittleWordHoldsForAnIncarnation);
    CPPUNIT_TEST(testMalformedEntryRemovesUpstream);
    CPPUNIT_TEST(testEntryOfEarlierIncarnationIsIgnored);
    CPPUNIT_TEST(testExpiredEntriesStayDuringGrace);
    CPPUNIT_TEST(testEntryThatReturnsInTheSameAnswerChangesNothing);
    CPPUNIT_TEST(testListedVersionAllowsNoOlderWeights);
    CPPUNIT_TEST(testReportedWeightsOverrideEntry);
    CPPUNIT_TEST(testRoutersAreCounted);
    CPPUNIT_TEST(testChangingEnginesRoundTrip);
    CPPUNIT_TEST(testChangingEnginesOfOtherBuilds);
    CPPUNIT_TEST(testOrdersFollowOnlyAListOfTheirSender);
    CPPUNIT_TEST(testDeadCacheStoresAreInTheView);
    CPPUNIT_TEST_SUITE_END();

    PlainTextDecoder m_decoder;
    std::unique_ptr<NullLog> m_log;
    std::unique_ptr<FleetState> m_state;
    std::uint64_t m_revision = 0;

    // A change that is later than all before.
    void change(ObjectKind kind, StoredObject object)
    {
        object.revision = ++m_revision;
        m_state->onChanges(kind, {object}, m_revision, {Start, Start, {}});
    }
    bool hasUpstream(const std::string &id)
    {
        return m_state->upstreams().contains(base::UpstreamId(id));
    }

public:
    void setUp() override
    {
        m_log = std::make_unique<NullLog>();
        m_state = std::make_unique<FleetState>(m_decoder, m_log->log);
        m_revision = 0;
    }

    void testTableVersionNeverDecreases()
    {
        change(ObjectKind::Tables, object("main", "7"));
        change(ObjectKind::Tables, object("main", "5", 2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_state->view()->table->version);
        m_state->onList(ObjectKind::Tables, {object("main", "6", 3)}, 3, {Start, Start, {}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_state->view()->table->version);
        change(ObjectKind::Tables, removal("main"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_state->view()->table->version);
    }

    void testMalformedTableIsIgnored()
    {
        CPPUNIT_ASSERT(m_state->view()->table == nullptr);
        change(ObjectKind::Tables, object("main", "?"));
        CPPUNIT_ASSERT(m_state->view()->table == nullptr);
        change(ObjectKind::Tables, object("main", "7", 2));
        change(ObjectKind::Tables, object("main", "?", 3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_state->view()->table->version);
    }

    void testDrainingIsFinalForAnIncarnation()
    {
        change(ObjectKind::Upstreams, object("e", "p ready 10 1"));
        change(ObjectKind::Upstreams, object("e", "p draining 10 1", 2));
        change(ObjectKind::Upstreams, object("e", "p ready 10 1", 3));
        CPPUNIT_ASSERT(m_state->view()->upstreams.front().phase == proxy::UpstreamPhase::Draining);
        change(ObjectKind::Upstreams, object("e", "p ready 11 1", 4));
        CPPUNIT_ASSERT(m_state->view()->upstreams.front().phase == proxy::UpstreamPhase::Ready);
    }

    void testBrittleWordHoldsForAnIncarnation()
    {
        const base::UpstreamId engine("e");
        const auto brittle = [this] {
            return m_state->view()->upstreams.front().brittle;
        };
        change(ObjectKind::Upstreams, object("e", "p ready 10 1"));
        m_state->onBrittleWord(engine, {std::nullopt, base::TimePoint{base::seconds{1}}});
        CPPUNIT_ASSERT_MESSAGE("nothing new", !brittle());
        m_state->onBrittleWord(engine, {5, base::TimePoint{base::seconds{2}}});
        m_state->onBrittleWord(engine, {5, base::TimePoint{base::seconds{3}}});
        change(ObjectKind::Upstreams, object("e", "p ready 10 2", 2));
        CPPUNIT_ASSERT_EQUAL(5U, brittle()->rejections.value());
        CPPUNIT_ASSERT(brittle()->askedAt == base::TimePoint{base::seconds{2}});
        m_state->onBrittleWord(engine, {std::nullopt, base::TimePoint{base::seconds{4}}});
        CPPUNIT_ASSERT(!brittle()->rejections);
        m_state->onBrittleWord(engine, {5, base::TimePoint{base::seconds{5}}});
        change(ObjectKind::Upstreams, object("e", "p ready 11 1", 3));
        CPPUNIT_ASSERT(!brittle());
    }

    void testMalformedEntryRemovesUpstream()
    {
        change(ObjectKind::Upstreams, object("e", "p ready 10 1"));
        change(ObjectKind::Upstreams, object("f", "p ready 10 1"));
        change(ObjectKind::Upstreams, object("e", "??", 2));
        CPPUNIT_ASSERT(!hasUpstream("e"));
        CPPUNIT_ASSERT(hasUpstream("f"));
    }

    void testEntryOfEarlierIncarnationIsIgnored()
    {
        change(ObjectKind::Upstreams, object("e", "p ready 20 3"));
        change(ObjectKind::Upstreams, object("e", "p draining 10 1", 2));
        CPPUNIT_ASSERT(m_state->view()->upstreams.front().phase == proxy::UpstreamPhase::Ready);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, m_state->view()->upstreams.front().startTimeMs);
    }

    // After an outage of the store, a missing entry may have expired: its upstream stays in
    // use for a grace period, unless it was draining.
    void testExpiredEntriesStayDuringGrace()
    {
        change(ObjectKind::Upstreams, object("ready", "p ready 10 1"));
        change(ObjectKind::Upstreams, object("leaving", "p draining 10 1"));
        change(ObjectKind::Upstreams, object("removed", "p ready 10 1"));
        m_state->onChanges(ObjectKind::Upstreams, {removal("removed")}, ++m_revision, {Start, Start, Start});
        m_state->onList(ObjectKind::Upstreams, {}, m_revision, {Start, Start, Start});
        CPPUNIT_ASSERT(hasUpstream("ready"));
        CPPUNIT_ASSERT(hasUpstream("removed"));
        CPPUNIT_ASSERT(!hasUpstream("leaving"));
        CPPUNIT_ASSERT(!m_state->onTick(Start + RemovalLimits{}.maxUse - base::milliseconds{1}));
        change(ObjectKind::Upstreams, object("ready", "p ready 10 1", 3));
        CPPUNIT_ASSERT(m_state->onTick(Start + RemovalLimits{}.maxUse));
        CPPUNIT_ASSERT(hasUpstream("ready"));
        CPPUNIT_ASSERT(!hasUpstream("removed"));
        m_state->onList(ObjectKind::Upstreams, {}, m_revision, {Start, Start, {}});
        CPPUNIT_ASSERT_MESSAGE("without an outage, a missing entry removes its upstream", !hasUpstream("ready"));
    }

    // The first answer after a long outage holds the removal of an entry and its return: what the upstream
    // reported itself is kept.
    void testEntryThatReturnsInTheSameAnswerChangesNothing()
    {
        const base::UpstreamId id("e");
        change(ObjectKind::Upstreams, object("e", "p ready 10 1"));
        m_state->onWeightsSeen(id, base::WeightsVersion{2});
        static_cast<void>(m_state->consumeChanged());
        m_state->onChanges(ObjectKind::Upstreams, {removal("e"), object("e", "p ready 10 1", 2)}, 2, {Start, Start, {}});
        CPPUNIT_ASSERT(!m_state->consumeChanged());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_state->upstreams().at(id).models.begin()->second.value);
        m_state->onChanges(ObjectKind::Upstreams, {object("e", "p draining 10 1", 3), removal("e"), object("e", "p ready 10 1", 4)}, 4, {Start, Start, {}});
        CPPUNIT_ASSERT(m_state->upstreams().at(id).phase == proxy::UpstreamPhase::Draining);
        m_state->onChanges(ObjectKind::Upstreams, {object("e", "p ready 11 1", 5), removal("e")}, 5, {Start, Start, {}});
        CPPUNIT_ASSERT(!hasUpstream("e"));
    }

    // Guards against a restarted router that treats a listed version as just announced and
    // so uses older weights for too long.
    void testListedVersionAllowsNoOlderWeights()
    {
        m_state->onList(ObjectKind::Weights, {object("m", "m 3")}, ++m_revision, {Start, {}, {}});
        const auto limit = base::seconds{6};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_state->targets().at(base::ModelId("m")).oldestAllowed(Start, limit).value);
        change(ObjectKind::Weights, object("m", "m 4", 2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_state->targets().at(base::ModelId("m")).oldestAllowed(Start, limit).value);
        change(ObjectKind::Weights, object("m", "m 2", 3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, m_state->targets().at(base::ModelId("m")).version.value);
    }

    void testReportedWeightsOverrideEntry()
    {
        change(ObjectKind::Upstreams, object("e", "p ready 10 1"));
        m_state->onWeightsSeen(base::UpstreamId("e"), base::WeightsVersion{2});
        change(ObjectKind::Upstreams, object("e", "p ready 10 1", 2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_state->upstreams().at(base::UpstreamId("e")).models.begin()->second.value);
        change(ObjectKind::Upstreams, object("e", "p ready 11 1", 3));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a new incarnation starts with the weights of its entry", std::uint64_t{1},
                                     m_state->upstreams().at(base::UpstreamId("e")).models.begin()->second.value);
    }

    void testRoutersAreCounted()
    {
        CPPUNIT_ASSERT_EQUAL(1U, m_state->view()->routers);
        change(ObjectKind::Coordination, object("router.a", "router"));
        change(ObjectKind::Coordination, object("router.b", "10.0.0.2:7340"));
        CPPUNIT_ASSERT_EQUAL(2U, m_state->view()->routers);
        const base::Endpoint peers{"10.0.0.2", 7340};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_state->view()->routerEndpoints.size());
        CPPUNIT_ASSERT(m_state->view()->routerEndpoints[0] == peers);
        CPPUNIT_ASSERT_EQUAL(std::string("router.b"), m_state->routerAt(peers)->name);
        CPPUNIT_ASSERT(m_state->routerAt(base::Endpoint{"10.0.0.1", 7340}) == nullptr);
        // A removal can have the same revision as the change before it, or none; one that is told as of an earlier revision is ignored.
        const auto remove = [this](std::uint64_t revision, std::uint64_t asOf) {
            m_state->onChanges(ObjectKind::Coordination, {StoredObject{"router.b", {}, revision, true}}, asOf, {Start, Start, {}});
            return m_state->view()->routers;
        };
        CPPUNIT_ASSERT_EQUAL(2U, remove(0, 0));
        CPPUNIT_ASSERT_EQUAL(2U, remove(1, 1));
        CPPUNIT_ASSERT_EQUAL(1U, remove(2, 3));
        change(ObjectKind::Coordination, object("router.b", "10.0.0.2:7340"));
        CPPUNIT_ASSERT_EQUAL(1U, remove(0, 9));
    }

    void testChangingEnginesRoundTrip()
    {
        ChangingEngines changing;
        changing.engines = {base::UpstreamId("a"), base::UpstreamId("b")};
        changing.changed = {{base::UpstreamId("c"), base::WeightsVersion{7}}};
        changing.writer = base::RouterId("10.1.0.4");
        for (const bool isIncomplete : {false, true}) {
            changing.isIncomplete = isIncomplete;
            changing.incompleteFor = base::milliseconds{isIncomplete ? 900 : 0};
            const ChangingEngines read = ChangingEngines::decode(changing.encode());
            CPPUNIT_ASSERT_EQUAL(changing.writer.value(), read.writer.value());
            CPPUNIT_ASSERT(read.engines == changing.engines);
            CPPUNIT_ASSERT(read.changed == changing.changed);
            CPPUNIT_ASSERT_EQUAL(isIncomplete, read.isIncomplete);
            CPPUNIT_ASSERT(read.incompleteFor == changing.incompleteFor);
        }
        CPPUNIT_ASSERT(ChangingEngines::decode("").engines.empty());
        CPPUNIT_ASSERT(ChangingEngines::decode("  = =x a=").engines.empty());
    }

    // Lists of builds that name no writer, and of a later form, may lack engines that were ordered.
    void testChangingEnginesOfOtherBuilds()
    {
        for (const char *text : {"", "a b=7", "@10.1.0.4=3 a b=7", "@10.1.0.4 a b=7", "*=0", "*=0 @10.1.0.4=0 a=0"}) {
            const ChangingEngines read = ChangingEngines::decode(text);
            CPPUNIT_ASSERT_MESSAGE(text, read.writer.isEmpty());
            CPPUNIT_ASSERT_MESSAGE(text, read.isIncomplete && read.incompleteFor > base::hours{1});
        }
        CPPUNIT_ASSERT(ChangingEngines::decode("a b=7").engines.contains(base::UpstreamId("a")));
        CPPUNIT_ASSERT(!ChangingEngines::decode("@10.1.0.4=2").isIncomplete);
        CPPUNIT_ASSERT(ChangingEngines::decode("@10.1.0.4=2 *=18446744073709551615").incompleteFor == base::hours{1});
    }

    void testOrdersFollowOnlyAListOfTheirSender()
    {
        struct Case
        {
            const char *published;
            const char *own;
            bool mustReplace;
        };
        const Case cases[] = {
            {"@a=2 e0 e1", "@a=2 e0", false},
            {"@a=2 e0 e1", "@a=2 e0 e2", true},
            {"@b=2 e0 e1", "@a=2 e0", true}, // the list in the store may be another one by now
            {"e0 e1", "@a=2 e0", true},
            {"@a=2 e0", "@a=2", true}, // e0 has completed its change
            {"@b=2 e0", "@a=2", true},
            {"@b=2 e0=0", "@a=2", false},
            {"", "@a=2", true}, // the time for which it counts as incomplete is over
            {"@b=2 *=900", "@a=2", true},
            {"@b=2 *=900", "@a=2 *=300", false},
            {"@b=2", "@a=2", false},
        };
        for (const Case &it : cases) {
            const bool mustReplace = ChangingEngines::decode(it.own).mustReplace(ChangingEngines::decode(it.published));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(it.published) + " | " + it.own, it.mustReplace, mustReplace);
        }
    }

    void testDeadCacheStoresAreInTheView()
    {
        const base::Endpoint store{"127.0.0.1", 9};
        static_cast<void>(m_state->consumeChanged());
        m_state->onCacheStoreProbed(store, true);
        CPPUNIT_ASSERT(!m_state->consumeChanged());
        m_state->onCacheStoreProbed(store, false);
        CPPUNIT_ASSERT(m_state->consumeChanged());
        CPPUNIT_ASSERT(m_state->view()->unavailableCacheStores.contains(store));
        m_state->onCacheStoreProbed(store, true);
        CPPUNIT_ASSERT(m_state->view()->unavailableCacheStores.empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetStateTest);

} // namespace carawaylatch::gateway::testing
