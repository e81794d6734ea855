// Tests with stepped clocks how long routers that learn of changes from a reader act on what the store has replaced,
// while their readers are cut off from the store, refused by it, silent, or back from any of these. The routers under
// test are never disturbed themselves.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/gateway/gatewaysettings.h"
#include "carawaylatch/gateway/testing/suspension.h"
#include "carawaylatch/gateway/testing/testcluster.h"
#include "testing/seed.h"

namespace carawaylatch::gateway::testing
{

namespace
{

using std::chrono::milliseconds;

constexpr base::Duration Step = milliseconds{5};
constexpr base::Duration Heartbeat = ChangeTimes::HeartbeatInterval;
constexpr std::size_t Routers = 3; // of one failure domain, two of them readers
constexpr std::uint64_t Born = 1'700'000'000'000;
constexpr base::Duration LateDelay = milliseconds{50}; // of answers of a reader that is late
// Rounds with connections that are closed while idle; the thread sanitizer takes 4 s for each.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t ClosedConnectionRounds = 10;
#else
constexpr std::uint64_t ClosedConnectionRounds = 100;
#endif

std::string entry(const std::string &phase, std::uint64_t weights)
{
    return "p " + phase + " " + std::to_string(Born) + " " + std::to_string(weights);
}

// A failure domain in virtual time. It notes the longest time for which the router that is no reader uses an upstream
// after its leaving was acknowledged, or holds an earlier configuration or target weights.
class StaleDomain
{
public:
    StaleDomain()
        : m_cluster(*m_loop, m_clock, m_log.log)
    {
        GatewaySettings gateway;
        std::vector<base::Endpoint> relays;
        for (std::size_t i = 0; i < Routers; ++i) {
            gateway.id = std::string(1, static_cast<char>('a' + i));
            gateway.failureDomain = "d";
            gateway.relay = {"10.0.0." + std::to_string(i + 1), 7100};
            gateway.peers = {"10.0.0." + std::to_string(i + 1), 7000};
            relays.push_back(gateway.relay);
            m_cluster.addRouter(gateway.control());
        }
        for (std::size_t i = 0; i < Routers; ++i) {
            ReaderChoice choice(relays[i], {});
            choice.setRouters(relays);
            (choice.isAmongFirst() ? readers : followers).push_back(m_cluster.routers[i].get());
        }
        m_relays = relays;
        run(base::seconds{12}); // until the follower learns from a reader
        reader = readerOfFollower();
    }
    ~StaleDomain()
    {
        m_loop.reset(); // the coroutines refer to the cluster
    }
    StaleDomain(const StaleDomain &) = delete;
    StaleDomain &operator=(const StaleDomain &) = delete;

    [[nodiscard]] Router *readerOfFollower()
    {
        const auto endpoint = followers.front()->relay.answeredBy;
        for (std::size_t i = 0; endpoint && i < Routers; ++i) {
            if (m_relays[i] == *endpoint) {
                return m_cluster.routers[i].get();
            }
        }
        return nullptr;
    }
    void setFault(const Router *router, RelayFault fault)
    {
        for (std::size_t i = 0; i < Routers; ++i) {
            if (m_cluster.routers[i].get() == router) {
                m_cluster.network.faults[m_relays[i]] = fault;
                m_cluster.network.lateDelay = LateDelay;
            }
        }
    }
    // Its process has ended: polls that it holds fail, and so do new ones.
    void stop(const Router *router)
    {
        setFault(router, RelayFault::Closed);
        for (std::size_t i = 0; i < Routers; ++i) {
            if (m_cluster.routers[i].get() == router) {
                followers.front()->relay.interrupt(m_relays[i]);
            }
        }
    }
    FakeStore &store()
    {
        return m_cluster.store;
    }
    void run(base::Duration time)
    {
        for (const base::TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            m_steps.step(*m_loop, Step);
            observe();
        }
    }
    // Runs, while entries of other upstreams change.
    void runBusy(base::Duration time)
    {
        for (base::Duration left = time; left > base::Duration{}; left -= milliseconds{300}) {
            store().put(ObjectKind::Upstreams, "busy", entry("ready", ++m_weights));
            run(std::min<base::Duration>(left, milliseconds{300}));
        }
    }
    void put(const std::string &upstream, const std::string &phase)
    {
        store().put(ObjectKind::Upstreams, upstream, entry(phase, ++m_weights));
        if (phase == "draining") {
            m_leftAt.emplace(upstream, m_clock.now());
        }
    }
    void remove(const std::string &upstream)
    {
        store().erase(ObjectKind::Upstreams, upstream);
        m_leftAt.emplace(upstream, m_clock.now());
    }
    // Says that it leaves, in the life that it has.
    void drain(const std::string &upstream)
    {
        const StoredObject &object = store().objects(ObjectKind::Upstreams).at(upstream);
        std::string text = object.text;
        store().put(ObjectKind::Upstreams, upstream, text.replace(text.find("ready"), 5, "draining"));
        m_leftAt.emplace(upstream, m_clock.now());
    }
    // Starts again under its id after it has left.
    void restart(const std::string &upstream)
    {
        m_leftAt.erase(upstream);
        store().put(ObjectKind::Upstreams, upstream, "p ready " + std::to_string(++m_born) + " " + std::to_string(++m_weights));
    }
    // The operator names a configuration and weights.
    void nameVersions()
    {
        ++m_version;
        store().put(ObjectKind::Tables, "main", std::to_string(m_version));
        store().put(ObjectKind::Weights, "m", "m " + std::to_string(m_version));
        m_namedAt = m_clock.now();
    }
    [[nodiscard]] bool uses(const std::string &upstream) const
    {
        const auto &upstreams = followers.front()->last->upstreams;
        return std::any_of(upstreams.begin(), upstreams.end(), [&upstream](const proxy::Upstream &it) {
            return it.id.value() == upstream && it.phase == proxy::UpstreamPhase::Ready;
        });
    }

