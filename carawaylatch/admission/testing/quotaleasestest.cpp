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

#include "carawaylatch/admission/quotaleases.h"
#include "testing/explorer.h"

namespace carawaylatch::admission::testing
{

namespace
{

using base::milliseconds;

constexpr base::TimePoint Start{base::hours{1}};

struct Message
{
    RouterKey to = 0;
    std::variant<SharePoll, ShareAnswer> body;
};

std::string text(const Message &message)
{
    std::ostringstream out;
    if (const auto *poll = std::get_if<SharePoll>(&message.body)) {
        out << "p" << poll->sender << ',' << poll->incarnation << ',' << poll->sequence << ',' << poll->groups << ',' << poll->nextPoll.count() << ','
            << poll->lenderIncarnation << ',' << poll->appliedAnswer;
    } else {
        const auto &answer = std::get<ShareAnswer>(message.body);
        out << "a" << message.to << ',' << answer.incarnation << ',' << answer.sequence << ',' << answer.pollIncarnation << ',' << answer.pollSequence << ','
            << answer.lent;
    }
    return out.str();
}

// One lender and two candidates. Each message is delivered at any time, or never.
enum Role : std::size_t {
    LenderRole,
    BetterRole,
    WorseRole,
    RoleCount
};
constexpr std::array<RouterKey, RoleCount> RoleKeys{1, 2, 3};
constexpr std::uint32_t ContestedGroup = 3; // with these keys its order is better candidate, worse candidate, lender
constexpr std::array<std::string_view, RoleCount> RoleNames{"lender", "better candidate", "worse candidate"};

struct ModelLimits
{
    std::array<int, RoleCount> tick{}; // milliseconds by which each clock advances
    int ticks = 0;
    int duplicates = 0;
    int restarts = 0;
    int listChanges = 0;
};

class LendingModel
{
public:
    static constexpr std::size_t MaxMessages = 3; // on the way at once; the oldest is lost

    explicit LendingModel(ModelLimits limits)
        : m_remaining(limits)
    {
        for (const RouterKey it : RoleKeys) {
            m_nodes.push_back({QuotaLeases(it, 1, Start), 1, Start});
            m_nodes.back().leases.setRouters(RoleKeys, RoleCount, Start);
        }
    }

    // Lets candidates poll the lender without faults. Polls that are due at the end are not sent.
    void settle(std::initializer_list<Role> candidates, milliseconds duration)
    {
        for (milliseconds step{0}; step < duration; step += milliseconds{10}) {
            for (const Role it : candidates) {
                if (const auto poll = pollOf(m_nodes[it])) {
                    m_nodes[it].leases.onAnswer(m_nodes[LenderRole].leases.onPoll(*poll, m_nodes[LenderRole].now), m_nodes[it].now);
                }
            }
            for (Node &it : m_nodes) {
                it.now += milliseconds{10};
            }
        }
    }

    using Transitions = std::vector<carawaylatch::testing::Transition<LendingModel>>;

    Transitions transitions() const
    {
        Transitions result;
        if (m_remaining.ticks > 0) {
            LendingModel next = *this;
            --next.m_remaining.ticks;
            for (std::size_t i = 0; i < RoleCount; ++i) {
                next.m_nodes[i].now += milliseconds{m_remaining.tick[i]};
            }
            result.push_back({"tick", std::move(next)});
        }
        for (std::size_t i = 0; i < RoleCount; ++i) {
            addSteps(result, i);
        }
        for (std::size_t i = 0; i < m_messages.size(); ++i) {
            LendingModel next = *this;
            next.m_messages.erase(next.m_messages.begin() + static_cast<std::ptrdiff_t>(i));
            next.deliver(m_messages[i]);
            result.push_back({"arrives: " + text(m_messages[i]), std::move(next)});
            if (m_remaining.duplicates > 0) {
                LendingModel twice = *this;
                --twice.m_remaining.duplicates;
                twice.deliver(m_messages[i]);
                result.push_back({"a copy arrives: " + text(m_messages[i]), std::move(twice)});
            }
        }
        return result;
    }

