// Leases of shares: every interleaving of few steps of one lender and two candidates, and
// single stale or unusual messages. quotafleettest.cpp tests whole fleets.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <numeric>
#include <sstream>
#include <string>
#include <string_view>
#include <variant>

#include "carawaylatch/admission/testing/lendingmodel.h"

namespace carawaylatch::admission::testing
{

namespace
{

// A candidate whose polls the test answers.
struct Borrower
{
    base::TimePoint now = Start;
    QuotaLeases leases{RoleKeys[BetterRole], 1, Start};

    Borrower()
    {
        leases.setRouters(RoleKeys, RoleCount, now);
    }
    // Returns the next poll of the lender.
    SharePoll poll()
    {
        for (;; now += milliseconds{1}) {
            for (const auto &[to, poll] : leases.duePolls(now)) {
                if (to == RoleKeys[LenderRole]) {
                    return poll;
                }
            }
        }
    }
    void answer(const SharePoll &poll, ShareAnswer answer)
    {
        answer.sender = RoleKeys[LenderRole];
        answer.pollIncarnation = poll.incarnation;
        answer.pollSequence = poll.sequence;
        answer.routers = std::max(answer.routers, 1U);
        leases.onAnswer(answer, now);
    }
    [[nodiscard]] bool holds() const
    {
        const auto owners = leases.heldFrom(ContestedGroup, now);
        return std::find(owners.begin(), owners.end(), RoleKeys[LenderRole]) != owners.end();
    }
};

struct PollOptions
{
    RouterKey sender = RoleKeys[BetterRole];
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    GroupMask groups = AllLimitGroups;
    base::Duration term = QuotaLeases::leaseTerm(RoleCount);
    base::Duration nextPoll = QuotaLeases::pollInterval(RoleCount);
    std::uint64_t lenderIncarnation = 0;
    std::uint64_t appliedAnswer = 0;
};

// A lender after its start delay; the test makes the polls.
struct LendingRouter
{
    static constexpr std::uint64_t Incarnation = 5;
    base::TimePoint now = Start;
    QuotaLeases leases{RoleKeys[LenderRole], Incarnation, Start};

    explicit LendingRouter(std::uint32_t count = RoleCount)
    {
        list(RoleKeys, count);
        now += QuotaLeases::startDelay(count) - milliseconds{1};
        poll({}); // a candidate that was there before the share was in use need not wait
        now += milliseconds{1};
    }
    void list(std::span<const RouterKey> routers, std::uint32_t count = RoleCount)
    {
        leases.setRouters(routers, count, now);
    }
    void list(std::initializer_list<RouterKey> routers)
    {
        list(std::span(routers.begin(), routers.size()));
    }
    ShareAnswer poll(const PollOptions &it)
    {
        return leases.onPoll({it.sender, it.incarnation, it.sequence + 1, it.groups, it.term, it.nextPoll, it.lenderIncarnation, it.appliedAnswer}, now);
    }
    [[nodiscard]] bool holdsOwn() const
    {
        return !leases.heldFrom(ContestedGroup, now).empty();
    }
};

struct MessageCase
{
    std::string_view name;
    bool (*isRight)();
};

void checkMessages(std::span<const MessageCase> cases)
{
    for (const MessageCase &it : cases) {
        CPPUNIT_ASSERT_MESSAGE(std::string(it.name), it.isRight());
    }
}

} // namespace

class QuotaLeasesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaLeasesTest);
    CPPUNIT_TEST(testSingleRouterHoldsEverything);
    CPPUNIT_TEST(testStartDelayOfLongerList);
    CPPUNIT_TEST(testEveryInterleaving);
    CPPUNIT_TEST(testEveryInterleavingAfterRestart);
    CPPUNIT_TEST(testStaleAnswers);
    CPPUNIT_TEST(testStalePolls);
    CPPUNIT_TEST(testPollsAreSpread);
    CPPUNIT_TEST_SUITE_END();

