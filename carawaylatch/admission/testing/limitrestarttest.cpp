// Customers' limits after all routers of a fleet were killed and started again: how long
// shares cannot be used, and what requests are told meanwhile.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <numeric>
#include <vector>

#include "carawaylatch/admission/startdelay.h"
#include "carawaylatch/admission/testing/limitfleet.h"

namespace carawaylatch::admission::testing
{

namespace
{

using base::milliseconds;

constexpr std::size_t Routers = 35;
constexpr base::Duration Settled = base::seconds{6}; // start delay, first leases, full buckets
constexpr base::Duration Down = milliseconds{500};
constexpr base::Duration Together = milliseconds{350}; // from the start of the processes until shares are together
const base::CustomerId Customer("acme");

FleetOptions options(std::uint64_t seed)
{
    return {.routers = Routers,
            .seed = seed,
            .leastDelay = base::microseconds{200},
            .longestDelay = milliseconds{3},
            .limits = {{.customer = Customer, .limit = {.unit = LimitUnit::Tokens, .perSecond = 46'000, .burst = 46'000}}}};
}

void killAll(LimitFleet &fleet)
{
    for (std::size_t n = 0; n < fleet.routers().size(); ++n) {
        fleet.kill(n);
    }
}

void startAll(LimitFleet &fleet)
{
    for (std::size_t n = 0; n < fleet.routers().size(); ++n) {
        fleet.start(n);
        fleet.listRouters(n);
    }
}

// The part of a group's limits that its coordinator holds.
double heldByCoordinator(LimitFleet &fleet, std::uint32_t group)
{
    return fleet.routers()[fleet.coordinator(group)].limits->heldShare(group, fleet.now());
}

// The start delay of router 1.
struct Starting
{
    static constexpr std::uint64_t Incarnation = 7;
    static constexpr base::Duration Delay = milliseconds{850};
    base::TimePoint now{base::hours{1}};
    StartDelay delay{1, Incarnation, now};
    LimitCandidates fleet;

    void list(std::initializer_list<RouterKey> routers)
    {
        fleet = LimitCandidates(std::span(routers.begin(), routers.size()), 1, QuotaLeases::MaxCandidates);
        delay.setRouters(fleet, Delay, now);
    }
    void poll(const SharePoll &poll)
    {
        delay.onPoll(poll, fleet, now);
    }
    void confirm(RouterKey sender)
    {
        poll({.sender = sender, .lenderIncarnation = Incarnation, .appliedAnswer = 1});
    }
    [[nodiscard]] bool hasEnded() const
    {
        return now >= delay.end(0);
    }
};

} // namespace

class LimitRestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitRestartTest);
    CPPUNIT_TEST(testSharesAreTogether);
    CPPUNIT_TEST(testChangedListNeedsNewConfirmations);
    CPPUNIT_TEST(testUnconfirmedDelayStays);
    CPPUNIT_TEST(testRequestsWait);
    CPPUNIT_TEST(testRetryIsTheRestOfTheDelay);
    CPPUNIT_TEST(testRetryAfterLostBorrower);
    CPPUNIT_TEST_SUITE_END();

