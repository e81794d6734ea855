// End-to-end tests with faults at exact steps: failed platform calls of an order,
// damaged response streams, platform outage, shutdown and restart of routers, drain and
// a change of weights.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <thread>

#include "carawaylatch/router/testing/faultyengine.h"
#include "carawaylatch/router/testing/testfleet.h"

namespace carawaylatch::router::testing
{

constexpr std::uint32_t Tokens = FaultyEngine::Tokens;

class RouterFaultTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterFaultTest);
    CPPUNIT_TEST(testOrdersWithFaultAtEveryPlatformCall);
    CPPUNIT_TEST(testStreamsWithFaultAtEveryToken);
    CPPUNIT_TEST(testConfigurationSurvivesOutageAndRestart);
    CPPUNIT_TEST(testGracefulShutdownFinishesStreams);
    CPPUNIT_TEST(testDrainReachesOtherRouter);
    CPPUNIT_TEST(testWeightsUpdateIsRolledOut);
    CPPUNIT_TEST_SUITE_END();

public:
    // An order at one router with one or three failed platform calls from the k-th on, then
    // duplicates at the other router and again at the first: the order must be executed at
    // most once, and the outcomes must agree with the executions.
    void testOrdersWithFaultAtEveryPlatformCall()
    {
        constexpr std::uint64_t Calls = 6;
        TestFleet fleet(1);
        int cases = 0;
        for (const char *mode : {"down", "lose_answers"}) {
            for (std::uint64_t skip = 0; skip < Calls; ++skip) {
                for (const std::uint64_t count : {1, 3}) {
                    fleet.platform().injectFault({mode, count, {}, "order", skip});
                    checkOrder(fleet, std::string(mode) + "-" + std::to_string(skip) + "-" + std::to_string(count));
                    ++cases;
                }
            }
        }
        std::cout << " orders: " << cases << " cases";
    }

    // An error response or a stream that ends with an error is correct; a stream that
    // looks complete must be complete and belong to the caller's request. Each fault
    // gets its own fleet, since an engine that failed before is ejected and gets no
    // further requests.
    void testStreamsWithFaultAtEveryToken()
    {
        int cases = 0;
        int completeStreams = 0;
        for (const StreamFault fault : AllStreamFaults) {
            FaultyEngine faulty;
            TestFleet fleet(1, {faulty.endpoint()});
            for (std::uint32_t step = 0; step < Tokens; ++step) {
                faulty.setFault(fault, step);
                completeStreams += checkStream(fleet, "prompt " + std::to_string(static_cast<int>(fault)) + " " + std::to_string(step), step % 2) ? 1 : 0;
                ++cases;
            }
            CPPUNIT_ASSERT_MESSAGE("fault " + std::to_string(static_cast<int>(fault)) + " never occurred", faulty.requestCount() > 0);
        }
        std::cout << " streams: " << cases << " cases, " << completeStreams << " whole";
    }

    void testConfigurationSurvivesOutageAndRestart()
    {
        TestFleet fleet(1);
        fleet.awaitStatus(0, "\"revision\":1");
        fleet.platform().injectFault({"down", 0, {}, {}, 0});
        fleet.stopRouter(1);
        fleet.startRouter(1);
        fleet.awaitReady(1);
        fleet.awaitStatus(1, "\"revision\":1");
        CPPUNIT_ASSERT(fleet.complete(1, "during the outage", Tokens).isCompleteStream());
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), fleet.order(1, "outage").orderOutcome);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.executionCount("outage"));
        fleet.platform().injectFault({"up", 0, {}, {}, 0});
        fleet.applyTables(2);
        fleet.awaitStatus(0, "\"revision\":2");
        fleet.awaitStatus(1, "\"revision\":2");
    }

    void testGracefulShutdownFinishesStreams()
    {
        TestFleet fleet(1);
        constexpr std::uint32_t LongResponseTokens = 400;
        CallerResponse response;
        std::jthread caller([&] {
            response = fleet.complete(0, "a long answer", LongResponseTokens);
        });
        while (fleet.engine(0).model().counters().jobs == 0) {
            std::this_thread::yield();
        }
        fleet.stopRouter(0);
        caller.join();
        CPPUNIT_ASSERT(response.isCompleteStream());
        CPPUNIT_ASSERT_EQUAL(expectedText("a long answer", LongResponseTokens), response.streamedText());
    }

    void testDrainReachesOtherRouter()
    {
        TestFleet fleet(2);
        fleet.drain(0, "engine-0");
        fleet.awaitStatus(1, "\"state\":\"leaving\"");
        const auto before = fleet.engine(0).model().counters().jobs;
        for (int i = 0; i < 10; ++i) {
            const auto response = fleet.complete(static_cast<std::size_t>(i) % 2, "after the drain " + std::to_string(i), 1);
            CPPUNIT_ASSERT_MESSAGE("status " + std::to_string(response.status) + ": " + response.body, response.isCompleteStream());
        }
        CPPUNIT_ASSERT_EQUAL(before, fleet.engine(0).model().counters().jobs);
    }

    void testWeightsUpdateIsRolledOut()
    {
        TestFleet fleet(2);
        fleet.applyTables(2);
        for (std::size_t i = 0; i < 2; ++i) {
            while (fleet.engine(i).model().loadReport().weights.value != 2) {
                std::this_thread::yield();
            }
        }
        // Requests may be refused while no engine serves; eventually one must succeed.
        while (!fleet.complete(0, "new weights", Tokens).isCompleteStream()) {
            std::this_thread::yield();
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.engine(0).model().counters().wrongHits);
    }

private:
    // Checks a response stream; returns whether it was complete.
    static bool checkStream(TestFleet &fleet, const std::string &prompt, std::size_t router)
    {
        const auto response = fleet.complete(router, prompt, Tokens);
        const std::string expected = expectedText(prompt, Tokens);
        const std::string name = prompt + ": " + response.body;
        if (response.isCompleteStream()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, expected, response.streamedText());
            return true;
        }
        CPPUNIT_ASSERT_MESSAGE(name, expected.starts_with(response.streamedText()));
        CPPUNIT_ASSERT_MESSAGE(name, response.body.find("\"error\"") != std::string::npos);
        return false;
    }

    static void checkOrder(TestFleet &fleet, const std::string &key)
    {
        bool wasDone = false;
        for (const std::size_t router : {0, 1, 0}) {
            const auto response = fleet.order(router, key);
            const std::size_t executions = fleet.executionCount(key);
            const std::string name = key + " at router " + std::to_string(router) + ": " + response.orderOutcome + " " + response.body;
            CPPUNIT_ASSERT_MESSAGE(name, !response.orderOutcome.empty());
            CPPUNIT_ASSERT_MESSAGE(name, executions <= 1);
            CPPUNIT_ASSERT_MESSAGE(name, response.orderOutcome != "not_run" || executions == 0);
            CPPUNIT_ASSERT_MESSAGE(name, response.orderOutcome != "done" || executions == 1);
            CPPUNIT_ASSERT_MESSAGE(name, !wasDone || response.orderOutcome != "not_run");
            wasDone |= response.orderOutcome == "done";
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterFaultTest);

} // namespace carawaylatch::router::testing
