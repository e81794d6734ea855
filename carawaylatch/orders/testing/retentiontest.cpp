// Retention: epochs by monotonic time, pruning, and duplicates after it, also when
// the pruner runs in the middle of a claim.
#include <cppunit/extensions/HelperMacros.h>

#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/orders/retention.h"
#include "carawaylatch/orders/testing/fakes.h"
#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/memorystore.h"

namespace carawaylatch::orders::testing
{

using store::StoreFault;

class RetentionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetentionTest);
    CPPUNIT_TEST(testEpochNeedsWholeLengthSeen);
    CPPUNIT_TEST(testDuplicateAfterPruning);
    CPPUNIT_TEST(testPrunerBetweenAnyTwoCallsOfDuplicate);
    CPPUNIT_TEST(testPrunerBetweenClaimAndItsCheck);
    CPPUNIT_TEST(testEpochAssignedWhileOrderRuns);
    CPPUNIT_TEST(testObserverLearnsEpochWithFewReads);
    CPPUNIT_TEST(testFaultsOfPruner);
    CPPUNIT_TEST(testClosedKeySetIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEpochNeedsWholeLengthSeen()
    {
        RecordPruner one(m_platform, m_settings);
        RecordPruner two(m_platform, m_settings);
        base::TimePoint now{base::hours{1}};
        one.step(now);
        one.step(now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, one.epoch());
        two.step(now + m_settings.epoch / 2);
        one.step(now + m_settings.epoch);
        two.step(now + m_settings.epoch);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, two.epoch());
        two.step(now + m_settings.epoch * 3 / 2);
        two.step(now + m_settings.epoch * 3 / 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, two.epoch());
    }

    void testDuplicateAfterPruning()
    {
        passEpochs(1);
        CPPUNIT_ASSERT(order().kind == OrderAnswerKind::Done);
        passEpochs(m_settings.keepEpochs);
        CPPUNIT_ASSERT_MESSAGE("kept for the whole retention", order().kind == OrderAnswerKind::Done);
        passEpochs(3);
        CPPUNIT_ASSERT(m_platform.list("order/").value().written.empty());
        const auto late = order();
        CPPUNIT_ASSERT(late.kind == OrderAnswerKind::Unknown && late.execution == ExecutionStatus::NotRun);
        CPPUNIT_ASSERT_EQUAL(1, m_service.runs("acme/k"));
    }

    // The pruner runs before the claim write of a duplicate, or between that and the read.
    void testPrunerBetweenAnyTwoCallsOfDuplicate()
    {
        for (const int call : {0, 1}) {
            store::MemoryStore memory;
            const int runs = m_service.runs("acme/k");
            CPPUNIT_ASSERT(orderOver(memory).kind == OrderAnswerKind::Done);
            CPPUNIT_ASSERT(orderWhilePruned(memory, call).kind == OrderAnswerKind::Unknown);
            CPPUNIT_ASSERT(orderOver(memory).kind == OrderAnswerKind::Unknown);
            CPPUNIT_ASSERT_EQUAL(runs + 1, m_service.runs("acme/k"));
        }
    }

    // A router is paused for the whole retention between claim write and confirmation,
    // and its claim is pruned.
    void testPrunerBetweenClaimAndItsCheck()
    {
        store::MemoryStore memory;
        CPPUNIT_ASSERT(orderWhilePruned(memory, 1).kind == OrderAnswerKind::Unknown);
        CPPUNIT_ASSERT(orderOver(memory).kind == OrderAnswerKind::Unknown);
        CPPUNIT_ASSERT_EQUAL(0, m_service.runs("acme/k"));
    }

    // The pruner sets the epoch of a claim without one while the order runs.
    void testEpochAssignedWhileOrderRuns()
    {
        passEpochs(m_settings.keepEpochs + 1);
        ObjectRecordStore claims(m_platform);
        OrderExecutor executor(base::RouterId("r1"), base::Incarnation{77}, claims, m_liveness, m_clock);
        m_service.before = [this] {
            passEpochs(0);
        };
        CPPUNIT_ASSERT(executor.run(makeRequest(m_clock, "k"), m_service, m_chooser).kind == OrderAnswerKind::Done);
        m_service.before = nullptr;
        CPPUNIT_ASSERT(executor.flush());
        CPPUNIT_ASSERT(order().kind == OrderAnswerKind::Done);
        CPPUNIT_ASSERT_EQUAL(1, m_service.runs("acme/k"));
    }

    void testObserverLearnsEpochWithFewReads()
    {
        passEpochs(3);
        store::FaultyStore counted(m_platform);
        RecordPruner observer(counted, m_settings);
        for (base::TimePoint now = m_now; now < m_now + m_settings.epoch; now += base::seconds{2}) {
            observer.step(now, PrunerRole::Observer);
        }
        CPPUNIT_ASSERT_EQUAL(m_pruner.epoch(), observer.epoch());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, counted.callCount());
    }

    void testFaultsOfPruner()
    {
        passEpochs(2);
        for (const StoreFault fault : store::AllStoreFaults) {
            for (std::uint64_t skip = 0; skip < 5; ++skip) {
                store::MemoryStore memory;
                (void)orderOver(memory);
                const int runs = m_service.runs("acme/k");
                store::FaultyStore faulty(memory);
                RecordPruner pruner(faulty, m_settings);
                advanceEpochs(pruner, 2 * m_settings.keepEpochs);
                CPPUNIT_ASSERT_MESSAGE("not pruned before the faults", pruner.counters().pruned == 0);
                for (int i = 0; i < 2 * static_cast<int>(ClosedRanges); ++i) {
                    faulty.inject(fault, 1, skip);
                    pruner.step(m_now);
                }
                (void)orderOver(memory);
                CPPUNIT_ASSERT_EQUAL(runs, m_service.runs("acme/k"));
            }
        }
    }

    void testClosedKeySetIsBounded()
    {
        std::vector<std::uint64_t> digests(MaxClosedPerRange);
        for (std::size_t i = 0; i < digests.size(); ++i) {
            digests[i] = i * 3;
        }
        ClosedKeySet closed;
        CPPUNIT_ASSERT(closed.add(digests));
        const std::uint64_t known[] = {3};
        const std::uint64_t fresh[] = {4};
        CPPUNIT_ASSERT(closed.add(known) && !closed.add(fresh));
        CPPUNIT_ASSERT(closed.contains(3) && !closed.contains(4));
        CPPUNIT_ASSERT(closed.encode().size() <= store::MaxValueBytes);
        CPPUNIT_ASSERT(ClosedKeySet::decode(closed.encode()).value().contains(3));
    }