    std::vector<Router *> readers;
    std::vector<Router *> followers;
    Router *reader = nullptr; // from which the follower learns
    base::Duration longestUse{}; // of an upstream that has left
    base::Duration longestVersion{}; // of a configuration or weights that were replaced

private:
    void observe()
    {
        const auto &view = followers.empty() ? nullptr : followers.front()->last;
        if (!view) {
            return;
        }
        const base::TimePoint now = m_clock.now();
        for (const auto &[upstream, leftAt] : m_leftAt) {
            longestUse = std::max(longestUse, uses(upstream) ? now - leftAt : base::Duration{});
        }
        const auto target = view->targets.find(base::ModelId("m"));
        const bool isNewest =
            m_version == 1 || (view->table->version == m_version && target != view->targets.end() && target->second.version.value == m_version);
        longestVersion = std::max(longestVersion, isNewest ? base::Duration{} : now - m_namedAt);
    }

    SteppedClock m_steps;
    base::SteadyClock m_clock;
    NullLog m_log;
    std::unique_ptr<boost::asio::io_context> m_loop = std::make_unique<boost::asio::io_context>(1);
    TestCluster m_cluster;
    std::vector<base::Endpoint> m_relays;
    std::map<std::string, base::TimePoint> m_leftAt;
    std::uint64_t m_weights = 1;
    std::uint64_t m_born = Born; // of the upstream that has started last
    std::uint64_t m_version = 1;
    base::TimePoint m_namedAt;
};

} // namespace

class StaleReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StaleReaderTest);
    CPPUNIT_TEST(testReaderThatIsBackBringsNoRemovedUpstreamBack);
    CPPUNIT_TEST(testReadersRefusedByTheStore);
    CPPUNIT_TEST(testSilentReaders);
    CPPUNIT_TEST(testFollowerWhoseFirstCallFails);
    CPPUNIT_TEST(testFollowerReadsTheStoreInTime);
    CPPUNIT_TEST(testNoCallsWhileReadersAreWell);
    CPPUNIT_TEST(testCallsDuringOutages);
    CPPUNIT_TEST(testUpstreamsInRandomTroubles);
    CPPUNIT_TEST(testVersionsInRandomTroubles);
    CPPUNIT_TEST(testRandomTroublesAndClosedConnections);
    CPPUNIT_TEST_SUITE_END();

    // From the acknowledgement of a change to when the traffic thread has it; the rest of the time to leave covers requests on their way.
    static base::Duration limit()
    {
        return GatewaySettings().control().removal.maxUse + Heartbeat;
    }

    // What happens in a step beside the readers' troubles.
    static void changeEntries(StaleDomain &domain, std::vector<bool> &isListed, base::Random &random)
    {
        const std::size_t which = random.below(isListed.size());
        const std::string upstream = "u" + std::to_string(which);
        if (!isListed[which]) {
            domain.restart(upstream);
            isListed[which] = true;
        } else if (random.below(3) == 0) {
            if (random.below(2) == 0) {
                domain.drain(upstream);
                domain.run(milliseconds{random.below(300)});
            }
            domain.remove(upstream);
            isListed[which] = false;
        } else if (random.below(8) == 0) {
            domain.nameVersions();
        } else {
            domain.put("busy", "ready");
        }
    }
    // How long the follower has acted on what was replaced.
    struct Delays
    {
        base::Duration use; // of an upstream that has left
        base::Duration version; // of a configuration or weights
    };
    // Readers are refused by the store, cut off from it without a sign, stopped, gone without a word or late, each for a while and
    // both at once, while upstreams leave, by their word or their entry alone, and start again.
    static Delays playRandomTroubles(base::Random random, bool closesIdleConnections)
    {
        constexpr int Steps = 60;
        StaleDomain domain;
        domain.followers.front()->clients.closesIdleConnections = closesIdleConnections;
        std::vector<bool> isListed(3, false);
        std::vector<std::uint64_t> troubleSteps(domain.readers.size(), 0); // still to go
        for (int step = 0; step < Steps; ++step) {
            for (std::size_t i = 0; i < domain.readers.size(); ++i) {
                if (troubleSteps[i] > 0) {
                    if (--troubleSteps[i] == 0) {
                        endTrouble(domain, domain.readers[i]);
                    }
                } else if (random.below(15) == 0) {
                    troubleSteps[i] = 2 + random.below(20);
                    startTrouble(domain, domain.readers[i], random.below(Troubles));
                }
            }
            changeEntries(domain, isListed, random);
            domain.run(milliseconds{50 + random.below(400)});
        }
        return {domain.longestUse, domain.longestVersion};
    }
    static std::vector<Delays> playRounds(std::uint64_t rounds, bool closesIdleConnections)
    {
        std::vector<Delays> out;
        for (std::uint64_t seed = carawaylatch::testing::seed(); out.size() < rounds; ++seed) {
            out.push_back(playRandomTroubles(base::Random(seed), closesIdleConnections));
        }
        return out;
    }
    // Returns the seeds with which a delay is too long.
    static std::string lateRounds(const std::vector<Delays> &played, base::Duration Delays::*delay)
    {
        std::string late;
        for (std::uint64_t round = 0; round < played.size(); ++round) {
            if (played[round].*delay > limit() + LateDelay) {
                late += "seed " + std::to_string(carawaylatch::testing::seed() + round) + ": " + base::formatMilliseconds(played[round].*delay) + " ms\n";
            }
        }
        return late;
    }
    // Played once for the tests of both delays.
    static const std::vector<Delays> &playedRounds()
    {
        static const std::vector<Delays> Played = playRounds(300, false);
        return Played;
    }
    static constexpr std::uint64_t Troubles = 5; // kinds
    static void endTrouble(StaleDomain &domain, Router *reader)
    {
        reader->clients.isDisconnected = false;
        reader->clients.isSilent = false;
        domain.setFault(reader, RelayFault::None);
    }
    static void startTrouble(StaleDomain &domain, Router *reader, std::uint64_t kind)
    {
        switch (kind) {
        case 0:
            reader->clients.isDisconnected = true;
            break;
        case 1:
            reader->clients.isSilent = true;
            break;
        case 2:
            domain.stop(reader);
            break;
        case 3:
            reader->clients.isSilent = true;
            domain.setFault(reader, RelayFault::Silent);
            break;
        default:
            domain.setFault(reader, RelayFault::Late);
            break;
        }
    }

