// OrderExecutor over an object store in memory: replays, reopened orders, pending
// updates, bounds, and two executors under threads and random faults, where the
// service must have run each order at most once.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/orders/journalrecordstore.h"
#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/orders/testing/fakes.h"
#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/memorystore.h"
#include "testing/seed.h"

namespace carawaylatch::orders::testing
{

using base::ErrorKind;
using store::StoreFault;

namespace
{

constexpr std::size_t Bound = 4; // maximum number of pending updates, in the test of bounds

} // namespace

class OrderExecutorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderExecutorTest);
    CPPUNIT_TEST(testReplaysAtBothRouters);
    CPPUNIT_TEST(testOrderRunsOnRetryAfterNotRun);
    CPPUNIT_TEST(testNotRunIsNotRepeatedWhileReopening);
    CPPUNIT_TEST(testPlatformDownBeforeClaim);
    CPPUNIT_TEST(testOutcomeReachesPlatformLater);
    CPPUNIT_TEST(testUnclearClaimIsReopened);
    CPPUNIT_TEST(testRefusals);
    CPPUNIT_TEST(testTriesAnotherServiceOnlyAfterRefusal);
    CPPUNIT_TEST(testDuplicatesWaitForFirst);
    CPPUNIT_TEST(testBounds);
    CPPUNIT_TEST(testRandomFaultsAndDuplicates);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_settings.sleep = [this](base::Duration pause) {
            m_clock.advance(pause);
        };
        makeExecutors(m_clock);
    }

    void testReplaysAtBothRouters()
    {
        const auto first = runAt(*m_one, "k");
        CPPUNIT_ASSERT(first.kind == OrderAnswerKind::Done && first.execution == ExecutionStatus::Ran);
        for (OrderExecutor *executor : {m_one.get(), m_two.get()}) {
            const auto again = runAt(*executor, "k");
            CPPUNIT_ASSERT(again.kind == OrderAnswerKind::Done && again.execution == ExecutionStatus::NotRun);
            CPPUNIT_ASSERT(again.answer == first.answer);
        }
        CPPUNIT_ASSERT_EQUAL(1, m_service.runs("acme/k"));
        CPPUNIT_ASSERT(m_one->counters().done == 1 && m_one->counters().replayed == 1);
    }

    // A refused order: NotRun, also for duplicates, then reopened, then run.
    void testOrderRunsOnRetryAfterNotRun()
    {
        m_service.chooseFault = [](const ServiceRequest &) {
            return ServiceFault::Refused;
        };
        const auto refused = runAt(*m_one, "k");
        CPPUNIT_ASSERT(refused.kind == OrderAnswerKind::NotRun && refused.error.retryAfter >= base::seconds{1});
        m_service.chooseFault = nullptr;
        CPPUNIT_ASSERT(runAt(*m_one, "k").kind == OrderAnswerKind::NotRun);
        CPPUNIT_ASSERT(runAt(*m_two, "k").kind == OrderAnswerKind::Running);
        CPPUNIT_ASSERT_EQUAL(0, m_service.runs("acme/k"));

        m_clock.advance(refused.error.retryAfter);
        m_one->step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_one->counters().pendingUpdates);
        const auto bounced = runAt(*m_two, "k");
        CPPUNIT_ASSERT(bounced.kind == OrderAnswerKind::Unknown && bounced.execution == ExecutionStatus::NotRun);
        CPPUNIT_ASSERT(runAt(*m_two, "k").kind == OrderAnswerKind::Done);
        CPPUNIT_ASSERT(runAt(*m_one, "k").kind == OrderAnswerKind::Done);
        CPPUNIT_ASSERT_EQUAL(1, m_service.runs("acme/k"));
    }

    // A duplicate arrives while the write that reopens the claim is in progress.
    void testNotRunIsNotRepeatedWhileReopening()
    {
        m_service.chooseFault = [](const ServiceRequest &) {
            return ServiceFault::Refused;
        };
        HookedStore hooked(m_platform);
        ObjectRecordStore claims(hooked);
        OrderExecutor executor(base::RouterId("r3"), base::Incarnation{33}, claims, m_liveness, m_clock, m_settings);
        CPPUNIT_ASSERT(runAt(executor, "k").kind == OrderAnswerKind::NotRun);
        std::optional<OrderAnswer> duplicate;
        hooked.hook = [this, &executor, &duplicate] {
            duplicate = runAt(executor, "k");
        };
        hooked.callsUntilHook = 0;
        CPPUNIT_ASSERT(executor.flush());
        CPPUNIT_ASSERT(duplicate && duplicate->kind == OrderAnswerKind::Unknown);
    }

    void testPlatformDownBeforeClaim()
    {
        m_faulty.inject(StoreFault::Down);
        const base::TimePoint start = m_clock.now();
        const auto answer = runAt(*m_one, "k");
        CPPUNIT_ASSERT(answer.kind == OrderAnswerKind::Unknown && answer.execution == ExecutionStatus::NotRun);
        CPPUNIT_ASSERT(answer.error.kind == ErrorKind::Unavailable && answer.error.retryAfter > base::Duration{});
        CPPUNIT_ASSERT_MESSAGE("refused at once", m_clock.now() == start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_one->counters().pendingUpdates);
        m_faulty.inject(StoreFault::None);
        CPPUNIT_ASSERT(runAt(*m_two, "k").kind == OrderAnswerKind::Done);
    }

    void testOutcomeReachesPlatformLater()
    {
        for (const StoreFault fault : {StoreFault::Down, StoreFault::ResponseLost, StoreFault::RequestLost}) {
            const std::string key = "k" + std::to_string(static_cast<int>(fault));
            m_service.before = [this, fault] {
                m_faulty.inject(fault);
            };
            const auto answer = runAt(*m_one, key);
            m_service.before = nullptr;
            CPPUNIT_ASSERT(answer.kind == OrderAnswerKind::Done);
            m_one->step();
            CPPUNIT_ASSERT(runAt(*m_one, key).answer == answer.answer);
            m_faulty.inject(StoreFault::None);
            m_clock.advance(base::seconds{2});
            m_one->step();
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_one->counters().pendingUpdates);
            CPPUNIT_ASSERT(runAt(*m_two, key).answer == answer.answer);
            CPPUNIT_ASSERT_EQUAL(1, m_service.runs("acme/" + key));
        }
    }

    // The outcome of the claim write is unknown and the object store becomes unavailable.
    void testUnclearClaimIsReopened()
    {
        for (const StoreFault fault : {StoreFault::ResponseLost, StoreFault::RequestLost}) {
            const std::string key = "k" + std::to_string(static_cast<int>(fault));
            m_faulty.inject(fault);
            const auto answer = runAt(*m_one, key);
            CPPUNIT_ASSERT(answer.kind == OrderAnswerKind::Unknown && answer.execution == ExecutionStatus::NotRun);
            CPPUNIT_ASSERT(runAt(*m_one, key).kind == OrderAnswerKind::Unknown);
            m_faulty.inject(StoreFault::None);
            CPPUNIT_ASSERT(m_one->flush());
            CPPUNIT_ASSERT(runAt(*m_one, key).kind == OrderAnswerKind::Done);
            CPPUNIT_ASSERT_EQUAL(1, m_service.runs("acme/" + key));
        }
    }

    void testRefusals()
    {
        CPPUNIT_ASSERT(runAt(*m_one, "").kind == OrderAnswerKind::Refused);
        CPPUNIT_ASSERT(runAt(*m_one, std::string(MaxKeyBytes + 1, 'k')).kind == OrderAnswerKind::Refused);
        CPPUNIT_ASSERT(runAt(*m_one, "k").kind == OrderAnswerKind::Done);
        for (OrderExecutor *executor : {m_one.get(), m_two.get()}) {
            const auto other = executor->run(makeRequest(m_clock, "k", "eleven tonnes"), m_service, m_chooser);
            CPPUNIT_ASSERT(other.kind == OrderAnswerKind::Refused && other.error.kind == ErrorKind::InvalidArgument);
        }
        CPPUNIT_ASSERT_EQUAL(1, m_service.mostRuns());
    }

    void testTriesAnotherServiceOnlyAfterRefusal()
    {
        m_chooser.services = 2;
        for (const ServiceFault fault : AllServiceFaults) {
            const std::string key = "k" + std::to_string(static_cast<int>(fault));
            std::atomic<int> calls = 0;
            m_service.chooseFault = [&calls, fault](const ServiceRequest &) {
                return calls++ == 0 ? fault : ServiceFault::None;
            };
            const auto answer = runAt(*m_one, key);
            const bool isProvablyUnrun = fault == ServiceFault::Refused || fault == ServiceFault::NotSent;
            CPPUNIT_ASSERT_EQUAL(isProvablyUnrun ? 2 : 1, calls.load());
            CPPUNIT_ASSERT(answer.kind == (isProvablyUnrun || fault == ServiceFault::None ? OrderAnswerKind::Done : OrderAnswerKind::Unknown));
            CPPUNIT_ASSERT(runAt(*m_two, key).kind == answer.kind);
            CPPUNIT_ASSERT(m_service.runs("acme/" + key) <= 1);
        }
    }

    void testDuplicatesWaitForFirst()
    {
        std::promise<void> entered;
        std::promise<void> release;
        m_service.before = [&entered, &release] {
            entered.set_value();
            release.get_future().wait();
        };
        auto first = std::async(std::launch::async, [this] {
            return runAt(*m_one, "k");
        });
        entered.get_future().wait();
        CPPUNIT_ASSERT(m_one->run(makeRequest(m_clock, "k", "other"), m_service, m_chooser).kind == OrderAnswerKind::Refused);
        OrderRequest expired = makeRequest(m_clock, "k");
        expired.deadline = m_clock.now();
        CPPUNIT_ASSERT(m_one->run(expired, m_service, m_chooser).kind == OrderAnswerKind::Running);
        auto second = std::async(std::launch::async, [this] {
            return runAt(*m_one, "k");
        });
        release.set_value();
        const auto answer = first.get();
        CPPUNIT_ASSERT(answer.kind == OrderAnswerKind::Done);
        CPPUNIT_ASSERT(second.get().answer == answer.answer);
        CPPUNIT_ASSERT_EQUAL(1, m_service.runs("acme/k"));
    }

    void testBounds()
    {
        m_settings.maxPendingUpdates = Bound;
        makeExecutors(m_clock);
        m_service.before = [this] {
            m_faulty.inject(StoreFault::Down);
        };
        for (std::size_t i = 0; i < Bound; ++i) {
            m_faulty.inject(StoreFault::None);
            CPPUNIT_ASSERT(runAt(*m_one, std::to_string(i)).kind == OrderAnswerKind::Done);
        }
        const auto refused = runAt(*m_one, "one more");
        CPPUNIT_ASSERT(refused.error.kind == ErrorKind::Overloaded && refused.execution == ExecutionStatus::NotRun);
        CPPUNIT_ASSERT_EQUAL(Bound, m_one->counters().pendingUpdates);
    }

    // Threads at two executors use few keys under random faults of object store and service.
    void testRandomFaultsAndDuplicates()
    {
        constexpr int Threads = 6;
        constexpr int OrdersOfThread = 200;
        constexpr std::uint64_t Keys = 60;
        const base::SteadyClock clock;
        m_settings.sleep = nullptr;
        m_settings.pendingUpdateRetryInterval = {};
        m_settings.stateMachine.initialPollInterval = base::microseconds{50};
        m_settings.stateMachine.maxWait = base::milliseconds{1};
        m_settings.stateMachine.retryAfter = base::microseconds{100};
        makeExecutors(clock);
        std::atomic<std::uint64_t> draws = 0;
        m_service.chooseFault = [&draws](const ServiceRequest &) {
            base::Random random(base::combineHashes(carawaylatch::testing::seed(), ++draws));
            return random.below(3) == 0 ? AllServiceFaults[random.below(std::size(AllServiceFaults))] : ServiceFault::None;
        };
        std::atomic<int> finished = 0;
        std::atomic<int> falseAnswers = 0;
        std::vector<std::thread> threads;
        threads.reserve(Threads);
        for (int i = 0; i < Threads; ++i) {
            threads.emplace_back([&, i] {
                base::Random random(carawaylatch::testing::seed() + static_cast<std::uint64_t>(i));
                for (int n = 0; n < OrdersOfThread; ++n) {
                    const std::string key = std::to_string(random.below(Keys));
                    m_faulty.inject(store::AllStoreFaults[random.below(4)], random.below(4), random.below(4));
                    OrderExecutor &executor = i % 2 == 0 ? *m_one : *m_two;
                    const auto answer = executor.run(makeRequest(clock, key), m_service, m_chooser);
                    const bool isDone = answer.kind == OrderAnswerKind::Done;
                    falseAnswers += isDone && m_service.runs("acme/" + key) != 1 ? 1 : 0;
                }
                ++finished;
            });
        }
        while (finished < Threads) {
            m_one->step();
            m_two->step();
        }
        for (std::thread &it : threads) {
            it.join();
        }
        m_faulty.inject(StoreFault::None);
        CPPUNIT_ASSERT(m_one->flush() && m_two->flush());
        CPPUNIT_ASSERT_EQUAL(1, m_service.mostRuns());
        CPPUNIT_ASSERT_EQUAL(0, falseAnswers.load());
    }

private:
    void makeExecutors(const base::Clock &clock)
    {
        m_one = std::make_unique<OrderExecutor>(base::RouterId("r1"), base::Incarnation{11}, m_store, m_liveness, clock, m_settings);
        m_two = std::make_unique<OrderExecutor>(base::RouterId("r2"), base::Incarnation{22}, m_store, m_liveness, clock, m_settings);
    }
    OrderAnswer runAt(OrderExecutor &executor, const std::string &key)
    {
        return executor.run(makeRequest(m_clock, key), m_service, m_chooser);
    }

    store::MemoryStore m_platform;
    store::FaultyStore m_faulty{m_platform};
    ObjectRecordStore m_store{m_faulty};
    FakeLiveness m_liveness;
    FakeService m_service;
    FakeChooser m_chooser;
    base::ManualClock m_clock;
    OrderExecutorSettings m_settings;
    std::unique_ptr<OrderExecutor> m_one;
    std::unique_ptr<OrderExecutor> m_two;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderExecutorTest);

} // namespace carawaylatch::orders::testing