public:
    // All routers are killed and started at once: every request of a customer with a limit was refused for 850 ms.
    void testSharesAreTogether()
    {
        base::Duration longest{};
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            LimitFleet fleet(options(seed));
            fleet.run(Settled);
            killAll(fleet);
            fleet.run(Down);
            startAll(fleet);
            const base::TimePoint started = fleet.now();
            for (std::uint32_t group = 0; group < LimitGroups; ++group) {
                while (heldByCoordinator(fleet, group) < 0.999 && fleet.now() < started + base::seconds{3}) {
                    fleet.run(milliseconds{5});
                }
            }
            longest = std::max(longest, fleet.now() - started);
            const auto lasted = fleet.routers()[0].limits->startDelayLasted(fleet.now());
            CPPUNIT_ASSERT(lasted && *lasted <= Together);
        }
        std::cout << " shares together after " << base::toMilliseconds(longest) << " ms";
        CPPUNIT_ASSERT(longest <= Together);
    }
    // A lease of the earlier process may be with a candidate that only the new list names.
    void testChangedListNeedsNewConfirmations()
    {
        Starting it;
        it.list({1, 2, 3});
        it.confirm(2);
        it.list({1, 2, 3, 4});
        it.confirm(3);
        it.confirm(4);
        CPPUNIT_ASSERT(!it.hasEnded());
        it.confirm(2);
        CPPUNIT_ASSERT(it.hasEnded());
        it.list({1, 2, 3, 4}); // unchanged
        CPPUNIT_ASSERT(it.hasEnded());
        it.list({1, 2, 3, 4, 5});
        CPPUNIT_ASSERT(!it.hasEnded());
        it.now += Starting::Delay;
        CPPUNIT_ASSERT(it.hasEnded());
        it.list({1, 2, 3});
        CPPUNIT_ASSERT(it.hasEnded());
        it.now += milliseconds{1};
        it.confirm(2);
        it.confirm(3);
        CPPUNIT_ASSERT(it.delay.lasted(it.now) == Starting::Delay);
    }
    // A candidate that is cut off, answers of an earlier process and a list without others prove nothing.
    void testUnconfirmedDelayStays()
    {
        Starting it;
        it.list({1});
        it.confirm(2); // not listed
        CPPUNIT_ASSERT(!it.hasEnded());
        it.list({1, 2, 3});
        it.confirm(2); // 3 is cut off
        it.poll({.sender = 3, .lenderIncarnation = Starting::Incarnation - 1, .appliedAnswer = 9});
        it.poll({.sender = 3}); // a new process, which has no answer yet
        it.poll({.sender = 3, .lenderIncarnation = Starting::Incarnation}); // names no answer
        CPPUNIT_ASSERT(!it.hasEnded());
        CPPUNIT_ASSERT(!it.delay.lasted(it.now));
        it.now += milliseconds{20};
        it.confirm(3);
        CPPUNIT_ASSERT(it.hasEnded());
        it.now += Starting::Delay;
        it.list({1, 2, 3, 4}); // the delay has ended before
        CPPUNIT_ASSERT(it.delay.lasted(it.now) == milliseconds{20});
    }
    // Requests that arrived while the coordinator was being determined were refused at once, though it was known soon.
    void testRequestsWait()
    {
        LimitFleet fleet(options(1));
        fleet.run(Settled);
        killAll(fleet);
        fleet.run(Down);
        startAll(fleet);
        fleet.run(milliseconds{150}); // some shares are not usable yet
        for (std::size_t n = 0; n < Routers; ++n) {
            fleet.request({.router = n, .customer = Customer, .cost = 100});
        }
        fleet.run(base::Duration{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.use(Customer).unavailable);
        CPPUNIT_ASSERT(fleet.use(Customer).pending > 0);
        fleet.run(base::seconds{1});
        const FleetUse &use = fleet.use(Customer);
        std::cout << " pending " << use.pending << ", granted " << use.granted.size() << ", unavailable " << use.unavailable;
        CPPUNIT_ASSERT(use.granted.size() + use.overLimit >= Routers - Routers / 10);
    }
    // Callers were told to come back after 400 to 600 ms, also where the start delay was shorter or longer.
    void testRetryIsTheRestOfTheDelay()
    {
        LimitFleet fleet(options(1));
        killAll(fleet);
        fleet.start(0); // no candidate answers it
        fleet.listRouters(0);
        CustomerLimits &limits = *fleet.routers()[0].limits;
        const base::TimePoint started = fleet.now();
        const base::Duration usable = QuotaLeases::startDelay(Routers) + QuotaLeases::pollInterval(Routers);
        const auto retryOfRequestAt = [&](base::Duration at) {
            CPPUNIT_ASSERT(limits.request(Customer, 1, started + at).verdict == LimitVerdict::Pending);
            const auto decisions = limits.takeDecisions(started + at + CustomerLimits::AskTimeout);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
            CPPUNIT_ASSERT(decisions[0].decision.verdict == LimitVerdict::Unavailable);
            return decisions[0].decision.retryAfter;
        };
        for (const base::Duration at : {milliseconds{0}, milliseconds{200}, milliseconds{550}}) {
            const base::Duration rest = usable - at - CustomerLimits::AskTimeout;
            const base::Duration retry = retryOfRequestAt(at);
            CPPUNIT_ASSERT(retry >= rest && retry <= rest * 4 / 3);
        }
        // Callers that were refused at the same time do not all come back at the same time.
        CPPUNIT_ASSERT(retryOfRequestAt(milliseconds{10}) - retryOfRequestAt(milliseconds{10}) != base::Duration{});
    }
    // Callers were told a time that ended before the term of a lost borrower, and were refused again.
    void testRetryAfterLostBorrower()
    {
        constexpr std::uint32_t Many = 300; // terms are long enough that the rest is above the least retry
        std::vector<RouterKey> routers(Many);
        std::iota(routers.begin(), routers.end(), RouterKey{1});
        const LimitCandidates fleet(routers, Many, QuotaLeases::MaxCandidates);
        const auto self = *std::find_if(routers.begin(), routers.end(), [&fleet](RouterKey it) {
            return fleet.groupsOf(it) == 0;
        });
        base::TimePoint now{base::hours{1}};
        CustomerLimits limits(self, 1, 1, now);
        limits.configure(options(1).limits, FleetOptions{}.tolerance, now);
        limits.setRouters(routers, Many, now);
        now += QuotaLeases::startDelay(Many);
        const std::uint32_t group = limitGroup(base::hash64(Customer.value()));
        const base::Duration interval = QuotaLeases::pollInterval(Many);
        const base::Duration term = QuotaLeases::leaseTerm(Many);
        const SharePoll poll{
            .sender = fleet.candidates.at(group)[0], .incarnation = 1, .sequence = 1, .groups = AllLimitGroups, .term = term, .nextPoll = interval};
        CPPUNIT_ASSERT(hasGroup(limits.onPoll(poll, now).lent, group));
        const base::TimePoint until = now + QuotaLeases::lentTime(term);
        now += interval * 5 / 2 + milliseconds{1}; // the borrower is heard of no more
        CPPUNIT_ASSERT(limits.request(Customer, 1, now).verdict == LimitVerdict::Pending);
        now += CustomerLimits::AskTimeout;
        const auto decisions = limits.takeDecisions(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions[0].decision.verdict == LimitVerdict::Unavailable);
        CPPUNIT_ASSERT(decisions[0].decision.retryAfter >= until - now && decisions[0].decision.retryAfter <= (until - now) * 4 / 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitRestartTest);

} // namespace carawaylatch::admission::testing