private:
    OrderAnswer order()
    {
        return orderOver(m_platform);
    }
    OrderAnswer orderOver(store::ObjectStore &store)
    {
        ObjectRecordStore claims(store);
        OrderExecutor executor(base::RouterId("r1"), base::Incarnation{++m_incarnation}, claims, m_liveness, m_clock);
        executor.setEpoch(m_pruner.epoch());
        return executor.run(makeRequest(m_clock, "k"), m_service, m_chooser);
    }
    // Runs an order and prunes all records before the given store call.
    OrderAnswer orderWhilePruned(store::MemoryStore &memory, int call)
    {
        HookedStore hooked(memory);
        hooked.callsUntilHook = call;
        hooked.hook = [this, &memory] {
            RecordPruner pruner(memory, m_settings);
            passEpochs(pruner, 2 * m_settings.keepEpochs); // sets the epoch of records without one
            passEpochs(pruner, 2 * m_settings.keepEpochs);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pruner.counters().pruned);
        };
        return orderOver(hooked);
    }
    void passEpochs(std::uint64_t epochs)
    {
        passEpochs(m_pruner, epochs);
    }
    // Two steps per epoch: one increments the epoch, one reads it.
    void advanceEpochs(RecordPruner &pruner, std::uint64_t epochs)
    {
        for (std::uint64_t i = 0; i < epochs; ++i) {
            m_now += m_settings.epoch;
            pruner.step(m_now);
            pruner.step(m_now);
        }
    }
    // Passes epochs, then prunes each range once.
    void passEpochs(RecordPruner &pruner, std::uint64_t epochs)
    {
        advanceEpochs(pruner, epochs);
        for (std::uint32_t i = 0; i < ClosedRanges; ++i) {
            pruner.step(m_now);
        }
    }

    store::MemoryStore m_platform;
    RetentionSettings m_settings{base::hours{1}, 5, 200};
    RecordPruner m_pruner{m_platform, m_settings};
    FakeLiveness m_liveness;
    FakeService m_service;
    FakeChooser m_chooser;
    base::ManualClock m_clock;
    base::TimePoint m_now{base::hours{1}};
    std::uint64_t m_incarnation = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetentionTest);

} // namespace carawaylatch::orders::testing
