// The admission controller with real threads and a clock that only the test advances.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "carawaylatch/admission/admissioncontroller.h"
#include "testing/threadsafemanualclock.h"

namespace carawaylatch::admission::testing
{

namespace
{

const base::CustomerId Acme("acme");
const base::CustomerId Bolt("bolt");

using carawaylatch::testing::ThreadSafeManualClock;

config::Tables tables(std::uint32_t concurrency, double perSecond = 0)
{
    config::Tables tables;
    for (const base::CustomerId &it : {Acme, Bolt}) {
        tables.customers.push_back({.id = it, .keyDigest = {}, .weight = 1, .requestsPerSecond = perSecond, .concurrency = concurrency});
    }
    return tables;
}

struct Fixture
{
    ThreadSafeManualClock clock;
    AdmissionController admissionController;

    explicit Fixture(std::uint32_t concurrency, std::uint32_t capacity = 100, double perSecond = 0)
        : admissionController({.limits = {.router = base::RouterId("r"), .incarnation = {1}}, .capacity = capacity, .recheckInterval = base::milliseconds{1}},
                              clock)
    {
        admissionController.configure(tables(concurrency, perSecond), clock.now());
    }
    AdmissionRequest request(const base::CustomerId &customer = Acme) const
    {
        return {.customer = customer,
                .trafficClass = base::TrafficClass::Interactive,
                .tokens = 1000,
                .deadline = clock.now() + base::seconds{10},
                .expectedWait = {},
                .callerGone = {}};
    }
    base::Result<Ticket> admit(const base::CustomerId &customer = Acme)
    {
        return admissionController.admit(request(customer), clock.now());
    }
    void awaitWaiting(std::uint32_t n) const
    {
        while (admissionController.waiting() != n) {
            std::this_thread::yield();
        }
    }
    std::uint64_t refused(Refusal refusal) const
    {
        std::uint64_t n = 0;
        for (const AdmissionStats &it : admissionController.stats()) {
            n += it.refused[static_cast<std::size_t>(refusal)];
        }
        return n;
    }
};

} // namespace

class AdmissionControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionControllerTest);
    CPPUNIT_TEST(testRefusalsWhileWaiting);
    CPPUNIT_TEST(testRefusalsOnArrival);
    CPPUNIT_TEST(testQueuedRequestIsAdmitted);
    CPPUNIT_TEST(testConfigurationKeepsTickets);
    CPPUNIT_TEST(testCustomerAtItsLimitDoesNotBlockOthers);
    CPPUNIT_TEST(testSlowDrainRefusesBeforeTheDeadline);
    CPPUNIT_TEST(testManyThreads);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each event that refuses a waiting request, and the error that it gets.
    void testRefusalsWhileWaiting()
    {
        struct Row
        {
            const char *name;
            std::function<void(Fixture &, std::atomic<bool> &)> act;
            base::ErrorKind kind;
            Refusal refusal;
        };
        const std::vector<Row> rows = {
            {"caller leaves",
             [](Fixture &, std::atomic<bool> &gone) {
                 gone = true;
             },
             base::ErrorKind::Cancelled, Refusal::CallerGone},
            {"router stops",
             [](Fixture &f, std::atomic<bool> &) {
                 f.admissionController.stop();
             },
             base::ErrorKind::Unavailable, Refusal::Stopping},
            {"half of the time to the deadline is over and nothing completed",
             [](Fixture &f, std::atomic<bool> &) {
                 f.clock.advance(base::seconds{5});
             },
             base::ErrorKind::Overloaded, Refusal::Overload},
        };
        for (const Row &row : rows) {
            Fixture fixture(1);
            auto ticket = fixture.admit();
            CPPUNIT_ASSERT(ticket.has_value());
            std::atomic<bool> gone = false;
            base::Error error;
            std::thread thread([&] {
                AdmissionRequest request = fixture.request();
                request.callerGone = [&] {
                    return gone.load();
                };
                auto entered = fixture.admissionController.admit(request, fixture.clock.now());
                CPPUNIT_ASSERT(!entered);
                error = entered.error();
            });
            fixture.awaitWaiting(1);
            row.act(fixture, gone);
            thread.join();
            CPPUNIT_ASSERT_MESSAGE(row.name, error.kind == row.kind);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::uint64_t{1}, fixture.refused(row.refusal));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 0U, fixture.admissionController.waiting());
        }
    }

    void testRefusalsOnArrival()
    {
        Fixture fixture(0, 100, 2);
        CPPUNIT_ASSERT(fixture.admit(base::CustomerId("nobody")).error().kind == base::ErrorKind::Forbidden);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.admissionController.unknownCustomers());
        CPPUNIT_ASSERT(fixture.admit().has_value());
        const auto limited = fixture.admit();
        CPPUNIT_ASSERT(limited.error().kind == base::ErrorKind::LimitExceeded);
        CPPUNIT_ASSERT(limited.error().retryAfter >= base::milliseconds{500});
        AdmissionRequest late = fixture.request(Bolt);
        late.expectedWait = base::seconds{10};
        const auto refused = fixture.admissionController.admit(late, fixture.clock.now());
        CPPUNIT_ASSERT(refused.error().kind == base::ErrorKind::Overloaded && refused.error().retryAfter >= base::seconds{10});
        fixture.admissionController.stop();
        CPPUNIT_ASSERT(fixture.admit(Bolt).error().kind == base::ErrorKind::Unavailable);
    }

    void testQueuedRequestIsAdmitted()
    {
        Fixture fixture(0, 1);
        auto first = fixture.admit();
        base::Duration waited{};
        std::thread thread([&] {
            auto second = fixture.admit(Bolt);
            CPPUNIT_ASSERT(second.has_value());
            waited = second.value().waited();
        });
        fixture.awaitWaiting(1);
        fixture.clock.advance(base::seconds{1});
        first.value().release();
        thread.join();
        CPPUNIT_ASSERT(waited == base::seconds{1});
        CPPUNIT_ASSERT_EQUAL(0U, fixture.admissionController.inFlight());
    }

    void testConfigurationKeepsTickets()
    {
        Fixture fixture(2);
        auto first = fixture.admit();
        auto second = fixture.admit();
        CPPUNIT_ASSERT_EQUAL(2U, fixture.admissionController.inFlight(Acme));
        base::ErrorKind kind{};
        std::thread thread([&] {
            kind = fixture.admit().error().kind;
        });
        fixture.awaitWaiting(1);
        fixture.admissionController.configure(tables(1), fixture.clock.now());
        CPPUNIT_ASSERT_EQUAL(2U, fixture.admissionController.inFlight(Acme));
        first.value().release(); // one request is still in flight and the limit is now one
        CPPUNIT_ASSERT_EQUAL(1U, fixture.admissionController.waiting());
        fixture.admissionController.configure({}, fixture.clock.now()); // removes both customers
        thread.join();
        CPPUNIT_ASSERT(kind == base::ErrorKind::Forbidden);
        CPPUNIT_ASSERT_EQUAL(1U, fixture.admissionController.inFlight(Acme));
        second.value().release();
        CPPUNIT_ASSERT_EQUAL(0U, fixture.admissionController.inFlight());
        fixture.admissionController.configure(tables(1), fixture.clock.now());
        CPPUNIT_ASSERT(fixture.admit().has_value());
    }

    void testCustomerAtItsLimitDoesNotBlockOthers()
    {
        Fixture fixture(1);
        auto held = fixture.admit(Acme);
        std::thread thread([&] {
            CPPUNIT_ASSERT(fixture.admit(Acme).has_value());
        });
        fixture.awaitWaiting(1);
        CPPUNIT_ASSERT(fixture.admit(Bolt).has_value()); // overtakes the request that waits for its own limit
        held.value().release();
        thread.join();
    }

    // Requests completed quickly and then stop, for all customers or for this one only:
    // a waiting request is refused when its expected wait exceeds the deadline, not
    // when the deadline expires.
    void testSlowDrainRefusesBeforeTheDeadline()
    {
        for (const bool othersFinish : {false, true}) {
            Fixture fixture(1, othersFinish ? 100 : 1);
            for (int i = 0; i < 20; ++i) {
                auto ticket = fixture.admit(othersFinish ? Bolt : Acme);
                fixture.clock.advance(base::milliseconds{500}); // 2000 tokens per second
            }
            auto held = fixture.admit();
            const auto start = fixture.clock.now();
            base::TimePoint refusedAt;
            base::Error error;
            std::thread thread([&] {
                AdmissionRequest request = fixture.request();
                request.deadline = start + base::seconds{30};
                error = fixture.admissionController.admit(request, start).error();
                refusedAt = fixture.clock.now();
            });
            fixture.awaitWaiting(1);
            while (fixture.admissionController.waiting() == 1) {
                fixture.clock.advance(base::milliseconds{100});
                std::this_thread::sleep_for(base::milliseconds{2});
                CPPUNIT_ASSERT(!othersFinish || fixture.admit(Bolt).has_value());
            }
            thread.join();
            CPPUNIT_ASSERT(error.kind == base::ErrorKind::Overloaded && error.retryAfter > base::Duration::zero());
            CPPUNIT_ASSERT(refusedAt < start + base::seconds{29});
        }
    }

    // Many threads while the tables change, for the thread sanitizer. No request stays counted as in flight.
    void testManyThreads()
    {
        Fixture fixture(2, 3);
        std::atomic<std::uint32_t> maxInFlight = 0;
        std::atomic<int> admitted = 0;
        std::vector<std::thread> threads;
        threads.reserve(8);
        for (int i = 0; i < 8; ++i) {
            threads.emplace_back([&, i] {
                for (int n = 0; n < 100; ++n) {
                    auto ticket = fixture.admit(i % 2 == 0 ? Acme : Bolt);
                    maxInFlight = std::max(maxInFlight.load(), fixture.admissionController.inFlight());
                    admitted += ticket.has_value() ? 1 : 0;
                }
            });
        }
        for (int n = 0; n < 50; ++n) {
            fixture.admissionController.configure(tables(1 + n % 3), fixture.clock.now());
            fixture.admissionController.apply(
                fixture.admissionController.answer(fixture.admissionController.report(base::RouterId("x"), fixture.clock.now()), fixture.clock.now()),
                fixture.clock.now());
        }
        for (std::thread &it : threads) {
            it.join();
        }
        CPPUNIT_ASSERT_EQUAL(800, admitted.load());
        CPPUNIT_ASSERT(maxInFlight.load() <= 3);
        CPPUNIT_ASSERT_EQUAL(0U, fixture.admissionController.inFlight());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControllerTest);

} // namespace carawaylatch::admission::testing
