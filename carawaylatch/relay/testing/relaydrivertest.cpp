// The driver with real threads and a fake engine. Time is virtual: the test advances
// the clock and calls watch().
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "carawaylatch/relay/hedgepool.h"
#include "carawaylatch/relay/relaydriver.h"
#include "carawaylatch/relay/testing/fakeengine.h"
#include "testing/threadsafemanualclock.h"

namespace carawaylatch::relay::testing
{

namespace
{

const base::PoolName Pool("p");

using carawaylatch::testing::ThreadSafeManualClock;

// A driver and its dependencies; without a watcher thread, the test calls watch().
struct Fixture
{
    FakeEngine engine;
    ThreadSafeManualClock clock;
    AttemptIdGenerator ids{base::RouterId("r1"), {1}};
    RetryBudgets budgets;
    HedgeDelays delays;
    RelayDriver driver{engine, clock, ids, budgets, delays, {.watchInterval = {}, .hedgeThreads = 2}};
    FakePlacer placer{4};
    FakeCaller caller;

    RelayRequest request(config::Hedging hedging = config::Hedging::Off)
    {
        return {.requestId = "r",
                .pool = Pool,
                .model = base::ModelId("m"),
                .trafficClass = base::TrafficClass::Interactive,
                .prompt = "prompt",
                .maxTokens = 100,
                .idempotency = config::Idempotency::Idempotent,
                .hedging = hedging,
                .firstTokenDeadline = clock.now() + base::seconds{10},
                .deadline = clock.now() + base::seconds{60}};
    }
    RelayReport run()
    {
        return driver.run(request(), placer, caller);
    }
    void fillDelays()
    {
        for (int i = 0; i < 100; ++i) {
            delays.add(Pool, base::milliseconds{100});
        }
    }
};

// Runs a request on another thread while the test acts.
template <typename Act>
RelayReport runWhile(Fixture &fixture, const RelayRequest &request, Act act)
{
    RelayReport report;
    std::thread thread([&] {
        report = fixture.driver.run(request, fixture.placer, fixture.caller);
    });
    act();
    thread.join();
    return report;
}

} // namespace

class RelayDriverTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayDriverTest);
    CPPUNIT_TEST(testFaultPairs);
    CPPUNIT_TEST(testAllUpstreamsUnreachable);
    CPPUNIT_TEST(testContinuationCarriesText);
    CPPUNIT_TEST(testCallerLeavesMidStream);
    CPPUNIT_TEST(testCallerLeavesWhileWaiting);
    CPPUNIT_TEST(testDeadlineEndsRequest);
    CPPUNIT_TEST(testSilentEngineIsReplaced);
    CPPUNIT_TEST(testHedgeWins);
    CPPUNIT_TEST(testHedgeLosesAndIsCancelled);
    CPPUNIT_TEST(testEndWaitsForWrite);
    CPPUNIT_TEST(testRetryBudget);
    CPPUNIT_TEST(testConcurrentStreams);
    CPPUNIT_TEST_SUITE_END();

