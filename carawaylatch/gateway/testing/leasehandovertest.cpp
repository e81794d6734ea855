// Tests what engines receive while the lease passes from one router to another: no order with a
// lower fencing token after one with a higher token, and no orders of two holders within the lease time.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>

#include "carawaylatch/gateway/testing/suspension.h"
#include "carawaylatch/gateway/testing/testcluster.h"

namespace carawaylatch::gateway::testing
{

class LeaseHandoverTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseHandoverTest);
    CPPUNIT_TEST(testSuspendedHolderSendsNoOrder);
    CPPUNIT_TEST(testSecondSuccessorWaitsForOrdersOfTheFirstHolder);
    CPPUNIT_TEST(testOrdersWaitForAHolderThatTheRestoredStoreDoesNotKnow);
    CPPUNIT_TEST(testNewProcessWaitsForAHolderThatTheRestoredStoreDoesNotKnow);
    CPPUNIT_TEST(testSlowOrderIsNotOvertakenWhenTheLeaseLapses);
    CPPUNIT_TEST(testOrdersOfAHolderWhoseLeaseLapsedStayKnown);
    CPPUNIT_TEST(testSuccessorWhoseLeaseLapsesWaitsForInheritedOrders);
    CPPUNIT_TEST(testNewProcessWaitsForOrdersThatItsFormerDidNotList);
    CPPUNIT_TEST(testSuccessorOfAnOlderBuildWaitsForOrdersThatItForgot);
    CPPUNIT_TEST(testEnginesThatOnlyDrainedAreOrderedByTheNextHolderAtOnce);
    CPPUNIT_TEST(testOwnListDoesNotTellOfOrdersThatAnotherRouterDidNotList);
    CPPUNIT_TEST(testNoOrderByAListThatALateWriteReplaced);
    CPPUNIT_TEST(testListOfAnOlderBuildIsReplacedAfterItsTime);
    CPPUNIT_TEST_SUITE_END();

    static constexpr base::Duration Limit = base::seconds{10};
    // Long enough for several hand-overs.
    static constexpr base::Duration LongLeaseTime = 3 * LeaseTime;

    base::SteadyClock m_clock;
    NullLog m_log;
    std::unique_ptr<TestCluster> m_cluster;
    base::Duration m_suspended{}; // in all, of the VM of the router "a"
    // Destroyed before the cluster that its coroutines refer to.
    std::unique_ptr<boost::asio::io_context> m_otherLoop; // of the router "a"
    std::unique_ptr<boost::asio::io_context> m_loop; // of the store, the engines and all other routers

    void runOthers()
    {
        m_loop->restart();
        m_loop->run_for(std::chrono::milliseconds{2});
    }
    void runAll()
    {
        runOthers();
        const Suspension suspension(m_suspended);
        m_otherLoop->restart(); // it has no work while its calls wait on the other loop
        m_otherLoop->run_for(std::chrono::milliseconds{2});
    }
    template <typename Condition>
    bool runUntil(void (LeaseHandoverTest::*step)(), Condition condition)
    {
        const base::TimePoint end = m_clock.now() + Limit;
        while (!condition() && m_clock.now() < end) {
            (this->*step)();
        }
        return condition();
    }
    std::string leaseText() const
    {
        const auto &leases = m_cluster->store.objects(ObjectKind::Leases);
        return leases.empty() ? std::string() : leases.begin()->second.text;
    }
    static ControlSettings longLeaseSettings(const std::string &id)
    {
        ControlSettings out = Router::settings(id);
        out.lease.duration = LongLeaseTime * 6 / 10;
        out.rollout.takeoverDelay = LongLeaseTime;
        return out;
    }
    void addRouterWithLongLease(const std::string &id)
    {
        m_cluster->addRouter(longLeaseSettings(id));
    }
    void startWithLongLeases()
    {
        m_cluster->leaseTime = LongLeaseTime;
        addRouterWithLongLease("a");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return leaseText().starts_with("a ");
        }));
        addRouterWithLongLease("b");
        m_cluster->store.keepCopy();
        m_cluster->store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(2);
        }));
    }
    // The store does not answer the router until its lease has ended.
    void lapse(std::size_t router)
    {
        m_cluster->routers[router]->clients.isDisconnected = true;
        const bool isLong = m_cluster->leaseTime == LongLeaseTime;
        const base::TimePoint end = m_clock.now() + (isLong ? LongLeaseTime : LeaseTime) * 2 / 3;
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this, end] {
            return m_clock.now() > end;
        }));
        m_cluster->routers[router]->clients.isDisconnected = false;
    }
    // No router reaches the store any more; the list names all engines, and newer weights are named.
    void stopAllForALeaseTime()
    {
        for (const auto &router : m_cluster->routers) {
            router->clients.isDisconnected = true;
        }
        const base::TimePoint end = m_clock.now() + LongLeaseTime;
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this, end] {
            return m_clock.now() > end;
        }));
        m_cluster->store.put(ObjectKind::Coordination, std::string(ChangingName), "@a=2 e0 e1 e2");
        m_cluster->store.put(ObjectKind::Weights, "m", "m 3");
    }
    ChangingEngines publishedList() const
    {
        const auto &objects = m_cluster->store.objects(ObjectKind::Coordination);
        const auto it = objects.find(std::string(ChangingName));
        return ChangingEngines::decode(it == objects.end() ? std::string_view() : it->second.text);
    }
    base::TimePoint lastOrderAt() const
    {
        base::TimePoint last;
        for (const auto &[engine, orders] : m_cluster->engines.orders) {
            last = std::max(last, orders.back().at);
        }
        return last;
    }
    void assertNoViolation()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->violation());
    }