public:
    void testSingleRouterHoldsEverything()
    {
        QuotaLeases leases(1, 1, Start);
        const std::vector<RouterKey> routers{1};
        leases.setRouters(routers, 1, Start);
        const base::TimePoint usable = Start + QuotaLeases::startDelay(1);
        CPPUNIT_ASSERT_EQUAL(0.0, leases.heldShare(0, usable - milliseconds{1}));
        CPPUNIT_ASSERT(!leases.coordinator(0, usable - milliseconds{1}));
        CPPUNIT_ASSERT_EQUAL(1.0, leases.heldShare(0, usable));
        CPPUNIT_ASSERT_EQUAL(RouterKey{1}, leases.coordinator(0, usable).value());
        CPPUNIT_ASSERT(leases.duePolls(usable).empty());
        CPPUNIT_ASSERT(leases.peers().empty());
    }
    // A process that starts while the list is short: a former one may have lent for the term of the whole fleet, so a
    // share used after the delay of the short list would be in two places.
    void testStartDelayOfLongerList()
    {
        constexpr std::uint32_t Count = 300;
        std::vector<RouterKey> routers(Count);
        std::iota(routers.begin(), routers.end(), RouterKey{1});
        QuotaLeases leases(1, 1, Start);
        leases.setRouters(std::span(routers).first(1), 1, Start);
        leases.setRouters(routers, Count, Start + QuotaLeases::startDelay(1) + milliseconds{1});
        const base::TimePoint usable = Start + QuotaLeases::startDelay(Count);
        CPPUNIT_ASSERT_EQUAL(0.0, leases.heldShare(0, usable - milliseconds{1}));
        CPPUNIT_ASSERT(!leases.coordinator(0, usable - milliseconds{1}));
        CPPUNIT_ASSERT_EQUAL(1.0 / Count, leases.heldShare(0, usable));
    }

    // Guards against a share used twice after late, lost, repeated or reordered messages, restarts and changed lists.
    void testEveryInterleaving()
    {
        struct Case
        {
            std::string_view name;
            int settled = 0; // milliseconds for which the better candidate has polled, after the worse one borrowed
            ModelLimits limits;
            std::size_t depth = 0;
        };
        const std::array cases{
            Case{"share moves to the better candidate", 1000, {{150, 150, 150}, 6, 0, 0, 0}, 8},
            Case{"messages are repeated", 1000, {{150, 150, 150}, 4, 2, 0, 0}, 7},
            Case{"fast lender", 1000, {{303, 297, 297}, 6, 0, 0, 0}, 8},
            Case{"slow lender, repeated messages", 1000, {{297, 303, 303}, 4, 1, 0, 0}, 7},
            Case{"restarts", 1000, {{300, 300, 300}, 5, 0, 2, 0}, 7},
            Case{"restarts, long pauses", 0, {{900, 900, 900}, 4, 1, 2, 0}, 7},
            Case{"lists change", 1000, {{150, 150, 150}, 4, 0, 0, 3}, 7},
            Case{"lists change, repeated messages", 0, {{300, 300, 300}, 3, 1, 0, 3}, 7},
        };
        for (const Case &it : cases) {
            LendingModel model(it.limits);
            model.settle({WorseRole}, milliseconds{2000});
            CPPUNIT_ASSERT(model.holdsLendersShare(WorseRole, ContestedGroup));
            model.settle({WorseRole, BetterRole}, milliseconds{it.settled});
            CPPUNIT_ASSERT(model.holdsLendersShare(WorseRole, ContestedGroup));
            const auto result = carawaylatch::testing::explore(model, it.depth);
            std::cout << "\n  " << it.name << ": " << result.states << " states" << std::flush;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(it.name), std::string(), result.violation);
            model.settle({WorseRole, BetterRole}, milliseconds{2000});
            CPPUNIT_ASSERT(model.holdsLendersShare(BetterRole, ContestedGroup));
        }
    }

    // Guards against a restarted lender that uses its share before both candidates have dropped it for good.
    void testEveryInterleavingAfterRestart()
    {
        struct Case
        {
            std::string_view name;
            ModelLimits limits;
            std::size_t depth = 0;
        };
        const std::array cases{
            Case{"late poll and answer", {{50, 50, 50}, 3, 0, 0, 0}, 8},
            Case{"late and repeated messages", {{50, 50, 50}, 2, 1, 0, 0}, 7},
            Case{"further restarts", {{50, 50, 50}, 2, 0, 2, 0}, 7},
        };
        for (const Case &it : cases) {
            LendingModel model(it.limits);
            model.settle({WorseRole, BetterRole}, milliseconds{4000});
            CPPUNIT_ASSERT(model.holdsLendersShare(BetterRole, ContestedGroup));
            model.restartLender(milliseconds{300});
            CPPUNIT_ASSERT(!model.holdsLendersShare(LenderRole, ContestedGroup)); // the better candidate has not confirmed
            const auto result = carawaylatch::testing::explore(model, it.depth);
            std::cout << "\n  " << it.name << ": " << result.states << " states" << std::flush;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(it.name), std::string(), result.violation);
            model.settle({WorseRole, BetterRole}, milliseconds{400}); // less than the start delay
            CPPUNIT_ASSERT(model.holdsLendersShare(BetterRole, ContestedGroup));
        }
    }

    // Guards against each answer that a borrower must not believe, or not entirely.
    void testStaleAnswers()
    {
        const std::array cases{
            MessageCase{"an answer before the last applied one",
                        [] {
                            Borrower borrower;
                            const SharePoll first = borrower.poll();
                            const SharePoll second = borrower.poll();
                            borrower.answer(second, {.incarnation = 1, .sequence = 2, .lent = 0});
                            borrower.answer(first, {.incarnation = 1, .sequence = 1, .lent = AllLimitGroups});
                            return !borrower.holds();
                        }},
            MessageCase{"an answer of a former lender process",
                        [] {
                            Borrower borrower;
                            const SharePoll first = borrower.poll();
                            const SharePoll second = borrower.poll();
                            borrower.answer(second, {.incarnation = 2, .sequence = 1, .lent = 0});
                            borrower.answer(first, {.incarnation = 1, .sequence = 9, .lent = AllLimitGroups});
                            return !borrower.holds();
                        }},
            MessageCase{"an answer of a former lender process to a poll that overtook the one which the new process answered",
                        [] {
                            Borrower borrower;
                            const SharePoll first = borrower.poll();
                            const SharePoll second = borrower.poll();
                            borrower.answer(first, {.incarnation = 2, .sequence = 1, .lent = 0});
                            borrower.answer(second, {.incarnation = 1, .sequence = 9, .lent = AllLimitGroups});
                            return !borrower.holds();
                        }},
            MessageCase{"an answer to a poll with a longer term than a later one",
                        [] {
                            Borrower borrower;
                            borrower.leases.setRouters(RoleKeys, 300, borrower.now);
                            const SharePoll first = borrower.poll();
                            borrower.leases.setRouters(RoleKeys, RoleCount, borrower.now);
                            const SharePoll second = borrower.poll();
                            borrower.answer(first, {.incarnation = 1, .sequence = 1, .lent = AllLimitGroups});
                            const bool isHeld = borrower.holds();
                            borrower.now += second.term;
                            return first.term > second.term && isHeld && !borrower.holds();
                        }},
            MessageCase{"lists that differ",
                        [] {
                            Borrower borrower;
                            const SharePoll poll = borrower.poll();
                            borrower.answer(poll, {.sender = RoleKeys[LenderRole], .incarnation = 1, .sequence = 1, .lent = AllLimitGroups, .routers = 1});
                            borrower.now += QuotaLeases::startDelay(RoleCount);
                            const SharePoll next = borrower.poll();
                            borrower.answer(next, {.incarnation = 1, .sequence = 2, .lent = AllLimitGroups, .routers = 1});
                            return borrower.leases.heldShare(ContestedGroup, borrower.now) == 1.0;
                        }},
        };
        checkMessages(cases);
    }

    // Guards against each poll that a lender must not believe, or not entirely.
    void testStalePolls()
    {
        const std::array cases{
            MessageCase{"an older poll that no later one extended",
                        [] {
                            LendingRouter lender;
                            lender.poll({.sequence = 1});
                            lender.list({RoleKeys[LenderRole], RoleKeys[WorseRole]});
                            lender.poll({.sequence = 3});
                            lender.list(RoleKeys);
                            return lender.poll({.sequence = 2}).lent == 0;
                        }},
            MessageCase{"an older poll without the group",
                        [] {
                            LendingRouter lender;
                            lender.poll({.sequence = 2});
                            return lender.poll({.sequence = 1, .groups = 0}).lent == 0 && !lender.holdsOwn();
                        }},
            MessageCase{"an applied answer of a former lender process",
                        [] {
                            LendingRouter lender;
                            lender.poll({.sequence = 1});
                            lender.list({RoleKeys[LenderRole], RoleKeys[WorseRole]});
                            lender.poll({.sequence = 2, .lenderIncarnation = LendingRouter::Incarnation + 1, .appliedAnswer = 9});
                            return !lender.holdsOwn();
                        }},
            MessageCase{"an applied answer of a router that is no longer listed",
                        [] {
                            LendingRouter lender;
                            lender.poll({.sequence = 1});
                            lender.list({RoleKeys[LenderRole], RoleKeys[WorseRole]});
                            const ShareAnswer none = lender.poll({.sequence = 2});
                            const bool isLent = !lender.holdsOwn();
                            lender.poll({.sequence = 3, .lenderIncarnation = none.incarnation, .appliedAnswer = none.sequence});
                            return none.lent == 0 && isLent && lender.holdsOwn();
                        }},
            MessageCase{"a new process of the borrower, while the former one may use the share",
                        [] {
                            LendingRouter lender;
                            lender.poll({.sequence = 1});
                            const ShareAnswer answer = lender.poll({.incarnation = 2, .sequence = 1});
                            lender.poll({.incarnation = 2, .sequence = 2, .groups = 0});
                            return answer.lent == 0 && !lender.holdsOwn();
                        }},
            MessageCase{"a shorter term after a longer one",
                        [] {
                            LendingRouter lender(300);
                            lender.poll({.sequence = 1, .term = QuotaLeases::leaseTerm(300)});
                            lender.poll({.sequence = 2});
                            lender.now += QuotaLeases::leaseTerm(300);
                            return !lender.holdsOwn();
                        }},
            MessageCase{"a term that the start delay does not cover",
                        [] {
                            LendingRouter lender;
                            return lender.poll({.sequence = 1, .term = QuotaLeases::leaseTerm(300)}).lent == 0;
                        }},
            MessageCase{"a term above the longest one",
                        [] {
                            LendingRouter lender(3000);
                            const GroupMask lent = lender.poll({.sequence = 1, .term = base::hours{1}}).lent;
                            lender.now += QuotaLeases::MaxTerm;
                            const bool isLent = !lender.holdsOwn();
                            lender.now += QuotaLeases::lentTime(QuotaLeases::MaxTerm) - QuotaLeases::MaxTerm;
                            return lent != 0 && isLent && lender.holdsOwn();
                        }},
            MessageCase{"a candidate that promises a poll in an hour",
                        [] {
                            LendingRouter lender;
                            lender.poll({.sequence = 1, .nextPoll = base::hours{1}});
                            lender.now += base::seconds{26};
                            lender.poll({.sender = RoleKeys[WorseRole], .sequence = 1, .nextPoll = base::seconds{1}});
                            lender.now += base::seconds{1};
                            return (lender.poll({.sender = RoleKeys[WorseRole], .sequence = 2}).lent >> ContestedGroup & 1U) == 1;
                        }},
            MessageCase{"polls of unknown routers and of the lender itself",
                        [] {
                            LendingRouter lender;
                            const std::size_t before = lender.leases.stateText(lender.now).size();
                            const GroupMask lentToItself = lender.poll({.sender = RoleKeys[LenderRole], .sequence = 1}).lent;
                            const GroupMask lent = lentToItself | lender.poll({.sender = 77, .sequence = 1}).lent;
                            return lent == 0 && lender.holdsOwn() && lender.leases.stateText(lender.now).size() == before;
                        }},
        };
        checkMessages(cases);
    }

    // Guards against bursts of polls to all lenders at once, and against more polls than the design states.
    void testPollsAreSpread()
    {
        for (const std::uint32_t n : {40U, 300U}) {
            std::vector<RouterKey> routers(n);
            std::iota(routers.begin(), routers.end(), 1);
            for (const RouterKey self : routers) {
                QuotaLeases leases(self, 1, Start);
                leases.setRouters(routers, n, Start);
                std::size_t most = 0;
                std::size_t total = 0;
                for (int i = 0; i < 500; ++i) {
                    const std::size_t polls = leases.duePolls(Start + i * milliseconds{10}).size();
                    most = std::max(most, polls);
                    total += polls;
                }
                const double steps = base::toSeconds(QuotaLeases::pollInterval(n)) * 100;
                CPPUNIT_ASSERT(static_cast<double>(most) <= n / steps + 2);
                CPPUNIT_ASSERT(static_cast<double>(total) <= 500.0 * n / steps);
                CPPUNIT_ASSERT(total > 0 || leases.peers().size() <= QuotaLeases::MaxCandidates * LimitGroups);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLeasesTest);

} // namespace carawaylatch::admission::testing