public:
    // All pairs of faults: one in the first run, one in the second, none after that.
    void testFaultPairs()
    {
        for (const Fault first : AllFaults) {
            for (const Fault second : AllFaults) {
                if (isHanging(first) || isHanging(second)) {
                    continue; // these need calls of watch(), see the tests below
                }
                Fixture fixture;
                for (const char *upstream : {"e1", "e2"}) {
                    fixture.engine.script(upstream, {upstream == std::string("e1") ? first : second, second});
                }
                const RelayReport report = fixture.run();
                const std::string where = "faults " + std::to_string(static_cast<int>(first)) + ", " + std::to_string(static_cast<int>(second));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::string(), fixture.caller.violation);
                CPPUNIT_ASSERT_MESSAGE(where, fixture.caller.done.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, FakeTokens, report.tokens);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, fixture.placer.placed.size(), fixture.placer.outcomes.size());
            }
        }
    }

    void testAllUpstreamsUnreachable()
    {
        Fixture fixture;
        for (const char *it : {"e1", "e2", "e3", "e4"}) {
            fixture.engine.script(it, {Fault::NotSent});
        }
        const RelayReport report = fixture.run();
        CPPUNIT_ASSERT(fixture.caller.error->kind == base::ErrorKind::Overloaded);
        CPPUNIT_ASSERT(fixture.caller.error->retryAfter == base::milliseconds{250});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.tokens);
    }

    void testContinuationCarriesText()
    {
        Fixture fixture;
        fixture.engine.script("e1", {Fault::LostMidStream, Fault::Refused});
        const RelayReport report = fixture.run();
        const auto requests = fixture.engine.requests();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, requests.size());
        CPPUNIT_ASSERT(requests[1].attempt == requests[0].attempt && requests[1].resumeFrom == std::optional<std::uint64_t>(2));
        CPPUNIT_ASSERT(requests[2].attempt != requests[0].attempt && requests[2].continuation->firstIndex == 2);
        CPPUNIT_ASSERT_EQUAL(1U, report.resumes);
        CPPUNIT_ASSERT_EQUAL(1U, report.continuations);
        CPPUNIT_ASSERT_EQUAL(fakeAnswer(), fixture.caller.text);
    }

    void testCallerLeavesMidStream()
    {
        Fixture fixture;
        fixture.caller.leavesAfter = 2;
        const RelayReport report = fixture.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fixture.caller.tokens);
        CPPUNIT_ASSERT(report.error->kind == base::ErrorKind::Cancelled);
        CPPUNIT_ASSERT(fixture.engine.wasCancelled(fixture.engine.requests()[0].attempt));
    }

    void testCallerLeavesWhileWaiting()
    {
        Fixture fixture;
        fixture.engine.script("e1", {Fault::Hang});
        const RelayReport report = runWhile(fixture, fixture.request(), [&] {
            fixture.engine.awaitHanging(1);
            fixture.caller.isGone = true;
            fixture.driver.watch();
        });
        CPPUNIT_ASSERT(report.error->kind == base::ErrorKind::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engine.requests().size());
    }

    void testDeadlineEndsRequest()
    {
        for (const Fault fault : {Fault::Hang, Fault::AnswerAfterCancel}) {
            Fixture fixture;
            fixture.engine.script("e1", {fault});
            const RelayReport report = runWhile(fixture, fixture.request(), [&] {
                fixture.engine.awaitHanging(1);
                fixture.clock.advance(base::seconds{10});
                fixture.driver.watch();
            });
            CPPUNIT_ASSERT(report.error->kind == base::ErrorKind::Overloaded);
            CPPUNIT_ASSERT(report.error->retryAfter > base::Duration::zero());
            CPPUNIT_ASSERT_EQUAL(std::string(), fixture.caller.text);
            CPPUNIT_ASSERT(fixture.placer.outcomes.at(0).result == AttemptResult::Cancelled);
        }
    }

    void testSilentEngineIsReplaced()
    {
        Fixture fixture;
        fixture.engine.script("e1", {Fault::HangMidStream});
        const RelayReport report = runWhile(fixture, fixture.request(), [&] {
            fixture.engine.awaitHanging(1);
            fixture.driver.watch();
            fixture.clock.advance(base::seconds{10});
            fixture.driver.watch();
        });
        CPPUNIT_ASSERT_EQUAL(fakeAnswer(), fixture.caller.text);
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.caller.violation);
        CPPUNIT_ASSERT_EQUAL(1U, report.continuations);
    }

    void testHedgeWins()
    {
        for (const Fault hedgeFault : AllFaults) {
            if (isHanging(hedgeFault)) {
                continue;
            }
            Fixture fixture;
            fixture.fillDelays();
            fixture.engine.script("e1", {Fault::AnswerAfterCancel});
            fixture.engine.script("e2", {hedgeFault, hedgeFault});
            const std::string where = "hedge with fault " + std::to_string(static_cast<int>(hedgeFault));
            const RelayReport report = runWhile(fixture, fixture.request(config::Hedging::On), [&] {
                fixture.engine.awaitHanging(1);
                fixture.clock.advance(base::milliseconds{200});
                fixture.driver.watch();
                while (fixture.driver.openRequests() > 0 && fixture.clock.now() < base::TimePoint{base::hours{2}}) {
                    // After a failed hedge only the first attempt is left; the deadline ends it.
                    std::this_thread::yield();
                    if (yieldsNoToken(hedgeFault)) {
                        fixture.clock.advance(base::seconds{11});
                        fixture.driver.watch();
                    }
                }
            });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::string(), fixture.caller.violation);
            CPPUNIT_ASSERT_MESSAGE(where, fixture.caller.done.has_value() != fixture.caller.error.has_value());
            CPPUNIT_ASSERT_MESSAGE(where, fixture.caller.done.has_value() || yieldsNoToken(hedgeFault));
            CPPUNIT_ASSERT_MESSAGE(where, report.hedges <= 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, fixture.placer.placed.size(), fixture.placer.outcomes.size());
        }
    }

    void testHedgeLosesAndIsCancelled()
    {
        Fixture fixture;
        fixture.fillDelays();
        fixture.engine.script("e1", {Fault::Hang});
        fixture.engine.script("e2", {Fault::Hang});
        const RelayReport report = runWhile(fixture, fixture.request(config::Hedging::On), [&] {
            fixture.engine.awaitHanging(1);
            fixture.clock.advance(base::milliseconds{200});
            fixture.driver.watch();
            fixture.engine.awaitHanging(2);
            fixture.caller.isGone = true;
            fixture.driver.watch();
        });
        CPPUNIT_ASSERT_EQUAL(1U, report.hedges);
        for (const EngineRequest &it : fixture.engine.requests()) {
            CPPUNIT_ASSERT(fixture.engine.wasCancelled(it.attempt));
        }
    }

    // If the caller disconnects while a hedge's thread is blocked in a write, the
    // calling thread ends the answer only after that write returned.
    void testEndWaitsForWrite()
    {
        Fixture fixture;
        fixture.fillDelays();
        fixture.engine.script("e1", {Fault::Hang});
        std::promise<void> isWriting;
        std::promise<void> mayContinue;
        fixture.caller.onFirstToken = [&] {
            isWriting.set_value();
            mayContinue.get_future().wait();
        };
        const RelayReport report = runWhile(fixture, fixture.request(config::Hedging::On), [&] {
            fixture.engine.awaitHanging(1);
            fixture.clock.advance(base::milliseconds{200});
            fixture.driver.watch();
            isWriting.get_future().wait();
            fixture.caller.isGone = true;
            fixture.driver.watch();
            std::this_thread::sleep_for(base::milliseconds{20}); // time for an abort that doesn't wait
            mayContinue.set_value();
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.caller.violation);
        CPPUNIT_ASSERT(report.error->kind == base::ErrorKind::Cancelled);
    }

    void testRetryBudget()
    {
        RetryBudget budget({.share = 0.1, .reserve = 2});
        const auto start = base::TimePoint{base::hours{1}};
        for (int i = 0; i < 100; ++i) {
            budget.countRequest(start);
        }
        int taken = 0;
        while (budget.tryTake(start) && taken < 100) {
            ++taken;
        }
        CPPUNIT_ASSERT_EQUAL(12, taken); // the reserve and a tenth of 100
        CPPUNIT_ASSERT(!budget.tryTake(start + base::seconds{9}));
        CPPUNIT_ASSERT(budget.tryTake(start + base::seconds{10})); // the requests and retries are out of the window

        Fixture fixture;
        RetryBudgets empty({.share = 0, .reserve = 0});
        RelayDriver driver(fixture.engine, fixture.clock, fixture.ids, empty, fixture.delays, {.watchInterval = {}, .hedgeThreads = 0});
        fixture.engine.script("e1", {Fault::NotSent});
        const RelayReport refused = driver.run(fixture.request(), fixture.placer, fixture.caller);
        CPPUNIT_ASSERT(refused.error->kind == base::ErrorKind::Overloaded);
        // A partly delivered stream is continued even with an exhausted budget.
        FakeCaller second;
        fixture.engine.script("e1", {Fault::Gap});
        CPPUNIT_ASSERT(driver.run(fixture.request(), fixture.placer, second).done.has_value());
    }

    // Many threads use one driver with its watcher thread; finds data races under the thread sanitizer.
    void testConcurrentStreams()
    {
        FakeEngine engine;
        const base::SteadyClock clock;
        AttemptIdGenerator ids(base::RouterId("r1"), {1});
        RetryBudgets budgets({.share = 1, .reserve = 1000});
        HedgeDelays delays;
        for (int i = 0; i < 100; ++i) {
            delays.add(Pool, base::milliseconds{1});
        }
        engine.script("e1", std::deque<Fault>(AllFaults.begin(), AllFaults.end() - 3));
        RelayDriver driver(engine, clock, ids, budgets, delays, {.watchInterval = base::milliseconds{1}, .hedgeThreads = 4});
        std::vector<std::thread> threads;
        threads.reserve(8);
        std::atomic<int> whole = 0;
        for (int i = 0; i < 8; ++i) {
            threads.emplace_back([&] {
                for (int n = 0; n < 20; ++n) {
                    FakePlacer placer(4);
                    FakeCaller caller;
                    RelayRequest request;
                    request.pool = Pool;
                    request.prompt = "p";
                    request.maxTokens = 100;
                    request.hedging = config::Hedging::On;
                    request.firstTokenDeadline = clock.now() + base::minutes{5};
                    request.deadline = clock.now() + base::minutes{5};
                    (void)driver.run(request, placer, caller);
                    whole += caller.done && caller.violation.empty() ? 1 : 0;
                }
            });
        }
        for (std::thread &it : threads) {
            it.join();
        }
        CPPUNIT_ASSERT_EQUAL(160, whole.load());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.openRequests());
    }

private:
    static bool isHanging(Fault fault)
    {
        return fault == Fault::Hang || fault == Fault::HangMidStream || fault == Fault::AnswerAfterCancel;
    }
    // A hedge with such a fault returns no token, so the first attempt decides the outcome.
    static bool yieldsNoToken(Fault fault)
    {
        return fault == Fault::NotSent || fault == Fault::Refused || fault == Fault::LostBeforeHead || fault == Fault::OtherAttempt
               || fault == Fault::OldIncarnation || fault == Fault::OldVersion || fault == Fault::OtherSalt;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayDriverTest);

} // namespace carawaylatch::relay::testing
