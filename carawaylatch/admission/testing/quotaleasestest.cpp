// Leases of shares: every interleaving of few steps, generated runs of whole fleets with
// faults, and single failures with the times that the design states. In all of them no
// share may be usable by two routers at once.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <numeric>
#include <sstream>
#include <string_view>
#include <variant>

#include "carawaylatch/admission/quotaleases.h"
#include "carawaylatch/base/hash.h"
#include "testing/explorer.h"
#include "testing/seed.h"

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

    void send(Message message)
    {
        if (m_messages.size() == MaxMessages) {
            m_messages.erase(m_messages.begin());
        }
        m_messages.push_back(std::move(message));
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

// Routers with clocks of different rates over a network with faults, in virtual time.
class Fleet
{
public:
    static constexpr milliseconds Step{5};

    struct Faults
    {
        double loss = 0;
        double duplicate = 0;
        double late = 0; // by up to three seconds
    };

    Fleet(std::size_t routers, std::uint64_t seed)
        : m_random(seed)
    {
        for (RouterKey key = 1; key <= routers; ++key) {
            m_listed.push_back(key);
        }
        for (const RouterKey it : m_listed) {
            restart(it);
        }
    }

    [[nodiscard]] base::Duration now() const
    {
        return m_now;
    }
    base::Random &random()
    {
        return m_random;
    }
    std::vector<RouterKey> &listed()
    {
        return m_listed;
    }
    void setFaults(Faults faults)
    {
        m_faults = faults;
    }

    void restart(RouterKey key)
    {
        Router &router = m_routers[key];
        router.rate = router.rate == 0 ? 0.99 + 0.02 * m_random.uniformReal() : router.rate;
        router.isFrozen = false;
        router.leases.emplace(key, ++m_incarnation, clock(router));
        updateList(key);
    }
    void kill(RouterKey key)
    {
        m_routers[key].leases.reset();
    }
    void freeze(RouterKey key)
    {
        m_routers[key].isFrozen = true;
    }
    void resume(RouterKey key)
    {
        m_routers[key].isFrozen = false;
    }
    void cutOff(RouterKey key)
    {
        m_routers[key].side = 1;
    }
    void heal(RouterKey key)
    {
        m_routers[key].side = 0;
    }
    void stop(RouterKey key)
    {
        if (m_routers[key].leases) {
            m_routers[key].leases->stop();
        }
    }
    void updateList(RouterKey key)
    {
        Router &router = m_routers[key];
        if (router.leases && !router.isFrozen) {
            router.leases->setRouters(m_listed, static_cast<std::uint32_t>(m_listed.size()), clock(router));
        }
    }
    void updateLists()
    {
        for (const auto &[key, router] : m_routers) {
            updateList(key);
        }
    }
    void removeFromLists(RouterKey key)
    {
        std::erase(m_listed, key);
        updateLists();
    }

    void step()
    {
        m_now += Step;
        for (auto it = m_messages.begin(); it != m_messages.end() && it->first <= m_now;) {
            const Message message = it->second;
            it = m_messages.erase(it);
            deliver(message);
        }
        for (auto &[key, router] : m_routers) {
            if (router.leases && !router.isFrozen) {
                for (const auto &[to, poll] : router.leases->duePolls(clock(router))) {
                    send(router.side, {to, poll});
                }
            }
        }
        checkEachShareIsAtOnePlace();
    }
    void advance(base::Duration duration)
    {
        for (const base::Duration end = m_now + duration; m_now < end;) {
            step();
        }
    }

    [[nodiscard]] std::vector<RouterKey> heldBy(RouterKey key, std::uint32_t group) const
    {
        const Router &router = m_routers.at(key);
        return router.leases ? router.leases->heldFrom(group, clock(router)) : std::vector<RouterKey>{};
    }
    // Returns the router with this number of shares, all of which count.
    [[nodiscard]] std::optional<RouterKey> holderOfAll(std::uint32_t group, std::size_t shares) const
    {
        for (const auto &[key, router] : m_routers) {
            if (!router.isFrozen && heldBy(key, group).size() == shares) {
                const double share = router.leases->heldShare(group, clock(router));
                const double expected = static_cast<double>(shares) / static_cast<double>(m_listed.size());
                return std::abs(share - expected) < 1e-9 ? std::optional(key) : std::nullopt;
            }
        }
        return std::nullopt;
    }
    [[nodiscard]] RouterKey routerOtherThan(RouterKey key) const
    {
        return key == m_listed.front() ? m_listed.back() : m_listed.front();
    }
    void checkCoordinator(std::uint32_t group, RouterKey coordinator) const
    {
        for (const RouterKey it : m_listed) {
            const Router &router = m_routers.at(it);
            CPPUNIT_ASSERT(router.leases->coordinator(group, clock(router)) == coordinator);
        }
    }

private:
    struct Router
    {
        std::optional<QuotaLeases> leases; // nothing if killed
        double rate = 0; // of its clock
        bool isFrozen = false;
        int side = 0; // routers of different sides cannot reach each other
        std::vector<Message> unread; // arrived while frozen
    };

    // Clocks also differ by a constant.
    [[nodiscard]] base::TimePoint clock(const Router &router) const
    {
        return Start + base::fromSeconds(1000 * router.rate) + base::fromSeconds(base::toSeconds(m_now) * router.rate);
    }

    void send(int side, const Message &message)
    {
        const auto to = m_routers.find(message.to);
        if (to == m_routers.end() || to->second.side != side || m_random.uniformReal() < m_faults.loss) {
            return;
        }
        const int copies = m_random.uniformReal() < m_faults.duplicate ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const bool isLate = m_random.uniformReal() < m_faults.late;
            m_messages.emplace(m_now + milliseconds{m_random.below(isLate ? 3000 : 15)}, message);
        }
    }

    void deliver(const Message &message)
    {
        Router &router = m_routers[message.to];
        if (!router.leases) {
            router.unread.clear();
            return;
        }
        if (router.isFrozen) {
            router.unread.push_back(message);
            return;
        }
        for (const Message &it : std::exchange(router.unread, {})) {
            handle(router, it);
        }
        handle(router, message);
    }
    void handle(Router &router, const Message &message)
    {
        if (const auto *poll = std::get_if<SharePoll>(&message.body)) {
            send(router.side, {poll->sender, router.leases->onPoll(*poll, clock(router))});
        } else {
            router.leases->onAnswer(std::get<ShareAnswer>(message.body), clock(router));
        }
    }

    void checkEachShareIsAtOnePlace() const
    {
        for (std::uint32_t group = 0; group < LimitGroups; ++group) {
            std::map<RouterKey, RouterKey> holders;
            for (const auto &[key, router] : m_routers) {
                for (const RouterKey it : heldBy(key, group)) {
                    const auto [holder, isNew] = holders.emplace(it, key);
                    CPPUNIT_ASSERT_MESSAGE("router " + std::to_string(it) + "'s share of group " + std::to_string(group) + " is at routers "
                                               + std::to_string(holder->second) + " and " + std::to_string(key) + " at "
                                               + std::to_string(base::toMilliseconds(m_now)) + " ms",
                                           isNew);
                }
            }
        }
    }

    base::Random m_random;
    std::map<RouterKey, Router> m_routers;
    std::multimap<base::Duration, Message> m_messages; // by time of arrival
    std::vector<RouterKey> m_listed;
    std::uint64_t m_incarnation = 0;
    base::Duration m_now{};
    Faults m_faults;
};

