// Tests Rollout in virtual time against simulated engines.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

#include "carawaylatch/gateway/rollout.h"
#include "carawaylatch/gateway/testing/fakes.h"

namespace carawaylatch::gateway::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};
constexpr base::Duration Step = base::milliseconds{50};
const base::RouterId Self("self");
const base::RouterId Other("other");

} // namespace

class RolloutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutTest);
    CPPUNIT_TEST(testWholeFleetChangesWithinBounds);
    CPPUNIT_TEST(testNewerVersionReplacesPendingVersion);
    CPPUNIT_TEST(testLostOrderIsRepeated);
    CPPUNIT_TEST(testRejectedOrderIsRepeatedAfterPause);
    CPPUNIT_TEST(testEnginesOfPreviousHolderGetNoOrders);
    CPPUNIT_TEST(testInheritedEnginesAreNamedToTheNextHolder);
    CPPUNIT_TEST(testNewProcessWaitsForOrdersOfTheFormer);
    CPPUNIT_TEST(testAllEnginesWaitAfterAHolderOfAnOlderBuild);
    CPPUNIT_TEST(testIncompleteListCountsFromWhenItWasSeen);
    CPPUNIT_TEST(testLeavingEngineIsDropped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int Engines = 9;
    static constexpr base::Duration LoadTime = base::milliseconds{570};

    PlainTextDecoder m_decoder;
    std::unique_ptr<NullLog> m_log;
    std::unique_ptr<FleetState> m_state;
    std::unique_ptr<Rollout> m_rollout;
    std::map<base::UpstreamId, std::pair<base::TimePoint, base::WeightsVersion>> m_loads;
    base::TimePoint m_now = Start;
    std::size_t m_maxLoads = 0;
    std::size_t m_maxUnavailable = 0;
    int m_orders = 0;
    bool m_dropsOrders = false;

    static base::UpstreamId engine(int i)
    {
        return base::UpstreamId("e" + std::to_string(i));
    }

    void step()
    {
        m_now += Step;
        for (auto it = m_loads.begin(); it != m_loads.end();) {
            if (m_now - it->second.first >= LoadTime) {
                m_state->onWeightsSeen(it->first, it->second.second);
                it = m_loads.erase(it);
            } else {
                ++it;
            }
        }
        for (const WeightsOrder &order : m_rollout->plan(m_now, fleet::LeaseTerm{base::FencingToken{5}, Start}, *m_state)) {
            ++m_orders;
            m_rollout->onOrderEnded(m_now, order.engine);
            if (!m_dropsOrders) {
                m_loads[order.engine] = {m_now, order.version};
            }
        }
        m_maxLoads = std::max(m_maxLoads, m_loads.size());
        m_maxUnavailable = std::max(m_maxUnavailable, m_rollout->changing(m_now).engines.size());
    }

    bool isUpToDate(std::uint64_t version) const
    {
        return std::all_of(m_state->upstreams().begin(), m_state->upstreams().end(), [version](const auto &it) {
            return it.second.models.begin()->second.value == version;
        });
    }

    base::Duration runUntilUpToDate(std::uint64_t version)
    {
        const base::TimePoint begun = m_now;
        while (!isUpToDate(version) && m_now - begun < base::seconds{60}) {
            step();
        }
        return m_now - begun;
    }

    void announceVersion(std::uint64_t version)
    {
        m_state->onObject(ObjectKind::Weights, StoredObject{"m", "m " + std::to_string(version), version, false}, {m_now, m_now, {}});
    }

public:
    void setUp() override
    {
        m_log = std::make_unique<NullLog>();
        m_state = std::make_unique<FleetState>(m_decoder, m_log->log);
        m_rollout = std::make_unique<Rollout>(Self, RolloutSettings{});
        for (int i = 0; i < Engines; ++i) {
            m_state->onObject(ObjectKind::Upstreams, StoredObject{engine(i).value(), "p ready 1 1", 1, false}, {Start, Start, {}});
        }
        m_loads.clear();
        m_now = Start;
        m_maxLoads = m_maxUnavailable = 0;
        m_orders = 0;
        m_dropsOrders = false;
    }

    // All engines must have new weights within 8 s, with at most two concurrent loads and
    // half of the engines in service.
    void testWholeFleetChangesWithinBounds()
    {
        step();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no order without target weights", 0, m_orders);
        announceVersion(2);
        const base::Duration duration = runUntilUpToDate(2);
        CPPUNIT_ASSERT(duration < base::seconds{8});
        CPPUNIT_ASSERT_EQUAL(Engines, m_orders);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_maxLoads);
        CPPUNIT_ASSERT(m_maxUnavailable <= Engines / 2);
        step();
        CPPUNIT_ASSERT(m_rollout->changing(m_now).engines.empty());
    }

    // Guards against engines that load a replaced version and get the newer one only after
    // the timeout of their order.
    void testNewerVersionReplacesPendingVersion()
    {
        announceVersion(2);
        while (m_loads.empty()) {
            step();
        }
        announceVersion(3);
        CPPUNIT_ASSERT(runUntilUpToDate(3) < base::seconds{8});
        CPPUNIT_ASSERT(m_orders <= Engines + 2);
    }

    void testLostOrderIsRepeated()
    {
        announceVersion(2);
        m_dropsOrders = true;
        while (m_orders == 0) {
            step();
        }
        m_dropsOrders = false;
        CPPUNIT_ASSERT(runUntilUpToDate(2) < RolloutSettings{}.orderTimeout + base::seconds{8});
    }

    void testRejectedOrderIsRepeatedAfterPause()
    {
        announceVersion(2);
        m_dropsOrders = true;
        while (m_orders == 0) {
            step();
        }
        m_dropsOrders = false; // engines execute orders from now on
        m_rollout->onOrderRejected(m_now, engine(0));
        step();
        CPPUNIT_ASSERT(!m_loads.contains(engine(0)));
        for (int i = 0; i < 60 && !m_loads.contains(engine(0)); ++i) {
            step();
        }
        CPPUNIT_ASSERT(m_loads.contains(engine(0)));
    }

    // Orders of two lease holders to one engine must be at least takeoverDelay apart.
    void testEnginesOfPreviousHolderGetNoOrders()
    {
        ChangingEngines inherited;
        inherited.engines = {engine(0)};
        inherited.changed = {{engine(1), base::WeightsVersion{1}}};
        inherited.writer = Other;
        m_rollout->takeOver(m_now, inherited, PreviousHolder::OtherRouter, m_now);
        announceVersion(2);
        std::set<base::UpstreamId> orderedDuringDelay;
        while (m_now - Start < RolloutSettings{}.takeoverDelay - Step) {
            step();
            for (const auto &[id, load] : m_loads) {
                orderedDuringDelay.insert(id);
            }
        }
        CPPUNIT_ASSERT(!orderedDuringDelay.contains(engine(0)));
        CPPUNIT_ASSERT(!orderedDuringDelay.contains(engine(1)));
        CPPUNIT_ASSERT(orderedDuringDelay.size() > 2);
        CPPUNIT_ASSERT(runUntilUpToDate(2) < base::seconds{8});
    }

    // The lease may change hands once more before the delay has passed.
    void testInheritedEnginesAreNamedToTheNextHolder()
    {
        ChangingEngines inherited;
        inherited.engines = {engine(0)};
        inherited.changed = {{engine(1), base::WeightsVersion{1}}};
        inherited.writer = Other;
        m_rollout->takeOver(m_now, inherited, PreviousHolder::OtherRouter, m_now);
        const ChangingEngines published = ChangingEngines::decode(m_rollout->changing(m_now).encode());
        CPPUNIT_ASSERT(published.engines.empty()); // they take requests
        CPPUNIT_ASSERT(published.changed.contains(engine(0)) && published.changed.contains(engine(1)));
        m_rollout->reset();
        m_rollout->takeOver(m_now, published, PreviousHolder::SameRouter, m_now);
        announceVersion(2);
        while (m_now - Start < RolloutSettings{}.takeoverDelay - Step) {
            step();
            CPPUNIT_ASSERT(!m_loads.contains(engine(0)) && !m_loads.contains(engine(1)));
        }
        CPPUNIT_ASSERT(m_rollout->changing(Start + RolloutSettings{}.takeoverDelay).changed.count(engine(0)) == 0);
        CPPUNIT_ASSERT(runUntilUpToDate(2) < base::seconds{8});
    }

    // Orders of the process before can still be under way, with lower fencing tokens.
    void testNewProcessWaitsForOrdersOfTheFormer()
    {
        ChangingEngines inherited;
        inherited.engines = {engine(0)};
        inherited.writer = Self;
        m_rollout->takeOver(m_now, inherited, PreviousHolder::SameRouter, m_now);
        announceVersion(2);
        while (m_now - Start < RolloutSettings{}.orderFlightTime - Step) {
            step();
            CPPUNIT_ASSERT(!m_loads.contains(engine(0)));
        }
        CPPUNIT_ASSERT(runUntilUpToDate(2) < base::seconds{8});
    }

    // Its list may lack engines that the holder before it had ordered. The next holder learns that as well.
    void testAllEnginesWaitAfterAHolderOfAnOlderBuild()
    {
        const base::Duration delay = RolloutSettings{}.takeoverDelay;
        m_rollout->takeOver(m_now, ChangingEngines::decode("e0"), PreviousHolder::OtherRouter, m_now);
        announceVersion(2);
        // Hand-overs don't begin the time anew.
        for (int i = 1; i <= 3; ++i) {
            while (m_now - Start < delay * i / 4) {
                step();
                CPPUNIT_ASSERT(m_loads.empty());
            }
            const ChangingEngines published = ChangingEngines::decode(m_rollout->changing(m_now).encode());
            CPPUNIT_ASSERT(published.isIncomplete);
            m_rollout = std::make_unique<Rollout>(i % 2 == 0 ? Self : Other, RolloutSettings{});
            m_rollout->takeOver(m_now, published, PreviousHolder::OtherRouter, m_now);
        }
        while (m_now - Start < delay - Step) {
            step();
            CPPUNIT_ASSERT(m_loads.empty());
        }
        while (m_now - Start < delay + base::seconds{1}) {
            step();
        }
        CPPUNIT_ASSERT(m_orders > 0);
        CPPUNIT_ASSERT(!m_rollout->changing(m_now).isIncomplete);
        CPPUNIT_ASSERT(runUntilUpToDate(2) < base::seconds{8});
    }

    // What a list may lack was ordered before it was written.
    void testIncompleteListCountsFromWhenItWasSeen()
    {
        m_rollout->takeOver(m_now, ChangingEngines::decode("@other=2 *=60000"), PreviousHolder::OtherRouter, m_now - RolloutSettings{}.takeoverDelay);
        announceVersion(2);
        for (int i = 0; i < 40; ++i) {
            step();
        }
        CPPUNIT_ASSERT(m_orders > 0);
    }

    void testLeavingEngineIsDropped()
    {
        announceVersion(2);
        step();
        const base::UpstreamId leaving = *m_rollout->changing(m_now).engines.begin();
        m_state->onObject(ObjectKind::Upstreams, StoredObject{leaving.value(), "p draining 1 1", 2, false}, {m_now, m_now, {}});
        step();
        CPPUNIT_ASSERT(!m_rollout->changing(m_now).engines.contains(leaving));
        for (int i = 0; i < 200; ++i) {
            step();
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("all other engines change, and the leaving one gets no order", Engines - 1, m_orders);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

} // namespace carawaylatch::gateway::testing
