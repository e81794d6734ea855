// Tests in virtual time how many calls to the store the routers of a fleet make: the watches of a
// failure domain whose readers restart, stop or fall silent, and the calls for the fleet's lease.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/valuetext.h"
#include "carawaylatch/gateway/leaseobserver.h"
#include "carawaylatch/gateway/readerchoice.h"
#include "carawaylatch/gateway/watchrelay.h"
#include "testing/seed.h"

namespace carawaylatch::gateway::testing
{

namespace
{

constexpr auto Kind = ObjectKind::Tables;

// The rule before refusals had a reason: the first two routers that have not failed, each failure with a call to the store.
class FormerChoice
{
public:
    FormerChoice(base::Endpoint self, const std::vector<base::Endpoint> &order)
        : m_self(std::move(self))
        , m_order(order)
    {
    }
    std::optional<base::Endpoint> reader(base::TimePoint now) const
    {
        std::vector<base::Endpoint> readers;
        for (const base::Endpoint &router : m_order) {
            if (readers.size() == 2 || router == m_self) {
                break;
            }
            const auto failure = m_failures.find(router);
            if (failure == m_failures.end() || now >= failure->second.first) {
                readers.push_back(router);
            }
        }
        return readers.size() < 2 ? std::nullopt : std::optional(readers[base::hash64(config::formatEndpoint(m_self)) % 2]);
    }
    bool onFailed(const base::Endpoint &reader, base::TimePoint now, RelayRefusal /*refusal*/)
    {
        auto &[until, backoff] = m_failures[reader];
        backoff = backoff == base::Duration{} ? base::Duration(base::seconds{2}) : std::min<base::Duration>(backoff * 2, base::seconds{30});
        until = now + backoff;
        return false;
    }
    void onAnswered(const base::Endpoint &reader)
    {
        m_failures.erase(reader);
    }

private:
    const base::Endpoint m_self;
    const std::vector<base::Endpoint> &m_order;
    std::map<base::Endpoint, std::pair<base::TimePoint, base::Duration>> m_failures;
};

// ReaderChoice as the control plane uses it.
class PresentChoice
{
public:
    PresentChoice(const base::Endpoint &self, const std::vector<base::Endpoint> &order)
        : m_choice(self, {})
    {
        m_choice.setRouters(order);
    }
    std::optional<base::Endpoint> reader(base::TimePoint now) const
    {
        return m_choice.reader(now);
    }
    // Returns whether another reader is polled in the same step. None: the connection failed.
    bool onFailed(const base::Endpoint &reader, base::TimePoint now, RelayRefusal refusal)
    {
        if (refusal == RelayRefusal::Behind) {
            m_choice.onBehind(reader, now, Kind);
        } else if (refusal == RelayRefusal::NotReader) {
            m_choice.onNotReader(reader, now, Kind);
        } else {
            m_choice.onFailed(reader, now);
        }
        return refusal != RelayRefusal::Behind;
    }
    void onAnswered(const base::Endpoint &reader)
    {
        m_choice.onAnswered(reader, Kind);
    }

private:
    ReaderChoice m_choice;
};

// One kind of object in a failure domain of routers. In each step of a second the store's revision grows, and each router
// polls a reader or watches the store once.
template <typename Choice>
class Domain
{
public:
    static constexpr int Size = 30;