public:
    void setUp() override
    {
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_otherLoop = std::make_unique<boost::asio::io_context>(1);
        m_cluster = std::make_unique<TestCluster>(*m_loop, m_clock, m_log.log);
    }
    void tearDown() override
    {
        m_otherLoop.reset();
        m_loop.reset();
        m_cluster.reset();
    }

    // The VM of the holder is suspended while it opens connections for its orders, until another router has sent its own.
    void testSuspendedHolderSendsNoOrder()
    {
        m_cluster->addRouter(Router::settings("a"), *m_otherLoop);
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runAll, [this] {
            return leaseText().starts_with("a ");
        }));
        m_cluster->addRouter("b");
        m_cluster->engines.connectTime = base::milliseconds{60};
        m_cluster->store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runAll, [this] {
            return m_cluster->engines.pendingOrders > 0;
        }));
        const base::TimePoint suspendedAt = m_clock.now();
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(2);
        }));
        m_suspended = m_clock.now() - suspendedAt;
        const base::TimePoint resumedAt = m_clock.now();
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runAll, [this, resumedAt] {
            return m_clock.now() - resumedAt > 2 * LeaseTime;
        }));
        assertNoViolation();
    }

    // The first successor stops before it has sent orders of its own.
    void testSecondSuccessorWaitsForOrdersOfTheFirstHolder()
    {
        startWithLongLeases();
        m_cluster->store.put(ObjectKind::Weights, "m", "m 3");
        m_cluster->routers[0]->plane.beginStop();
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return leaseText().starts_with("b ");
        }));
        addRouterWithLongLease("c");
        const base::TimePoint stopAt = m_clock.now() + LongLeaseTime / 6;
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this, stopAt] {
            return m_clock.now() >= stopAt;
        }));
        m_cluster->routers[1]->plane.beginStop();
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(3);
        }));
        assertNoViolation();
    }

    // The last renewal of the holder is gone with the copy, so that it is valid although the store does not know of it.
    void testOrdersWaitForAHolderThatTheRestoredStoreDoesNotKnow()
    {
        startWithLongLeases();
        m_cluster->routers[0]->clients.isDisconnected = true;
        m_cluster->store.comeBackFromCopy();
        m_cluster->store.put(ObjectKind::Weights, "m", "m 3");
        const base::TimePoint validUntil = m_clock.now() + longLeaseSettings("a").lease.duration * 2 / 3;
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(3);
        }));
        for (const auto &[engine, orders] : m_cluster->engines.orders) {
            for (const RecordedOrder &order : orders) {
                CPPUNIT_ASSERT(order.holder == "a" || order.at >= validUntil + LongLeaseTime);
            }
        }
        assertNoViolation();
    }

    // The process starts in the new era, so that it does not notice the change.
    void testNewProcessWaitsForAHolderThatTheRestoredStoreDoesNotKnow()
    {
        addRouterWithLongLease("a");
        m_cluster->leaseTime = LongLeaseTime;
        m_cluster->store.keepCopy();
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return leaseText().starts_with("a ");
        }));
        m_cluster->store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(2);
        }));
        m_cluster->routers[0]->clients.isDisconnected = true;
        m_cluster->store.comeBackFromCopy();
        m_cluster->store.put(ObjectKind::Weights, "m", "m 3");
        addRouterWithLongLease("b");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(3);
        }));
        assertNoViolation();
    }

    // An order is still opening its connection when the lease of its router lapses; the router acquires the lease again.
    void testSlowOrderIsNotOvertakenWhenTheLeaseLapses()
    {
        m_cluster->addRouter("a");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return leaseText().starts_with("a ");
        }));
        m_cluster->engines.connectTime = LeaseTime * 3 / 2;
        m_cluster->store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->engines.pendingOrders > 0;
        }));
        m_cluster->engines.connectTime = base::milliseconds{1};
        lapse(0);
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(2) && m_cluster->engines.pendingOrders == 0;
        }));
        assertNoViolation();
    }

    void testOrdersOfAHolderWhoseLeaseLapsedStayKnown()
    {
        startWithLongLeases();
        const base::TimePoint end = lastOrderAt() + LongLeaseTime;
        lapse(0);
        m_cluster->store.put(ObjectKind::Weights, "m", "m 3");
        // Orders of the new plan make the router write the list again.
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this, end] {
            const auto &objects = m_cluster->store.objects(ObjectKind::Coordination);
            const auto it = objects.find(std::string(ChangingName));
            const auto changing = ChangingEngines::decode(it == objects.end() ? std::string_view() : it->second.text);
            for (const auto &[engine, orders] : m_cluster->engines.orders) {
                const bool isNamed = changing.engines.contains(engine) || changing.changed.contains(engine);
                const bool isOfLate = m_clock.now() < orders.back().at + LongLeaseTime;
                CPPUNIT_ASSERT_MESSAGE(it->second.text, isNamed || !isOfLate);
            }
            return m_clock.now() > end;
        }));
    }

    void testSuccessorWhoseLeaseLapsesWaitsForInheritedOrders()
    {
        startWithLongLeases();
        m_cluster->store.put(ObjectKind::Weights, "m", "m 3");
        m_cluster->routers[0]->plane.beginStop();
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return leaseText().starts_with("b ");
        }));
        lapse(1);
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(3);
        }));
        assertNoViolation();
    }

    // The former process was killed after it had acquired the lease, before it had written the list of engines.
    void testNewProcessWaitsForOrdersThatItsFormerDidNotList()
    {
        startWithLongLeases();
        m_cluster->store.put(ObjectKind::Weights, "m", "m 3");
        m_cluster->store.areCoordinationReadsRefused = true;
        m_cluster->routers[0]->plane.beginStop();
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return leaseText().starts_with("b ");
        }));
        m_cluster->routers[1]->clients.isDisconnected = true;
        m_cluster->store.areCoordinationReadsRefused = false;
        addRouterWithLongLease("b");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(3);
        }));
        assertNoViolation();
    }

    // A router whose build names no writer held the lease in between, and wrote a list of its own changes.
    void testSuccessorOfAnOlderBuildWaitsForOrdersThatItForgot()
    {
        startWithLongLeases();
        m_cluster->store.put(ObjectKind::Weights, "m", "m 3");
        m_cluster->routers[0]->clients.isDisconnected = true;
        m_cluster->store.put(ObjectKind::Coordination, std::string(ChangingName), "");
        m_cluster->store.put(ObjectKind::Leases, std::string(LeaseName), fleet::encodeReleasedLease());
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(3);
        }));
        assertNoViolation();
    }

    // Weights that are named during a rolling stop must not wait for the takeover delay of each holder.
    void testEnginesThatOnlyDrainedAreOrderedByTheNextHolderAtOnce()
    {
        m_cluster->engines.runningRequests = 1;
        ControlSettings first = longLeaseSettings("a");
        first.rollout.maxDrainTime = Limit;
        m_cluster->addRouter(first);
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return leaseText().starts_with("a ");
        }));
        addRouterWithLongLease("b");
        m_cluster->store.put(ObjectKind::Weights, "m", "m 2");
        const base::TimePoint drainsAt = m_clock.now() + base::milliseconds{200};
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this, drainsAt] {
            return m_clock.now() > drainsAt;
        }));
        CPPUNIT_ASSERT(m_cluster->engines.orders.empty());
        const std::set<base::UpstreamId> draining = publishedList().engines;
        CPPUNIT_ASSERT(!draining.empty());
        m_cluster->routers[0]->plane.beginStop();
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return leaseText().starts_with("b ");
        }));
        const base::TimePoint takenOverAt = m_clock.now();
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this, &draining] {
            return std::all_of(draining.begin(), draining.end(), [this](const base::UpstreamId &engine) {
                return m_cluster->engines.orders.contains(engine);
            });
        }));
        CPPUNIT_ASSERT(m_clock.now() - takenOverAt < LongLeaseTime);
        assertNoViolation();
    }

    // A new process of a build before be3af4f takes nothing over, and writes no list if the engines are named already.
    void testOwnListDoesNotTellOfOrdersThatAnotherRouterDidNotList()
    {
        startWithLongLeases();
        stopAllForALeaseTime();
        const std::uint64_t fence = m_cluster->store.objects(ObjectKind::Leases).begin()->second.revision;
        for (auto &[engine, orders] : m_cluster->engines.orders) {
            orders.push_back({"former", fence + 1, 2, m_clock.now()});
        }
        m_cluster->store.put(ObjectKind::Leases, std::string(LeaseName), fleet::encodeReleasedLease());
        addRouterWithLongLease("a");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return m_cluster->isChanged(3);
        }));
        assertNoViolation();
    }

    // The list is replaced after the new process has read it, and the watch does not tell.
    void testNoOrderByAListThatALateWriteReplaced()
    {
        startWithLongLeases();
        stopAllForALeaseTime();
        m_cluster->store.put(ObjectKind::Leases, std::string(LeaseName), fleet::encodeReleasedLease());
        addRouterWithLongLease("a");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            return leaseText().starts_with("a ");
        }));
        const base::TimePoint readAt = m_clock.now() + base::milliseconds{100};
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this, readAt] {
            return m_clock.now() > readAt;
        }));
        m_cluster->store.areWatchesSilent = true;
        m_cluster->store.put(ObjectKind::Coordination, std::string(ChangingName), "@a=2");
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this] {
            for (const auto &[engine, orders] : m_cluster->engines.orders) {
                const ChangingEngines list = publishedList();
                const bool isNamed = list.engines.contains(engine) || list.changed.contains(engine);
                CPPUNIT_ASSERT_MESSAGE(engine.value(), orders.back().version != 3 || isNamed);
            }
            return m_cluster->isChanged(3);
        }));
    }

    void testListOfAnOlderBuildIsReplacedAfterItsTime()
    {
        m_cluster->store.put(ObjectKind::Coordination, std::string(ChangingName), "e0");
        addRouterWithLongLease("b");
        const base::TimePoint end = m_clock.now() + 2 * LongLeaseTime;
        CPPUNIT_ASSERT(runUntil(&LeaseHandoverTest::runOthers, [this, end] {
            return m_clock.now() > end;
        }));
        CPPUNIT_ASSERT(!publishedList().isIncomplete);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseHandoverTest);

} // namespace carawaylatch::gateway::testing