    std::string violation() const
    {
        for (std::uint32_t group = 0; group < LimitGroups; ++group) {
            int holders = 0;
            for (const Node &it : m_nodes) {
                const auto owners = it.leases.heldFrom(group, it.now);
                holders += static_cast<int>(std::count(owners.begin(), owners.end(), RoleKeys[LenderRole]));
            }
            if (holders > 1) {
                return "two routers may use the lender's share of group " + std::to_string(group);
            }
        }
        return {};
    }

    std::string key() const
    {
        std::string key;
        for (const Node &it : m_nodes) {
            key += it.leases.stateText(it.now) + '#' + std::to_string(it.now.time_since_epoch().count()) + '#';
        }
        std::vector<std::string> messages;
        for (const Message &it : m_messages) {
            messages.push_back(text(it));
        }
        for (const std::string &it : messages) {
            key += it + '/';
        }
        std::ostringstream out;
        out << m_remaining.ticks << ',' << m_remaining.duplicates << ',' << m_remaining.restarts << ',' << m_remaining.listChanges;
        return key + out.str();
    }

    [[nodiscard]] bool holdsLendersShare(Role role, std::uint32_t group) const
    {
        const auto owners = m_nodes[role].leases.heldFrom(group, m_nodes[role].now);
        return std::find(owners.begin(), owners.end(), RoleKeys[LenderRole]) != owners.end();
    }

private:
    struct Node
    {
        QuotaLeases leases;
        std::uint64_t incarnation = 1;
        base::TimePoint now;
        bool isListed = true; // by itself
    };

    static std::optional<SharePoll> pollOf(Node &node)
    {
        for (const auto &[to, poll] : node.leases.duePolls(node.now)) {
            if (to == RoleKeys[LenderRole]) {
                return poll;
            }
        }
        return std::nullopt;
    }

    void send(const Message &message)
    {
        if (m_messages.size() == MaxMessages) {
            m_messages.erase(m_messages.begin());
        }
        m_messages.push_back(message);
    }

    void deliver(const Message &message)
    {
        Node &node = m_nodes[message.to - 1];
        if (const auto *poll = std::get_if<SharePoll>(&message.body)) {
            send({poll->sender, node.leases.onPoll(*poll, node.now)});
        } else {
            node.leases.onAnswer(std::get<ShareAnswer>(message.body), node.now);
        }
    }

    void addSteps(Transitions &result, std::size_t index) const
    {
        const std::string name(RoleNames[index]);
        if (index != LenderRole) {
            LendingModel next = *this;
            if (const auto poll = pollOf(next.m_nodes[index])) {
                next.send({RoleKeys[LenderRole], *poll});
                result.push_back({name + " polls: " + text(next.m_messages.back()), std::move(next)});
            }
        }
        if (m_remaining.restarts > 0) {
            LendingModel next = *this;
            --next.m_remaining.restarts;
            Node &node = next.m_nodes[index];
            node = {QuotaLeases(RoleKeys[index], node.incarnation + 1, node.now), node.incarnation + 1, node.now, true};
            node.leases.setRouters(RoleKeys, RoleCount, node.now);
            result.push_back({name + " restarts", std::move(next)});
        }
        if (m_remaining.listChanges > 0) {
            LendingModel next = *this;
            --next.m_remaining.listChanges;
            next.changeList(index);
            result.push_back({name + " changes its list", std::move(next)});
        }
    }

    // A candidate learns that it is not listed, or again that it is; the lender the same of the worse candidate.
    void changeList(std::size_t index)
    {
        Node &node = m_nodes[index];
        node.isListed = !node.isListed;
        std::vector<RouterKey> routers(RoleKeys.begin(), RoleKeys.end());
        if (!node.isListed) {
            std::erase(routers, RoleKeys[index == LenderRole ? WorseRole : index]);
        }
        node.leases.setRouters(routers, RoleCount, node.now);
    }

    std::vector<Node> m_nodes;
    std::vector<Message> m_messages;
    ModelLimits m_remaining;
};

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