    Domain()
        : m_random(carawaylatch::testing::seed())
    {
        const std::uint64_t key = base::hash64("store readers"); // as in ReaderChoice
        for (int i = 0; i < Size; ++i) {
            order.push_back({"10.0.0." + std::to_string(i + 1), 7100});
        }
        std::sort(order.begin(), order.end(), [key](const base::Endpoint &a, const base::Endpoint &b) {
            return base::rendezvousWeight(key, config::formatEndpoint(a)) > base::rendezvousWeight(key, config::formatEndpoint(b));
        });
        for (const base::Endpoint &router : order) {
            restart(router);
        }
    }
    // A router starts with a list.
    void restart(const base::Endpoint &router)
    {
        m_routers.erase(router);
        m_routers.emplace(router, State{Choice(router, order), m_revision, m_revision});
    }
    void step()
    {
        m_now += base::seconds{1};
        ++m_revision;
        watchers.clear();
        std::vector<base::Endpoint> routers;
        for (const base::Endpoint &router : order) {
            if (!stopped.contains(router)) {
                routers.insert(routers.begin() + static_cast<std::ptrdiff_t>(m_random.below(routers.size() + 1)), router);
            }
        }
        for (const base::Endpoint &router : routers) {
            if (!poll(m_routers.at(router))) {
                m_routers.at(router).revision = m_revision;
                watchers.insert(router);
            }
        }
        for (int i = 0; i < Size; ++i) {
            calls += i >= 2 && watchers.contains(order[static_cast<std::size_t>(i)]) ? 1 : 0;
        }
    }
    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            step();
        }
    }

    std::vector<base::Endpoint> order;
    std::set<base::Endpoint> stopped; // connections are refused
    std::set<base::Endpoint> silent; // polls time out
    std::set<base::Endpoint> watchers; // of the store, in the last step
    int calls = 0; // to the store, of routers other than the first two

private:
    struct State
    {
        Choice choice;
        std::uint64_t revision = 0;
        std::uint64_t listed = 0; // revision of the list at the start; the changes before are not known
    };
    // Returns false if the router calls the store in this step.
    bool poll(State &self)
    {
        for (int polls = 0; polls < 2; ++polls) {
            const auto reader = self.choice.reader(m_now);
            if (!reader) {
                return false;
            }
            const State &other = m_routers.at(*reader);
            if (stopped.contains(*reader) || silent.contains(*reader)) {
                const bool isNext = self.choice.onFailed(*reader, m_now, RelayRefusal::None);
                if (!isNext || silent.contains(*reader)) {
                    return false;
                }
                continue;
            }
            const RelayRefusal refusal = other.choice.reader(m_now)     ? RelayRefusal::NotReader
                                         : self.revision < other.listed ? RelayRefusal::Behind
                                                                        : RelayRefusal::None;
            if (refusal == RelayRefusal::None) {
                self.choice.onAnswered(*reader);
                self.revision = std::max(self.revision, other.revision);
                return true;
            }
            if (!self.choice.onFailed(*reader, m_now, refusal)) {
                return false;
            }
        }
        return false;
    }

    base::Random m_random;
    base::TimePoint m_now{base::hours{1}};
    std::uint64_t m_revision = 100;
    std::map<base::Endpoint, State> m_routers;
};

// All routers restart one after another, each stopped for some steps.
template <typename Choice>
int callsOfRollingRestart(int stoppedSteps)
{
    Domain<Choice> domain;
    domain.run(3);
    for (const base::Endpoint &router : domain.order) {
        domain.stopped.insert(router);
        domain.run(stoppedSteps);
        domain.stopped.clear();
        domain.restart(router);
        domain.run(3);
    }
    domain.run(60);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("watches in the end", std::size_t{2}, domain.watchers.size());
    return domain.calls;
}

} // namespace

class ReaderCallsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReaderCallsTest);
    CPPUNIT_TEST(testReadersRestartedOneAfterAnother);
    CPPUNIT_TEST(testBothReadersGone);
    CPPUNIT_TEST(testReaderThatTimesOut);
    CPPUNIT_TEST(testReaderThatStaysBehind);
    CPPUNIT_TEST(testNotReaderBehindTheFirstOnes);
    CPPUNIT_TEST(testAnswerOfAnotherKind);
    CPPUNIT_TEST(testRefusalsOnTheWire);
    CPPUNIT_TEST_SUITE_END();