// A fleet with random faults, followed by calm.
class GeneratedRun
{
public:
    explicit GeneratedRun(std::uint64_t seed)
        : m_fleet(3 + base::Random(seed).below(38), seed)
        , m_nextRouter(m_fleet.listed().size() + 1)
    {
    }

    void run()
    {
        base::Random &random = m_fleet.random();
        for (int i = 0; i < 40; ++i) {
            m_fleet.setFaults({0.3 * random.uniformReal(), 0.2 * random.uniformReal(), 0.3 * random.uniformReal() * random.uniformReal()});
            const std::uint64_t events = random.below(4);
            for (std::uint64_t j = 0; j < events; ++j) {
                fault();
            }
            m_fleet.advance(milliseconds{random.below(600)});
        }
        calm();
    }

private:
    void fault()
    {
        using Action = void (Fleet::*)(RouterKey);
        constexpr std::array<Action, 10> Actions{&Fleet::restart, &Fleet::restart, &Fleet::kill, &Fleet::freeze,     &Fleet::resume,
                                                 &Fleet::cutOff,  &Fleet::heal,    &Fleet::stop, &Fleet::updateList, &Fleet::updateList};
        base::Random &random = m_fleet.random();
        auto &listed = m_fleet.listed();
        const RouterKey router = 1 + random.below(m_nextRouter - 1);
        const std::uint64_t action = random.below(Actions.size() + 2);
        if (action < Actions.size()) {
            (m_fleet.*Actions[action])(router);
        } else if (action == Actions.size() && m_nextRouter <= MaxRouters) {
            listed.push_back(m_nextRouter);
            m_fleet.restart(m_nextRouter++);
        } else if (listed.size() > 2 && std::erase(listed, router) == 0) {
            listed.push_back(router); // listed again
        }
    }

    void calm()
    {
        m_fleet.setFaults({});
        for (RouterKey it = 1; it < m_nextRouter; ++it) {
            m_fleet.resume(it);
            m_fleet.heal(it);
            m_fleet.restart(it);
        }
        m_fleet.updateLists();
        m_fleet.advance(QuotaLeases::startDelay(MaxRouters) + base::seconds{5});
        for (std::uint32_t i = 0; i < LimitGroups; ++i) {
            const auto holder = m_fleet.holderOfAll(i, m_fleet.listed().size());
            CPPUNIT_ASSERT_MESSAGE("no router holds all shares after calm", holder);
            m_fleet.checkCoordinator(i, *holder);
        }
    }

