// Leases of shares in whole fleets: generated runs with all faults at once, and single
// failures with the times that the design states. After each step, each share must be
// usable at one router at most.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "carawaylatch/admission/limitcandidates.h"
#include "carawaylatch/admission/quotaleases.h"
#include "carawaylatch/base/hash.h"
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
    // Restarted routers may use their share while a former candidate, which their list no longer has, uses it too.
    void allowFormerCandidates()
    {
        m_areFormerCandidatesAllowed = true;
    }
    // Steps in which a former candidate used a share beside its owner.
    [[nodiscard]] std::uint64_t formerCandidateSteps() const
    {
        return m_formerCandidateSteps;
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
        router.started = m_now;
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
            router.fleet = LimitCandidates(m_listed, 1, QuotaLeases::MaxCandidates);
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
        LimitCandidates fleet; // by its list
        base::Duration started{}; // its process
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

    // Whether a lease of an earlier process of the owner may still be used: by a router that is no candidate by the
    // owner's list and does not know that, for one term.
    [[nodiscard]] bool isFormerCandidate(RouterKey holder, RouterKey owner, std::uint32_t group) const
    {
        const Router &router = m_routers.at(owner);
        const base::Duration term = QuotaLeases::leaseTerm(static_cast<std::uint32_t>(m_routers.size()));
        return m_areFormerCandidatesAllowed && !router.fleet.isCandidate(holder, group) && m_now - router.started <= term * 102 / 100;
    }
    void checkEachShareIsAtOnePlace()
    {
        for (std::uint32_t group = 0; group < LimitGroups; ++group) {
            std::map<RouterKey, RouterKey> holders;
            for (const auto &[key, router] : m_routers) {
                for (const RouterKey it : heldBy(key, group)) {
                    if (key != it && isFormerCandidate(key, it, group)) {
                        m_formerCandidateSteps += 1;
                        continue;
                    }
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
    bool m_areFormerCandidatesAllowed = false;
    std::uint64_t m_formerCandidateSteps = 0;
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
    // Restarts of all routers and of single lenders, with candidates that are cut off, late messages of earlier
    // processes and lists that change. Returns the steps in which a former candidate used a share too.
    std::uint64_t runRestarts()
    {
        base::Random &random = m_fleet.random();
        m_fleet.allowFormerCandidates();
        for (int i = 0; i < 20; ++i) {
            const double late = random.below(2) == 0 ? 0 : 0.5 * random.uniformReal();
            m_fleet.setFaults({0.1 * random.uniformReal(), 0.2 * random.uniformReal(), late});
            m_fleet.advance(milliseconds{200 + random.below(1500)});
            if (random.below(3) == 0) {
                m_fleet.cutOff(randomRouter());
            }
            if (random.below(3) == 0) {
                changeList();
            }
            if (random.below(2) == 0) {
                restartAll(milliseconds{random.below(300)});
            } else {
                m_fleet.restart(randomRouter());
            }
            m_fleet.advance(milliseconds{random.below(400)});
            if (random.below(2) == 0) {
                m_fleet.updateLists();
            }
            for (RouterKey it = 1; it < m_nextRouter; ++it) {
                m_fleet.heal(it);
            }
        }
        calm();
        return m_fleet.formerCandidateSteps();
    }

private:
    RouterKey randomRouter()
    {
        return 1 + m_fleet.random().below(m_nextRouter - 1);
    }
    void restartAll(base::Duration down)
    {
        for (RouterKey it = 1; it < m_nextRouter; ++it) {
            m_fleet.kill(it);
        }
        m_fleet.advance(down);
        for (RouterKey it = 1; it < m_nextRouter; ++it) {
            m_fleet.restart(it);
        }
    }
    void changeList()
    {
        auto &listed = m_fleet.listed();
        const RouterKey router = randomRouter();
        if (listed.size() > 2 && std::erase(listed, router) == 0) {
            listed.push_back(router);
        }
    }
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

class QuotaFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaFleetTest);
    CPPUNIT_TEST(testGeneratedRuns);
    CPPUNIT_TEST(testGeneratedRestarts);
    CPPUNIT_TEST(testSingleFailures);
    CPPUNIT_TEST(testCoordinatorReturns);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against shares used twice or lost for good in whole fleets with all faults at once.
    void testGeneratedRuns()
    {
        for (std::uint64_t run = 0; run < 24; ++run) {
            const std::uint64_t seed = carawaylatch::testing::seed() + run;
            std::cout << (run % 8 == 0 ? "\n  seeds " : ", ") << seed << std::flush;
            GeneratedRun(seed).run();
        }
    }

    // Guards against a share that is used at once after a restart, and by a borrower of the earlier process too.
    void testGeneratedRestarts()
    {
        std::uint64_t steps = 0;
        for (std::uint64_t run = 0; run < 8; ++run) {
            const std::uint64_t seed = carawaylatch::testing::seed() + run;
            std::cout << (run % 8 == 0 ? "\n  seeds " : ", ") << seed << std::flush;
            steps += GeneratedRun(seed).runRestarts();
        }
        std::cout << "; former candidates used " << steps << " shares for a step each" << std::flush;
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaFleetTest);

} // namespace carawaylatch::admission::testing