public:
    // A router took up an upstream that was gone, from a reader that was back after 3.5 s, and used it for the time that entries
    // have to come back after an outage of the store, though it had never missed the store itself (DRAIN).
    void testReaderThatIsBackBringsNoRemovedUpstreamBack()
    {
        std::string late;
        for (const int cut : {3000, 3500, 4000, 4500, 5500}) {
            for (const int phase : {0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 1000, 1100}) {
                StaleDomain domain;
                CPPUNIT_ASSERT(domain.reader != nullptr);
                domain.put("leaving", "ready");
                domain.runBusy(base::seconds{1} + milliseconds{phase});
                CPPUNIT_ASSERT(domain.uses("leaving"));
                domain.reader->clients.isDisconnected = true;
                domain.run(milliseconds{50});
                domain.put("leaving", "ready");
                domain.runBusy(milliseconds{1250});
                domain.remove("leaving");
                domain.runBusy(milliseconds{cut - 1300});
                domain.reader->clients.isDisconnected = false;
                domain.runBusy(base::seconds{6});
                CPPUNIT_ASSERT(!domain.uses("leaving"));
                if (domain.longestUse > limit()) {
                    late += "cut for " + std::to_string(cut) + " ms, phase " + std::to_string(phase) + ": used for "
                            + base::formatMilliseconds(domain.longestUse) + " ms after its removal\n";
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), late);
    }

    // The age of what a reader confirms was checked for the configuration alone, so that with both readers refused by the store a
    // router used upstreams that had left, and versions that were replaced, for up to 2.6 s.
    void testReadersRefusedByTheStore()
    {
        std::string late;
        for (const bool isSilent : {false, true}) {
            for (const int phase : {0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 1000, 1100}) {
                for (const int leaveAfter : {-200, 5, 300, 600}) {
                    StaleDomain domain;
                    domain.put("leaving", "ready");
                    domain.run(base::seconds{1} + milliseconds{phase});
                    CPPUNIT_ASSERT(domain.uses("leaving"));
                    if (leaveAfter < 0) { // the readers pause after another change
                        domain.runBusy(milliseconds{50});
                        domain.put("leaving", "draining");
                        domain.run(milliseconds{-leaveAfter});
                    }
                    for (Router *reader : domain.readers) {
                        (isSilent ? reader->clients.isSilent : reader->clients.isDisconnected) = true;
                    }
                    if (leaveAfter > 0) {
                        domain.run(milliseconds{leaveAfter});
                        domain.put("leaving", "draining");
                        domain.nameVersions();
                    }
                    domain.run(base::seconds{3});
                    for (Router *reader : domain.readers) {
                        reader->clients.isDisconnected = false;
                        reader->clients.isSilent = false;
                    }
                    domain.run(base::seconds{4});
                    const std::string row = std::string(isSilent ? "silent" : "refused") + ", phase " + std::to_string(phase) + ", leaves after "
                                            + std::to_string(leaveAfter) + " ms: ";
                    if (domain.longestUse > limit()) {
                        late += row + "used for " + base::formatMilliseconds(domain.longestUse) + " ms\n";
                    }
                    if (domain.longestVersion > limit()) {
                        late += row + "earlier versions for " + base::formatMilliseconds(domain.longestVersion) + " ms\n";
                    }
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), late);
    }

    // Both readers are gone without a word, right after another change or some time after it.
    void testSilentReaders()
    {
        std::string late;
        for (const int phase : {0, 150, 300, 450, 600, 750, 900, 1050}) {
            for (const int leaveAfter : {-200, 5, 400}) {
                StaleDomain domain;
                domain.put("leaving", "ready");
                domain.run(base::seconds{1} + milliseconds{phase});
                CPPUNIT_ASSERT(domain.uses("leaving"));
                if (leaveAfter < 0) {
                    domain.runBusy(milliseconds{50});
                    domain.put("leaving", "draining");
                    domain.run(milliseconds{-leaveAfter});
                }
                for (Router *reader : domain.readers) {
                    domain.setFault(reader, RelayFault::Silent);
                    reader->clients.isSilent = true;
                }
                if (leaveAfter > 0) {
                    domain.run(milliseconds{leaveAfter});
                    domain.put("leaving", "draining");
                    domain.nameVersions();
                }
                domain.run(base::seconds{4});
                const std::string row = "phase " + std::to_string(phase) + ", leaves after " + std::to_string(leaveAfter) + " ms: ";
                if (std::max(domain.longestUse, domain.longestVersion) > limit()) {
                    late += row + "used for " + base::formatMilliseconds(domain.longestUse) + " ms, earlier versions for "
                            + base::formatMilliseconds(domain.longestVersion) + " ms\n";
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), late);
    }

    // Both readers are refused by the store, one after the other or at once, and the follower's own connections to the store have
    // ended while they were idle. Its first call failed, and it took the next one for the end of an outage: it used an upstream that
    // was removed 1.7 s before for 1.7 s more.
    void testFollowerWhoseFirstCallFails()
    {
        std::string late;
        for (const int secondCut : {0, 300, 600, 900, 1300}) {
            for (const int phase : {0, 150, 300, 450, 600, 750, 900, 1050}) {
                StaleDomain domain;
                domain.put("leaving", "ready");
                domain.runBusy(base::seconds{1} + milliseconds{phase});
                domain.followers.front()->clients.closesIdleConnections = true;
                domain.reader->clients.isDisconnected = true;
                domain.runBusy(milliseconds{secondCut});
                for (Router *reader : domain.readers) {
                    reader->clients.isDisconnected = true;
                }
                domain.run(milliseconds{5});
                domain.remove("leaving");
                domain.run(milliseconds{3500});
                for (Router *reader : domain.readers) {
                    reader->clients.isDisconnected = false;
                }
                domain.run(base::seconds{4});
                if (domain.longestUse > limit()) {
                    late += "second cut after " + std::to_string(secondCut) + " ms, phase " + std::to_string(phase) + ": used for "
                            + base::formatMilliseconds(domain.longestUse) + " ms\n";
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), late);
    }

    // A follower knew until when its readers had been told only by a chain of waits for each of them. It knows that for each kind
    // of object now, and reads the store in time, whichever of its readers are refused, silent or gone, and in whatever order.
    void testFollowerReadsTheStoreInTime()
    {
        constexpr base::Duration Call = milliseconds{15}; // to the store, and steps of the test
        const base::Duration bound = GatewaySettings().control().maxUntoldTime + Heartbeat + Call;
        std::string late;
        for (std::uint64_t first = 0; first < Troubles; ++first) {
            for (std::uint64_t second = 0; second < Troubles; ++second) {
                for (const int gap : {0, 200, 600, 1000}) {
                    StaleDomain domain;
                    domain.put("leaving", "ready");
                    domain.run(base::seconds{1} + milliseconds{(first * 5 + second) * 130 % 1000});
                    startTrouble(domain, domain.reader, first);
                    domain.run(milliseconds{gap});
                    startTrouble(domain, domain.readers[domain.reader == domain.readers[0] ? 1 : 0], second);
                    domain.run(milliseconds{5});
                    domain.put("leaving", "draining");
                    domain.nameVersions();
                    domain.run(base::seconds{4});
                    const base::Duration longest = std::max(domain.longestUse, domain.longestVersion);
                    if (longest > bound) {
                        late += "troubles " + std::to_string(first) + " and " + std::to_string(second) + ", " + std::to_string(gap)
                                + " ms apart: " + base::formatMilliseconds(longest) + " ms\n";
                    }
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), late);
    }

    // Readers exist to save calls to the store.
    void testNoCallsWhileReadersAreWell()
    {
        StaleDomain domain;
        const int before = domain.followers.front()->clients.calls.watches;
        domain.run(base::seconds{30});
        domain.runBusy(base::seconds{30});
        CPPUNIT_ASSERT_EQUAL(before, domain.followers.front()->clients.calls.watches);
    }

    // No upstream is used for too long after it has left.
    void testUpstreamsInRandomTroubles()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), lateRounds(playedRounds(), &Delays::use));
    }

    // No configuration or target weights hold for too long after they were replaced.
    void testVersionsInRandomTroubles()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), lateRounds(playedRounds(), &Delays::version));
    }

    // Neither is late if the follower's own connections to the store also end while they are idle.
    void testRandomTroublesAndClosedConnections()
    {
        const std::vector<Delays> played = playRounds(ClosedConnectionRounds, true);
        CPPUNIT_ASSERT_EQUAL(std::string(), lateRounds(played, &Delays::use));
        CPPUNIT_ASSERT_EQUAL(std::string(), lateRounds(played, &Delays::version));
    }

    // Followers notice an outage of the store earlier, and for all tables, since their readers stop answering. Over outages
    // of 9 s at twelve phases, in 20 s each, the domain makes no more calls to the store than when only the configuration's age was checked.
    void testCallsDuringOutages()
    {
        constexpr int FormerCalls = 1895;
        int followers = 0;
        int readers = 0;
        for (const int phase : {0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 1000, 1100}) {
            StaleDomain domain;
            domain.run(milliseconds{phase});
            const auto count = [](const std::vector<Router *> &routers) {
                int calls = 0;
                for (const Router *router : routers) {
                    calls += router->clients.calls.watches;
                }
                return calls;
            };
            followers -= count(domain.followers);
            readers -= count(domain.readers);
            domain.store().isDown = true;
            domain.run(base::seconds{9});
            domain.store().isDown = false;
            domain.run(base::seconds{11});
            followers += count(domain.followers);
            readers += count(domain.readers);
            CPPUNIT_ASSERT_MESSAGE("served by a reader again", domain.readerOfFollower() != nullptr);
        }
        std::cout << " follower " << followers << ", both readers " << readers << " calls";
        CPPUNIT_ASSERT(followers + readers <= FormerCalls);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StaleReaderTest);

} // namespace carawaylatch::gateway::testing