    static constexpr RouterKey MaxRouters = 40;
    Fleet m_fleet;
    RouterKey m_nextRouter;
};

} // namespace

class QuotaLeasesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaLeasesTest);
    CPPUNIT_TEST(testSingleRouterHoldsEverything);
    CPPUNIT_TEST(testEveryInterleaving);
    CPPUNIT_TEST(testGeneratedRuns);
    CPPUNIT_TEST(testSingleFailures);
    CPPUNIT_TEST(testCoordinatorReturns);
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

    // Guards against shares used twice or lost for good in whole fleets with all faults at once.
    void testGeneratedRuns()
    {
        for (std::uint64_t run = 0; run < 24; ++run) {
            const std::uint64_t seed = carawaylatch::testing::seed() + run;
            std::cout << (run % 8 == 0 ? "\n  seeds " : ", ") << seed << std::flush;
            GeneratedRun(seed).run();
        }
    }

    // Guards against failovers that take longer than the design states.
    void testSingleFailures()
    {
        // Time for a message and its answer, and for the steps in which the fleet looks at its clocks.
        constexpr milliseconds Latency{50};
        const base::Duration interval = QuotaLeases::pollInterval(6);
        const base::Duration lost = QuotaLeases::lentTime(QuotaLeases::leaseTerm(6)) + interval + Latency;
        struct Case
        {
            std::string_view name;
            std::function<void(Fleet &, RouterKey)> fail;
            bool isVictimCoordinator;
            RouterKey holder; // 0: another one than before
            base::Duration bound;
        };
        const RouterKey other = 0;
        const RouterKey former = 1;
        const std::array cases{
            Case{"coordinator killed", &Fleet::kill, true, other, lost},
            Case{"coordinator frozen", &Fleet::freeze, true, other, lost},
            Case{"coordinator cut off", &Fleet::cutOff, true, other, lost},
            Case{"coordinator stopped as planned", &Fleet::stop, true, other, 2 * interval + Latency},
            Case{"lender restarted", &Fleet::restart, false, former, QuotaLeases::startDelay(6) + interval + Latency},
            Case{"lender removed", &Fleet::removeFromLists, false, former, interval + Latency},
        };
        for (const Case &it : cases) {
            for (std::uint32_t group = 0; group < LimitGroups; ++group) {
                Fleet fleet(6, carawaylatch::testing::seed());
                fleet.advance(base::seconds{5});
                const RouterKey coordinator = fleet.holderOfAll(group, 6).value();
                const RouterKey victim = it.isVictimCoordinator ? coordinator : fleet.routerOtherThan(coordinator);
                it.fail(fleet, victim);
                const std::size_t shares = it.name == "lender restarted" || it.name == "coordinator stopped as planned" ? 6 : 5;
                const auto isRestored = [&] {
                    const auto holder = fleet.holderOfAll(group, shares);
                    return holder && (it.holder == former) == (*holder == coordinator);
                };
                const base::Duration begin = fleet.now();
                base::Duration took{};
                while (fleet.now() - begin < base::seconds{3}) {
                    fleet.step();
                    took = isRestored() ? took : fleet.now() + Fleet::Step - begin;
                }
                std::cout << "\n  " << it.name << ", group " << group << ": " << base::toMilliseconds(took) << " ms of " << base::toMilliseconds(it.bound);
                CPPUNIT_ASSERT_MESSAGE(std::string(it.name), took <= it.bound);
            }
        }
    }

    // A coordinator that was frozen, cut off or killed uses no other router's share when it is back, and gets them
    // again once it has polled for a second.
    void testCoordinatorReturns()
    {
        const base::Duration bound = base::seconds{1} + 5 * QuotaLeases::pollInterval(6) + milliseconds{100};
        for (const auto &[fail, recover] : {std::pair{&Fleet::kill, &Fleet::restart}, {&Fleet::freeze, &Fleet::resume}, {&Fleet::cutOff, &Fleet::heal}}) {
            Fleet fleet(6, carawaylatch::testing::seed());
            fleet.advance(base::seconds{5});
            const RouterKey coordinator = fleet.holderOfAll(0, 6).value();
            (fleet.*fail)(coordinator);
            fleet.advance(base::seconds{5});
            const RouterKey second = fleet.holderOfAll(0, 5).value();
            CPPUNIT_ASSERT(second != coordinator);
            (fleet.*recover)(coordinator);
            for (const RouterKey it : fleet.heldBy(coordinator, 0)) {
                CPPUNIT_ASSERT_EQUAL(coordinator, it);
            }
            fleet.advance(milliseconds{900});
            CPPUNIT_ASSERT(fleet.heldBy(coordinator, 0).size() <= 1);
            fleet.advance(bound - milliseconds{900});
            CPPUNIT_ASSERT_EQUAL(coordinator, fleet.holderOfAll(0, 6).value());
        }
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
