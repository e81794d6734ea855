// Customers' limits over a fleet of routers, by the loads that they must handle.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <numeric>
#include <optional>
#include <vector>

#include "carawaylatch/admission/testing/limitfleet.h"
#include "carawaylatch/admission/tokenbalances.h"

namespace carawaylatch::admission::testing
{

namespace
{

constexpr std::size_t Routers = 35;
constexpr base::Duration Settled = base::seconds{6}; // start delay, first leases, full buckets
constexpr std::uint64_t Seed = 20261206;
const base::CustomerId Customer("acme");
const CustomerLimit Usual{.unit = LimitUnit::Tokens, .perSecond = 46'000, .burst = 46'000, .defaultTokens = 860};

FleetOptions options(const CustomerLimit &limit = Usual, std::size_t routers = Routers)
{
    return {.routers = routers,
            .seed = Seed,
            .leastDelay = base::microseconds{200},
            .longestDelay = base::milliseconds{3},
            .limits = {{.customer = Customer, .limit = limit}}};
}

// Requests of 860 and 9,200 tokens at random times, at `perSecond` tokens a second over the routers given.
void load(LimitFleet &fleet, double perSecond, base::Duration duration, const std::vector<std::size_t> &routers, const base::CustomerId &customer = Customer)
{
    const base::TimePoint end = fleet.now() + duration;
    const double mean = (860 + 9'200) / 2.0;
    for (base::TimePoint at = fleet.now(); at < end; at += base::fromSeconds(2 * fleet.random().uniformReal() * mean / perSecond)) {
        const FleetRequest request{
            .router = routers[fleet.random().below(routers.size())], .customer = customer, .cost = fleet.random().below(2) == 0 ? 860U : 9'200U, .retries = 1};
        fleet.at(at, [&fleet, request] {
            fleet.request(request);
        });
    }
}

std::vector<std::size_t> all(const LimitFleet &fleet)
{
    std::vector<std::size_t> routers(const_cast<LimitFleet &>(fleet).routers().size());
    std::iota(routers.begin(), routers.end(), 0);
    return routers;
}

void assertWithinBound(LimitFleet &fleet, const CustomerLimit &limit = Usual)
{
    const LimitTolerance tolerance = FleetOptions{}.tolerance;
    const double worst = worstWindow(fleet.use(Customer), tolerance.window, [&](base::TimePoint) {
        return allowedInWindow(limit, tolerance);
    });
    std::cout << " worst window " << worst << " of the allowed\n";
    CPPUNIT_ASSERT(worst <= 1);
}

std::uint32_t group()
{
    return limitGroup(base::hash64(Customer.value()));
}

} // namespace

class CustomerLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CustomerLimitsTest);
    CPPUNIT_TEST(testSevenTimesTheRate);
    CPPUNIT_TEST(testInstantMessages);
    CPPUNIT_TEST(testShiftsBetweenRouters);
    CPPUNIT_TEST(testSteadyLoadBelowTheLimit);
    CPPUNIT_TEST(testLimitFallsByFour);
    CPPUNIT_TEST(testLargeRequestsBesideSmall);
    CPPUNIT_TEST(testCoordinatorKilled);
    CPPUNIT_TEST(testCoordinatorFrozen);
    CPPUNIT_TEST(testCoordinatorCutOff);
    CPPUNIT_TEST(testNothingGrantedAfterPause);
    CPPUNIT_TEST(testCustomerRemovedWhileRequestsWait);
    CPPUNIT_TEST(testLimitChangedWhileRequestsWait);
    CPPUNIT_TEST(testRefundInFormerUnit);
    CPPUNIT_TEST(testLateGrantInFormerUnit);
    CPPUNIT_TEST(testPartialGrant);
    CPPUNIT_TEST(testLargeRequestAmongSmallIsDenied);
    CPPUNIT_TEST(testCustomersShareMessages);
    CPPUNIT_TEST(testBounds);
    CPPUNIT_TEST(testDenialsAreAnsweredHere);
    CPPUNIT_TEST(testLateGrantAndTimeout);
    CPPUNIT_TEST(testRefundAndCancel);
    CPPUNIT_TEST(testRefundInTheFormerUnit);
    CPPUNIT_TEST(testCancelInTheFormerUnit);
    CPPUNIT_TEST(testOffWithoutLimits);
    CPPUNIT_TEST_SUITE_END();

public:
    // A customer at seven times its rate over all routers: the sum over routers must keep the limit, and use it.
    void testSevenTimesTheRate()
    {
        std::cout << " seed " << Seed;
        sevenTimes(options());
    }
    void testInstantMessages()
    {
        FleetOptions instant = options();
        instant.leastDelay = instant.longestDelay = base::Duration{};
        sevenTimes(instant);
    }
    // Callers all at one router, then at two, then everywhere: a share bound to a router would be lost.
    void testShiftsBetweenRouters()
    {
        double least = 1;
        for (std::uint64_t seed = Seed; seed < Seed + 10; ++seed) {
            FleetOptions seeded = options();
            seeded.seed = seed;
            LimitFleet fleet(seeded);
            fleet.run(Settled);
            std::vector<std::size_t> everywhere = all(fleet);
            for (const std::vector<std::size_t> &routers : {std::vector<std::size_t>{3}, {7, 20}, everywhere, {12}}) {
                load(fleet, 2 * Usual.perSecond, base::seconds{6}, routers);
                const base::TimePoint start = fleet.now();
                fleet.run(base::seconds{6});
                const double used = fleet.use(Customer).tokens(start + base::seconds{1}, start + base::seconds{6}) / (5 * Usual.perSecond);
                std::cout << " " << routers.size() << ":" << used;
                least = std::min(least, used);
            }
            assertWithinBound(fleet);
        }
        std::cout << " least used of the limit " << least;
        CPPUNIT_ASSERT(least >= 0.9);
    }
    // Below the limit nothing may be refused; requests that find no tokens here pay a round trip.
    void testSteadyLoadBelowTheLimit()
    {
        CustomerLimit limit = Usual;
        limit.perSecond = limit.burst = 600'000;
        for (const auto &[routers, part] : {std::pair{Routers, 0.25}, {Routers, 0.7}, {std::size_t{4}, 0.25}, {std::size_t{4}, 0.7}}) {
            LimitFleet fleet(options(limit, routers));
            fleet.run(Settled);
            load(fleet, part * limit.perSecond, base::seconds{20}, all(fleet));
            fleet.run(base::seconds{21});
            const FleetUse &use = fleet.use(Customer);
            std::cout << " " << routers << " routers, load " << part << " waited " << double(use.pending) / double(use.asked);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, use.overLimit + use.unavailable + use.tooLarge);
            CPPUNIT_ASSERT_EQUAL(use.asked, std::uint64_t{use.granted.size()});
        }
    }
    // A lower limit that reaches the routers one after the other, within 3 s, while the customer sends.
    void testLimitFallsByFour()
    {
        LimitFleet fleet(options());
        fleet.run(Settled);
        load(fleet, 2 * Usual.perSecond, base::seconds{40}, all(fleet));
        fleet.run(base::seconds{10});
        CustomerLimit lower = Usual;
        lower.perSecond /= 4;
        lower.burst /= 4;
        fleet.setLimits({{.customer = Customer, .limit = lower}});
        for (const std::size_t n : all(fleet)) {
            fleet.at(fleet.now() + base::milliseconds{fleet.random().below(3'000)}, [&fleet, n] {
                fleet.configure(n);
            });
        }
        const LimitTolerance tolerance = FleetOptions{}.tolerance;
        const base::TimePoint binding = fleet.now() + base::seconds{3} + tolerance.window;
        fleet.run(base::seconds{30});
        const double worst = worstWindow(fleet.use(Customer), tolerance.window, [&](base::TimePoint start) {
            return allowedInWindow(start >= binding ? lower : Usual, tolerance);
        });
        const double used = fleet.use(Customer).tokens(binding, binding + base::seconds{16}) / (16 * lower.perSecond);
        std::cout << " worst window " << worst << " used " << used;
        CPPUNIT_ASSERT(worst <= 1);
        CPPUNIT_ASSERT(used >= 0.9);
    }
    // Requests of 55,000 tokens beside 200: a denied large one must not keep small ones from the tokens there are.
    void testLargeRequestsBesideSmall()
    {
        CustomerLimit limit = Usual;
        limit.perSecond = limit.burst = 100'000;
        LimitFleet fleet(options(limit));
        fleet.run(Settled);
        for (int n = 0; n < 2'000; ++n) {
            const base::TimePoint at = fleet.now() + n * base::milliseconds{10};
            const std::size_t router = fleet.random().below(Routers);
            fleet.at(at, [&fleet, router] {
                fleet.request({.router = router, .customer = Customer, .cost = 200});
            });
            if (n % 50 == 0) { // 110,000 tokens a second
                fleet.at(at, [&fleet, router] {
                    fleet.request({.router = router, .customer = Customer, .cost = 55'000, .retries = 1});
                });
            }
        }
        fleet.run(base::seconds{21});
        std::uint64_t small = 0;
        std::uint64_t big = 0;
        for (const UsedTokens &it : fleet.use(Customer).granted) {
            ++(it.tokens < 1'000 ? small : big);
        }
        std::cout << " small granted " << small << " of 2000, large " << big << " of 40, ";
        CPPUNIT_ASSERT(small >= 1'900);
        CPPUNIT_ASSERT(big >= 27); // 0.9 of what the small ones leave: 20 s of 80,000 a second
        assertWithinBound(fleet, limit);
    }
    void testCoordinatorKilled()
    {
        coordinatorFails([](LimitFleet &fleet, std::size_t n) {
            fleet.kill(n);
        });
    }
    // The first event after a pause may be a request for tokens, from a bucket that others have by then.
    void testNothingGrantedAfterPause()
    {
        LimitFleet fleet(options());
        fleet.run(Settled);
        CustomerLimits &limits = *fleet.routers()[fleet.coordinator(group())].limits;
        const TokenRequest request{.sender = 1, .entries = {{.customer = base::hash64(Customer.value()), .needed = 9'200, .smallest = 9'200}}};
        CPPUNIT_ASSERT(limits.onTokenRequest(request, fleet.now()).entries.at(0).verdict == GrantVerdict::Granted);
        CPPUNIT_ASSERT(limits.onTokenRequest(request, fleet.now() + base::seconds{5}).entries.at(0).verdict != GrantVerdict::Granted);
    }
    // It must not grant from its bucket what others grant by then.
    void testCoordinatorFrozen()
    {
        coordinatorFails([](LimitFleet &fleet, std::size_t n) {
            fleet.freeze(n, base::seconds{5});
        });
    }
    void testCoordinatorCutOff()
    {
        coordinatorFails([](LimitFleet &fleet, std::size_t n) {
            fleet.routers()[n].side = 1;
        });
    }
    // Requests that wait for tokens of a limit that is gone would wait for the timeout.
    void testCustomerRemovedWhileRequestsWait()
    {
        LimitFleet fleet(options());
        fleet.run(Settled);
        const std::size_t asker = (fleet.coordinator(group()) + 1) % Routers;
        CustomerLimits &limits = *fleet.routers()[asker].limits;
        const LimitDecision waits = limits.request(Customer, 860, fleet.now());
        CPPUNIT_ASSERT(waits.verdict == LimitVerdict::Pending);
        limits.configure({}, {}, fleet.now());
        const std::vector<TicketDecision> decisions = limits.takeDecisions(fleet.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT_EQUAL(waits.ticket, decisions[0].ticket);
        CPPUNIT_ASSERT(decisions[0].decision.verdict == LimitVerdict::Granted);
    }
    // A limit that changes while requests wait: one that is now too large, and a grant in the former unit.
    void testLimitChangedWhileRequestsWait()
    {
        Asker it;
        CPPUNIT_ASSERT(it.request(9'200).verdict == LimitVerdict::Pending);
        CPPUNIT_ASSERT(it.request(200).verdict == LimitVerdict::Pending);
        const LimitMessage ask = it.ask();
        it.fleet.run(base::milliseconds{1});
        const CustomerLimit requests{.perSecond = 100, .burst = 300};
        it.limits().configure(std::vector{NamedLimit{.customer = Customer, .limit = requests}}, {.slack = 1'000}, it.fleet.now());
        const auto decisions = it.limits().takeDecisions(it.fleet.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions[0].decision.verdict == LimitVerdict::TooLarge);
        it.answer(ask.id, {.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = 9'400});
        CPPUNIT_ASSERT(it.limits().takeDecisions(it.fleet.now()).empty());
        CPPUNIT_ASSERT_EQUAL(200U, std::get<TokenRequest>(it.ask().content).entries.at(0).needed);
    }
    // Refunds of requests that were counted in the former unit, or not at all, would be tokens that nobody granted.
    void testRefundInFormerUnit()
    {
        const std::vector<NamedLimit> requests{{.customer = Customer, .limit = {.perSecond = 100, .burst = 300}}};
        for (const bool isDecided : {false, true}) {
            Asker it;
            CPPUNIT_ASSERT(it.request(860).verdict == LimitVerdict::Pending);
            it.answer(it.ask().id, {.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = 860});
            const base::TimePoint later = it.fleet.now() + base::milliseconds{1};
            if (!isDecided) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.limits().takeDecisions(it.fleet.now()).size());
            }
            it.limits().configure(requests, {.slack = 1'000}, later);
            if (isDecided) {
                it.limits().cancel(1);
            } else {
                it.limits().refund(Customer, 860, it.fleet.now() + GrantTerm, later);
            }
            CPPUNIT_ASSERT(it.limits().request(Customer, 1, later).verdict == LimitVerdict::Pending);
        }
        Asker unlimited;
        unlimited.limits().configure({}, {}, unlimited.fleet.now());
        const LimitDecision decision = unlimited.request(860);
        const base::TimePoint later = unlimited.fleet.now() + base::milliseconds{1};
        unlimited.limits().configure(requests, {.slack = 1'000}, later);
        unlimited.limits().refund(Customer, 860, decision.usableUntil, later);
        CPPUNIT_ASSERT(unlimited.limits().request(Customer, 1, later).verdict == LimitVerdict::Pending);
    }
    // A limit that is removed and comes back in another unit: a grant from before would count in the new unit.
    void testLateGrantInFormerUnit()
    {
        Asker it;
        CPPUNIT_ASSERT(it.request(860).verdict == LimitVerdict::Pending);
        const LimitMessage ask = it.ask();
        it.fleet.run(base::milliseconds{1});
        it.limits().configure({}, {}, it.fleet.now());
        it.limits().configure(std::vector{NamedLimit{.customer = Customer, .limit = {.perSecond = 100, .burst = 300}}}, {.slack = 1'000}, it.fleet.now());
        it.answer(ask.id, {.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = 860});
        CPPUNIT_ASSERT(it.request(1).verdict == LimitVerdict::Pending);
    }
    // A grant that does not cover all: tokens kept for the first request would end unused.
    void testPartialGrant()
    {
        Asker it;
        for (const std::uint32_t cost : {860U, 9'200U, 860U, 200U}) {
            CPPUNIT_ASSERT(it.request(cost).verdict == LimitVerdict::Pending);
        }
        const LimitMessage ask = it.ask();
        CPPUNIT_ASSERT(it.request(9'200).verdict == LimitVerdict::Pending);
        CPPUNIT_ASSERT(it.asks().empty()); // one is in flight
        it.answer(ask.id, {.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = 1'900});
        const auto decisions = it.limits().takeDecisions(it.fleet.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decisions.size());
        CPPUNIT_ASSERT_EQUAL(decisions[0].ticket + 2, decisions[1].ticket); // 860 and 860; 180 are left
        const LimitMessage next = it.ask();
        const TokenRequestEntry &entry = std::get<TokenRequest>(next.content).entries.at(0);
        CPPUNIT_ASSERT_EQUAL(18'600U - 180U, entry.needed);
        CPPUNIT_ASSERT_EQUAL(20U, entry.smallest);
        CPPUNIT_ASSERT_EQUAL(1'720U - 180U, entry.extra);
    }
    // A large request that waits while small ones keep arriving is over the limit: it must get a time, not a time-out.
    void testLargeRequestAmongSmallIsDenied()
    {
        Asker it;
        CPPUNIT_ASSERT(it.request(9'200).verdict == LimitVerdict::Pending);
        const std::uint64_t large = 1;
        const base::TimePoint start = it.fleet.now();
        std::optional<LimitDecision> decision;
        for (base::TimePoint now = start; !decision && now <= start + base::milliseconds{300}; now += base::milliseconds{20}) {
            (void)it.limits().request(Customer, 860, now);
            for (const LimitMessage &message : it.limits().takeMessages(now)) {
                if (std::holds_alternative<TokenRequest>(message.content)) { // the bucket fills by 860 in 19 ms
                    it.limits().onGrant(message.id, {.entries = {{.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = 860}}}, now);
                }
            }
            for (const TicketDecision &decided : it.limits().takeDecisions(now)) {
                decision = decided.ticket == large ? std::optional(decided.decision) : decision;
            }
        }
        CPPUNIT_ASSERT(decision.has_value());
        CPPUNIT_ASSERT(decision->verdict == LimitVerdict::OverLimit);
    }
    // A message for each customer would cost as many messages as there are customers.
    void testCustomersShareMessages()
    {
        FleetOptions many = options();
        for (int n = 0; n < 40; ++n) {
            many.limits.push_back({.customer = base::CustomerId("customer" + std::to_string(n)), .limit = Usual});
        }
        LimitFleet fleet(many);
        fleet.run(Settled);
        CustomerLimits &limits = *fleet.routers()[0].limits;
        std::size_t waiting = 0;
        for (const NamedLimit &it : many.limits) {
            waiting += limits.request(it.customer, 860, fleet.now()).verdict == LimitVerdict::Pending ? 1 : 0;
        }
        std::size_t messages = 0;
        std::size_t entries = 0;
        for (const LimitMessage &it : limits.takeMessages(fleet.now())) {
            if (const auto *request = std::get_if<TokenRequest>(&it.content)) {
                ++messages;
                entries += request->entries.size();
            }
        }
        CPPUNIT_ASSERT(waiting > 20);
        CPPUNIT_ASSERT_EQUAL(waiting, entries);
        CPPUNIT_ASSERT(messages <= LimitGroups);
    }
    // Requests that wait, lots and late decisions: without bounds a flood or a pause costs memory or breaks the limit.
    void testBounds()
    {
        Asker it;
        for (std::size_t n = 0; n < CustomerLimits::MaxPending; ++n) {
            CPPUNIT_ASSERT(it.request(1).verdict == LimitVerdict::Pending);
        }
        CPPUNIT_ASSERT(it.request(1).verdict == LimitVerdict::Unavailable);
        it.answer(it.ask().id, {.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = CustomerLimits::MaxPending});
        const auto decisions = it.limits().takeDecisions(it.fleet.now() + GrantTerm + base::Duration{1}); // after a pause
        CPPUNIT_ASSERT_EQUAL(CustomerLimits::MaxPending, decisions.size());
        CPPUNIT_ASSERT(decisions[0].decision.verdict == LimitVerdict::Unavailable);

        TokenBalance balance;
        const base::TimePoint now = it.fleet.now();
        for (int n = 10; n > 0; --n) {
            balance.add({.usableUntil = now + n * base::milliseconds{10}, .tokens = 1});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, balance.total(now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, balance.total(now + base::milliseconds{10})); // the others were merged
        CPPUNIT_ASSERT(balance.take(1, now).usableUntil == now + base::milliseconds{10});
    }
    // Over its limit a customer costs the coordinator few messages, and its callers come back spread out.
    void testDenialsAreAnsweredHere()
    {
        Asker it;
        CPPUNIT_ASSERT(it.request(9'200).verdict == LimitVerdict::Pending);
        CPPUNIT_ASSERT(it.request(4'600).verdict == LimitVerdict::Pending);
        CPPUNIT_ASSERT(it.request(46'001).verdict == LimitVerdict::TooLarge);
        const LimitMessage ask = it.ask();
        const TokenRequestEntry &entry = std::get<TokenRequest>(ask.content).entries.at(0);
        CPPUNIT_ASSERT_EQUAL(13'800U, entry.needed);
        CPPUNIT_ASSERT_EQUAL(4'600U, entry.smallest);
        it.answer(ask.id, {.customer = entry.customer, .verdict = GrantVerdict::Denied, .retryAfter = base::milliseconds{300}});
        const auto decisions = it.limits().takeDecisions(it.fleet.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decisions.size());
        it.assertRetry(400, decisions[0].decision); // the 300 ms are for the 4,600
        it.assertRetry(500, decisions[1].decision);
        it.assertRetry(700, it.request(9'200));
        CPPUNIT_ASSERT(it.asks().empty());
        CPPUNIT_ASSERT(it.request(200).verdict == LimitVerdict::Pending); // smaller than what was denied
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.asks().size());
    }
    // A coordinator that does not answer: 250 ms at most, then the tokens that come serve later requests.
    void testLateGrantAndTimeout()
    {
        Asker it;
        CPPUNIT_ASSERT(it.request(860).verdict == LimitVerdict::Pending);
        const LimitMessage ask = it.ask();
        const base::TimePoint sent = it.fleet.now();
        CPPUNIT_ASSERT(it.limits().takeDecisions(sent + CustomerLimits::AskTimeout - base::Duration{1}).empty());
        const auto decisions = it.limits().takeDecisions(sent + CustomerLimits::AskTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions[0].decision.verdict == LimitVerdict::Unavailable);
        CPPUNIT_ASSERT(decisions[0].decision.retryAfter >= base::milliseconds{400} && decisions[0].decision.retryAfter <= base::milliseconds{600});
        CPPUNIT_ASSERT(it.request(860).verdict == LimitVerdict::Pending);
        LimitFleet::Router &coordinator = it.fleet.routers()[it.fleet.coordinator(group())];
        for (const LimitMessage &message : coordinator.limits->takeMessages(sent + base::milliseconds{200})) {
            if (message.to == it.fleet.routers()[it.router].key) { // its polls arrive, so that it is still the coordinator
                (void)it.limits().onPoll(std::get<SharePoll>(message.content), sent + base::milliseconds{200});
            }
        }
        const auto later = it.limits().takeMessages(sent + CustomerLimits::AskTimeout);
        CPPUNIT_ASSERT(std::any_of(later.begin(), later.end(), [](const LimitMessage &message) {
            return std::holds_alternative<TokenRequest>(message.content);
        }));
        it.limits().cancel(2);
        TokenGrant grant{.entries = {{.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = 1'720}}};
        it.limits().onGrant(ask.id, grant, sent + base::milliseconds{400});
        const LimitDecision decision = it.limits().request(Customer, 860, sent + GrantTerm - base::Duration{1});
        CPPUNIT_ASSERT(decision.verdict == LimitVerdict::Granted);
        CPPUNIT_ASSERT(decision.usableUntil == sent + GrantTerm);
        CPPUNIT_ASSERT(it.limits().request(Customer, 860, sent + GrantTerm).verdict != LimitVerdict::Granted); // dropped
    }
    // Tokens of requests that were never sent would be lost to the customer.
    void testRefundAndCancel()
    {
        Asker it;
        CPPUNIT_ASSERT(it.request(860).verdict == LimitVerdict::Pending);
        const LimitMessage ask = it.ask();
        it.answer(ask.id, {.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = 860});
        it.limits().cancel(1); // decided, but not yet taken
        CPPUNIT_ASSERT(it.limits().takeDecisions(it.fleet.now()).empty());
        const LimitDecision decision = it.request(860);
        CPPUNIT_ASSERT(decision.verdict == LimitVerdict::Granted);
        it.limits().refund(Customer, 860, decision.usableUntil, it.fleet.now());
        CPPUNIT_ASSERT(it.request(860).verdict == LimitVerdict::Granted);
        const LimitDecision waits = it.request(860);
        CPPUNIT_ASSERT(waits.verdict == LimitVerdict::Pending);
        it.limits().cancel(waits.ticket);
        CPPUNIT_ASSERT(it.asks().empty());
    }
    // Tokens of a request that ends unsent after the unit has changed would be that many requests.
    void testRefundInTheFormerUnit()
    {
        Asker it;
        const CustomerLimit requests{.perSecond = 100'000, .burst = 100'000};
        CPPUNIT_ASSERT(it.request(9'200).verdict == LimitVerdict::Pending);
        it.answer(it.ask().id, {.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = 18'400});
        const auto granted = it.limits().takeDecisions(it.fleet.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, granted.size());
        const LimitDecision second = it.request(9'200);
        CPPUNIT_ASSERT(second.verdict == LimitVerdict::Granted);
        it.fleet.run(base::milliseconds{1});
        it.limits().configure(std::vector{NamedLimit{.customer = Customer, .limit = requests}}, {.slack = 1'000}, it.fleet.now());
        it.limits().refund(Customer, 9'200, second.usableUntil, it.fleet.now());
        CPPUNIT_ASSERT(it.request(1).verdict == LimitVerdict::Pending);
    }
    // The same for a request that was decided before the change, and cancelled before its decision was taken.
    void testCancelInTheFormerUnit()
    {
        Asker it;
        const CustomerLimit requests{.perSecond = 100'000, .burst = 100'000};
        const LimitDecision waits = it.request(9'200);
        CPPUNIT_ASSERT(waits.verdict == LimitVerdict::Pending);
        it.answer(it.ask().id, {.customer = it.key, .verdict = GrantVerdict::Granted, .tokens = 9'200});
        const base::TimePoint changed = it.fleet.now() + base::milliseconds{1};
        it.limits().configure(std::vector{NamedLimit{.customer = Customer, .limit = requests}}, {.slack = 1'000}, changed);
        it.limits().cancel(waits.ticket);
        CPPUNIT_ASSERT(it.limits().request(Customer, 1, changed).verdict == LimitVerdict::Pending);
    }
    // No cost without limits.
    void testOffWithoutLimits()
    {
        FleetOptions none = options();
        none.limits.clear();
        LimitFleet fleet(none);
        fleet.run(Settled);
        CustomerLimits &limits = *fleet.routers()[0].limits;
        CPPUNIT_ASSERT(limits.peers().empty());
        CPPUNIT_ASSERT(limits.takeMessages(fleet.now() + base::seconds{5}).empty()); // polls would be due
        CPPUNIT_ASSERT(limits.request(Customer, 1, fleet.now()).verdict == LimitVerdict::Granted);
    }

private:
    // A router that is not the coordinator; the test answers its messages.
    struct Asker
    {
        LimitFleet fleet{options()};
        CustomerKey key = base::hash64(Customer.value());
        std::size_t router = 0;

        Asker()
        {
            fleet.run(Settled);
            router = (fleet.coordinator(group()) + 1) % Routers;
        }
        CustomerLimits &limits()
        {
            return *fleet.routers()[router].limits;
        }
        LimitDecision request(std::uint32_t cost)
        {
            return limits().request(Customer, cost, fleet.now());
        }
        std::vector<LimitMessage> asks()
        {
            std::vector<LimitMessage> messages = limits().takeMessages(fleet.now());
            std::erase_if(messages, [](const LimitMessage &it) {
                return std::holds_alternative<SharePoll>(it.content);
            });
            return messages;
        }
        LimitMessage ask()
        {
            return asks().at(0);
        }
        void answer(std::uint64_t id, const TokenGrantEntry &entry)
        {
            limits().onGrant(id, {.entries = {entry}}, fleet.now());
        }
        static void assertRetry(std::int64_t expectedMs, const LimitDecision &decision)
        {
            CPPUNIT_ASSERT(decision.verdict == LimitVerdict::OverLimit);
            CPPUNIT_ASSERT(decision.retryAfter >= base::milliseconds{expectedMs});
            CPPUNIT_ASSERT(decision.retryAfter < base::milliseconds{expectedMs + 50});
        }
    };

    static void sevenTimes(const FleetOptions &options)
    {
        LimitFleet fleet(options);
        fleet.run(Settled);
        load(fleet, 7 * Usual.perSecond, base::seconds{20}, all(fleet));
        const base::TimePoint start = fleet.now();
        fleet.run(base::seconds{20});
        const double used = fleet.use(Customer).tokens(start, start + base::seconds{20}) / (20 * Usual.perSecond);
        std::uint64_t asks = 0;
        for (const LimitFleet::Router &it : fleet.routers()) {
            asks += it.limits->counts().asks;
        }
        std::cout << " used " << used << " of the limit, " << asks << " asks for " << fleet.use(Customer).asked << " requests,";
        CPPUNIT_ASSERT(used >= 0.9);
        assertWithinBound(fleet);
    }
    template <typename Fault>
    static void coordinatorFails(Fault &&fault)
    {
        LimitFleet fleet(options());
        fleet.run(Settled);
        load(fleet, 1.5 * Usual.perSecond, base::seconds{20}, all(fleet));
        fleet.run(base::seconds{5});
        const base::TimePoint failed = fleet.now();
        fault(fleet, fleet.coordinator(group()));
        fleet.run(base::seconds{15});
        const double used = fleet.use(Customer).tokens(failed + base::seconds{2}, failed + base::seconds{12}) / (10 * Usual.perSecond);
        const FleetUse &use = fleet.use(Customer);
        std::cout << " used " << used << " from 2 s after the failure, unavailable " << use.unavailable << " of " << use.asked;
        CPPUNIT_ASSERT(used >= 0.9 * (Routers - 1) / Routers);
        assertWithinBound(fleet);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerLimitsTest);

} // namespace carawaylatch::admission::testing