public:
    // Routers that went on to routers behind the first two found none that is a reader, and called the store each time.
    void testReadersRestartedOneAfterAnother()
    {
        constexpr int Restarts = 2; // of readers
        for (const int stoppedSteps : {1, 5, 20}) {
            const int former = callsOfRollingRestart<FormerChoice>(stoppedSteps);
            const int present = callsOfRollingRestart<PresentChoice>(stoppedSteps);
            std::cout << " stopped " << stoppedSteps << " s: " << former << " calls before, " << present << " now;";
            // One call of each other router for each restart of a reader.
            CPPUNIT_ASSERT_MESSAGE(std::to_string(present), present <= Restarts * (Domain<PresentChoice>::Size - 2));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(former), former >= 2 * present);
        }
    }

    // The next two routers watch the store; the others poll these, and call the store only when they have tried both of the
    // first two again. All poll the first two again soon after they are back.
    void testBothReadersGone()
    {
        Domain<PresentChoice> domain;
        domain.run(3);
        domain.stopped = {domain.order[0], domain.order[1]};
        domain.run(5);
        domain.calls = 0;
        constexpr int Steps = 120;
        domain.run(Steps);
        // Two watch in each step. Each other router tries the first two again after 4, 8, 16, 30, 30, ... s.
        const int others = domain.calls - 2 * Steps;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(others), others >= 0 && others <= 2 * 7 * (Domain<PresentChoice>::Size - 4));
        domain.stopped.clear();
        domain.restart(domain.order[0]);
        domain.restart(domain.order[1]);
        domain.run(35);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, domain.watchers.size());
    }

    // Costs one call of each router that polls it, for each time that it is tried again.
    void testReaderThatTimesOut()
    {
        Domain<PresentChoice> domain;
        domain.run(3);
        domain.silent = {domain.order[0]};
        constexpr int Tries = 6; // after 0, 2, 6, 14, 30, 60 s
        domain.run(80);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(domain.calls), domain.calls <= Tries * (Domain<PresentChoice>::Size - 2));
        CPPUNIT_ASSERT(!domain.watchers.contains(domain.order[2]));
    }

    // A reader that never knows the changes must not cost a call to the store for every poll.
    void testReaderThatStaysBehind()
    {
        const Domain<PresentChoice> domain;
        ReaderChoice choice(domain.order[9], {});
        choice.setRouters(domain.order);
        const base::TimePoint now;
        const base::Endpoint reader = choice.reader(now).value();
        choice.onBehind(reader, now, Kind);
        CPPUNIT_ASSERT_MESSAGE("polled again at once", choice.reader(now) == reader);
        choice.onBehind(reader, now, ObjectKind::Weights);
        CPPUNIT_ASSERT_MESSAGE("once for each kind", choice.reader(now) == reader);
        choice.onAnswered(reader, Kind);
        choice.onBehind(reader, now, Kind);
        CPPUNIT_ASSERT(choice.reader(now) == reader);
        choice.onBehind(reader, now, Kind);
        CPPUNIT_ASSERT(choice.reader(now) != reader);
        CPPUNIT_ASSERT(choice.reader(now + base::seconds{2}) == reader);
    }

    // Routers behind the first two that are no readers are not passed over for those behind them, which are none either; and
    // as they poll the first two, these are tried before a long back-off ends.
    void testNotReaderBehindTheFirstOnes()
    {
        const Domain<PresentChoice> domain;
        ReaderChoice choice(domain.order[9], {});
        choice.setRouters(domain.order);
        base::TimePoint now;
        for (int i = 0; i < 4; ++i) {
            now += base::seconds{30};
            choice.onFailed(domain.order[0], now);
            choice.onFailed(domain.order[1], now);
        }
        CPPUNIT_ASSERT(choice.reader(now) == domain.order[2] || choice.reader(now) == domain.order[3]);
        CPPUNIT_ASSERT(choice.reader(now + base::seconds{3}) != domain.order[0]);
        choice.onNotReader(domain.order[2], now, Kind);
        CPPUNIT_ASSERT(choice.reader(now) == domain.order[3]);
        choice.onNotReader(domain.order[3], now, Kind);
        CPPUNIT_ASSERT(!choice.reader(now));
        now += base::seconds{2};
        CPPUNIT_ASSERT(choice.reader(now) == domain.order[0] || choice.reader(now) == domain.order[1]);
    }

    // A reader whose configuration is not confirmed still answers polls of other kinds; it was polled again after each of them.
    void testAnswerOfAnotherKind()
    {
        const Domain<PresentChoice> domain;
        ReaderChoice choice(domain.order[9], {});
        choice.setRouters(domain.order);
        const base::TimePoint now;
        const base::Endpoint reader = choice.reader(now).value();
        choice.onFailed(reader, now, ReaderFailure::NotServing, Kind);
        choice.onFailed(reader, now, ReaderFailure::Unreachable, ObjectKind::Upstreams); // its poll was interrupted
        choice.onAnswered(reader, ObjectKind::Weights);
        CPPUNIT_ASSERT(choice.reader(now) != reader);
        choice.onAnswered(reader, Kind);
        CPPUNIT_ASSERT(choice.reader(now) == reader);
    }

    // A former build tells no reason, and ignores that of this one.
    void testRefusalsOnTheWire()
    {
        for (const RelayRefusal refusal : {RelayRefusal::None, RelayRefusal::Behind, RelayRefusal::NotReader, RelayRefusal::Stopping, RelayRefusal::NoStore}) {
            RelayAnswer answer;
            answer.refusal = refusal;
            const RelayAnswer decoded = decodeRelayAnswer(encodeRelayAnswer(answer)).value();
            CPPUNIT_ASSERT(!decoded.isKnown && decoded.refusal == refusal);
        }
        const std::string unknown = R"({"known":0,"revision":0,"age_us":0,"held_us":0,"outage":0,"objects":[],"refusal":9})";
        CPPUNIT_ASSERT(decodeRelayAnswer(unknown).value().refusal == RelayRefusal::None);
        RelayAnswer large;
        large.isKnown = true;
        large.objects.push_back({"a", std::string(MaxRelayBytes, 'x'), 1, false});
        CPPUNIT_ASSERT(decodeRelayAnswer(encodeRelayAnswer(large)).value().refusal == RelayRefusal::Behind);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReaderCallsTest);

class LeaseCallsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseCallsTest);
    CPPUNIT_TEST(testCandidatesOfThreeDomains);
    CPPUNIT_TEST(testCandidatesOfADomain);
    CPPUNIT_TEST(testHolderAndAllCandidatesKilled);
    CPPUNIT_TEST(testReadThatFailsIsNoProof);
    CPPUNIT_TEST(testOwnWriteThatTakesEffectLate);
    CPPUNIT_TEST_SUITE_END();

    static constexpr base::Duration LeaseDuration = base::seconds{3};
    static constexpr base::Duration Step = base::milliseconds{50};
    static constexpr std::size_t Routers = 90; // in three domains
    static constexpr std::size_t Candidates = 6;

    struct Router
    {
        fleet::Lease lease;
        LeaseObserver observer;
        bool isCandidate = false;
        bool isStopped = false;
        int reads = 0;
        int writes = 0;
    };

    base::TimePoint m_now;
    std::vector<Router> m_routers;
    store::Object m_object; // version zero: absent

    void readInto(Router &router)
    {
        ++router.reads;
        if (m_object.version.value == 0) {
            router.lease.onRead(m_now, base::fail(base::ErrorKind::NotFound, "absent"));
        } else {
            router.lease.onRead(m_now, m_object);
        }
    }
    void write(Router &router, const fleet::LeaseAction &action)
    {
        ++router.writes;
        if (action.expected != m_object.version) {
            router.lease.onWritten(m_now, base::fail(base::ErrorKind::Conflict, "changed"));
            return;
        }
        m_object.value = action.value;
        ++m_object.version.value;
        router.lease.onWritten(m_now, m_object.version);
    }
    void step()
    {
        m_now += Step;
        int holders = 0;
        for (Router &router : m_routers) {
            const LeaseTurn turn = router.isStopped ? LeaseTurn::Wait : router.observer.turn(m_now, router.isCandidate, router.lease.state());
            if (turn == LeaseTurn::Read) {
                readInto(router);
                router.observer.onRead(router.lease.state().observedVersion);
            } else if (turn == LeaseTurn::Poll) {
                const fleet::LeaseAction action = router.lease.poll(m_now);
                if (action.kind == fleet::LeaseActionKind::Read) {
                    readInto(router);
                } else if (action.kind == fleet::LeaseActionKind::Write) {
                    write(router, action);
                }
            }
            holders += router.lease.isHeld(m_now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE("two holders", holders <= 1);
    }
    void run(base::Duration duration)
    {
        for (const base::TimePoint end = m_now + duration; m_now < end;) {
            step();
        }
    }
    Router *holder()
    {
        const auto it = std::find_if(m_routers.begin(), m_routers.end(), [this](const Router &router) {
            return !router.isStopped && router.lease.isHeld(m_now);
        });
        return it == m_routers.end() ? nullptr : &*it;
    }
    int sumOf(int Router::*count, bool ofCandidates)
    {
        int sum = 0;
        for (Router &router : m_routers) {
            sum += router.isCandidate == ofCandidates ? std::exchange(router.*count, 0) : 0;
        }
        return sum;
    }
    void startFleet()
    {
        m_now = base::TimePoint{base::hours{1}};
        m_object = {};
        m_routers.clear();
        for (std::size_t i = 0; i < Routers; ++i) {
            const std::string id = "r" + std::to_string(i);
            m_routers.push_back({fleet::Lease(base::RouterId(id), base::Incarnation{i + 1}, {LeaseDuration, LeaseDuration / 6, true}),
                                 LeaseObserver(LeaseDuration, carawaylatch::testing::seed() + i)});
            m_routers.back().isCandidate = i % (Routers / Candidates) == 0;
        }
        run(3 * LeaseDuration);
    }

public:
    // All routers read the lease, and wrote it when its holder was lost.
    void testCandidatesOfThreeDomains()
    {
        startFleet();
        CPPUNIT_ASSERT(holder() != nullptr && holder()->isCandidate);
        CPPUNIT_ASSERT_EQUAL(0, sumOf(&Router::writes, false));
        sumOf(&Router::reads, false);
        run(20 * LeaseDuration);
        const int reads = sumOf(&Router::reads, false);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(reads), reads <= static_cast<int>(Routers - Candidates) * 12);
        CPPUNIT_ASSERT_EQUAL(0, sumOf(&Router::writes, false));
        const base::TimePoint killedAt = m_now;
        sumOf(&Router::writes, true);
        holder()->isStopped = true;
        while (holder() == nullptr) {
            step();
        }
        CPPUNIT_ASSERT(holder()->isCandidate && m_now - killedAt <= LeaseDuration + LeaseDuration / 6 + 2 * Step);
        CPPUNIT_ASSERT(sumOf(&Router::writes, true) <= static_cast<int>(Candidates));
        CPPUNIT_ASSERT_EQUAL(0, sumOf(&Router::writes, false));
    }

    // The candidates are two routers of a domain, working or not, and routers that learn from no reader.
    void testCandidatesOfADomain()
    {
        const std::vector<base::Endpoint> routers = Domain<PresentChoice>().order;
        int candidates = 0;
        for (const base::Endpoint &self : routers) {
            ReaderChoice choice(self, {});
            CPPUNIT_ASSERT_MESSAGE("before the routers are known", !choice.isAmongFirst());
            choice.setRouters(routers);
            const bool isFirst = choice.isAmongFirst();
            while (const auto reader = choice.reader({})) {
                choice.onFailed(*reader, {});
            }
            CPPUNIT_ASSERT_EQUAL(isFirst, choice.isAmongFirst());
            candidates += isFirst ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, candidates);
        CPPUNIT_ASSERT(ReaderChoice(base::Endpoint{}, {}).isAmongFirst());
        CPPUNIT_ASSERT(ReaderChoice(routers[0], {0, {}, {}}).isAmongFirst());
        ReaderChoice alone(routers[0], {});
        alone.setRouters({});
        CPPUNIT_ASSERT(alone.isAmongFirst());
    }

    // No candidate is left; a fleet without a lease holder rolls out no weights.
    void testHolderAndAllCandidatesKilled()
    {
        base::Duration longest{};
        for (int round = 0; round < 20; ++round) {
            startFleet();
            run(round * LeaseDuration / 7);
            for (Router &router : m_routers) {
                router.isStopped = router.isCandidate;
            }
            const base::TimePoint killedAt = m_now;
            while (holder() == nullptr && m_now - killedAt < 10 * LeaseDuration) {
                step();
            }
            longest = std::max(longest, m_now - killedAt);
            run(2 * LeaseDuration);
            const int writes = sumOf(&Router::writes, false);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(writes), writes <= 2 * 3 + static_cast<int>(Candidates)); // renewals, three in a duration
        }
        std::cout << " longest: " << base::toSeconds(longest) / base::toSeconds(LeaseDuration) << " lease durations";
        CPPUNIT_ASSERT(longest <= LeaseDuration * 9 / 2);
    }

    // The version that was known before would count as found twice.
    void testReadThatFailsIsNoProof()
    {
        LeaseObserver observer(LeaseDuration, 1);
        fleet::LeaseState state;
        base::TimePoint now{base::hours{1}};
        CPPUNIT_ASSERT(observer.turn(now, false, state) == LeaseTurn::Wait);
        now += 2 * LeaseDuration;
        CPPUNIT_ASSERT(observer.turn(now, false, state) == LeaseTurn::Read);
        state.observedVersion = store::Version{5};
        observer.onRead(state.observedVersion);
        now += 3 * LeaseDuration;
        CPPUNIT_ASSERT(observer.turn(now, false, state) == LeaseTurn::Read);
        observer.onRead(std::nullopt);
        CPPUNIT_ASSERT(observer.turn(now, false, state) == LeaseTurn::Wait);
        now += 3 * LeaseDuration;
        CPPUNIT_ASSERT(observer.turn(now, false, state) == LeaseTurn::Read);
        observer.onRead(store::Version{5});
        CPPUNIT_ASSERT(observer.turn(now, false, state) == LeaseTurn::Poll);
        state.observedVersion = store::Version{6};
        CPPUNIT_ASSERT_MESSAGE("another router has acquired it", observer.turn(now, false, state) == LeaseTurn::Wait);
        state.phase = fleet::LeasePhase::Holding;
        CPPUNIT_ASSERT(observer.turn(now, false, state) == LeaseTurn::Poll);
    }

    // A holder that is no candidate would lose the lease if it waited after a renewal whose result it does not know.
    void testOwnWriteThatTakesEffectLate()
    {
        LeaseObserver observer(base::seconds{3}, 1);
        const base::TimePoint now{base::hours{1}};
        fleet::LeaseState state;
        state.phase = fleet::LeasePhase::Verifying;
        CPPUNIT_ASSERT(observer.turn(now, false, state) == LeaseTurn::Poll);
        state.phase = fleet::LeasePhase::Observing;
        state.observedVersion = store::Version{7};
        state.hasNoHolder = true; // its own write
        CPPUNIT_ASSERT(observer.turn(now, false, state) == LeaseTurn::Poll);
        LeaseObserver other(base::seconds{3}, 2);
        CPPUNIT_ASSERT_MESSAGE("a released lease is for the candidates", other.turn(now, false, state) == LeaseTurn::Wait);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeaseCallsTest);

} // namespace carawaylatch::gateway::testing
