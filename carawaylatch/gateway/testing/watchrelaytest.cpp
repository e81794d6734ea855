// Tests of the parts by which routers learn of changes of the store from a few readers, and
// of whole control planes under each fault of a reader at each step of a change.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <iostream>
#include <optional>
#include <string>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/gateway/http2relay.h"
#include "carawaylatch/gateway/readerchoice.h"
#include "carawaylatch/gateway/storeversion.h"
#include "carawaylatch/gateway/testing/testcluster.h"
#include "carawaylatch/gateway/watchlog.h"
#include "testing/endlesshttp2caller.h"
#include "testing/seed.h"

namespace carawaylatch::gateway::testing
{

namespace
{

constexpr auto Kind = ObjectKind::Upstreams;

StoredObject object(const std::string &name, std::uint64_t revision, bool isRemoved = false)
{
    return StoredObject{name, "r" + std::to_string(revision), revision, isRemoved};
}

std::vector<base::Endpoint> endpoints(int n)
{
    std::vector<base::Endpoint> out;
    out.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) {
        out.push_back({"10.0.0." + std::to_string(i + 1), 7000});
    }
    return out;
}

// Answers each poll with a given answer.
class FixedSource : public RelaySource
{
public:
    Awaitable<std::unique_ptr<RelayAnswer>> answer(RelayPoll poll) override
    {
        lastPoll = poll;
        co_return std::make_unique<RelayAnswer>(next);
    }
    RelayAnswer next;
    RelayPoll lastPoll;
};

} // namespace

class WatchLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WatchLogTest);
    CPPUNIT_TEST(testUnknownRevisions);
    CPPUNIT_TEST(testReaderOfAnEarlierEra);
    CPPUNIT_TEST(testRandomHistories);
    CPPUNIT_TEST(testBound);
    CPPUNIT_TEST_SUITE_END();

public:
    // A reader that has not seen the store come back from a copy confirms nothing to a router that has, and the reverse.
    void testReaderOfAnEarlierEra()
    {
        WatchLog log;
        log.onListed(Kind, makeVersion(1, 10));
        log.onChanges(Kind, makeVersion(1, 10), makeVersion(1, 15), {object("a", makeVersion(1, 14))}, {});
        CPPUNIT_ASSERT(!log.changesSince(Kind, makeVersion(2, 3)).has_value());
        CPPUNIT_ASSERT(log.changesSince(Kind, makeVersion(1, 12)).has_value());
        log.onListed(Kind, makeVersion(2, 3));
        CPPUNIT_ASSERT(!log.changesSince(Kind, makeVersion(1, 15)).has_value());
        CPPUNIT_ASSERT(log.changesSince(Kind, makeVersion(2, 3)).has_value());
        // A router of the version before answers a poll of a later era as if it knew that era.
        const RelayAnswer answer{true, makeVersion(2, 3), {}, {}, {}, {}, {}};
        CPPUNIT_ASSERT(decodeRelayAnswer(encodeRelayAnswer(answer)).value().isKnown);
        std::string former = encodeRelayAnswer(answer);
        former.replace(former.find("\"eras\""), 6, "\"none\"");
        CPPUNIT_ASSERT(!decodeRelayAnswer(former).value().isKnown);
    }

    void testUnknownRevisions()
    {
        WatchLog log;
        CPPUNIT_ASSERT(!log.changesSince(Kind, 0) && !log.changesSince(Kind, 5));
        log.onListed(Kind, 10);
        CPPUNIT_ASSERT(!log.changesSince(Kind, 9).has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, log.changesSince(Kind, 10)->revision);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("never back", std::uint64_t{12}, log.changesSince(Kind, 12)->revision);
        log.onChanges(Kind, 10, 15, {object("a", 14)}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.changesSince(Kind, 10)->objects.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.changesSince(Kind, 13)->objects.size());
        CPPUNIT_ASSERT_MESSAGE("a change that is known", log.changesSince(Kind, 14)->objects.empty() && log.changesSince(Kind, 14)->revision == 15);
        CPPUNIT_ASSERT(log.changesSince(Kind, 15)->objects.empty());
        log.onChanges(Kind, 20, 21, {object("b", 21)}, {});
        CPPUNIT_ASSERT_MESSAGE("the changes from 15 to 20 are missing", !log.changesSince(Kind, 15).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.changesSince(Kind, 20)->objects.size());
    }

    // A router that applies what the log gives it holds the same objects as one that saw all
    // changes, from whatever revision it starts.
    void testRandomHistories()
    {
        base::Random random(carawaylatch::testing::seed());
        for (int round = 0; round < 300; ++round) {
            WatchLog log;
            log.onListed(Kind, 1);
            std::vector<std::map<std::string, std::uint64_t>> states(2); // by revision
            std::uint64_t revision = 1;
            for (int batch = 0; batch < 8; ++batch) {
                const std::uint64_t since = revision;
                std::vector<StoredObject> objects;
                for (std::uint64_t n = random.next() % 4; n > 0; --n) {
                    const std::string name(1, static_cast<char>('a' + random.next() % 3));
                    objects.push_back(object(name, ++revision, random.next() % 3 == 0));
                    states.push_back(states.back());
                    if (objects.back().isRemoved) {
                        states.back().erase(name);
                    } else {
                        states.back()[name] = revision;
                    }
                }
                log.onChanges(Kind, since, revision, objects, {});
            }
            for (std::uint64_t from = 1; from <= revision; ++from) {
                auto state = states[from];
                const auto changes = log.changesSince(Kind, from);
                CPPUNIT_ASSERT(changes && changes->revision == revision);
                for (const StoredObject &it : changes->objects) {
                    CPPUNIT_ASSERT_MESSAGE("a change that is known", it.isRemoved || it.revision > from);
                    if (it.isRemoved) {
                        state.erase(it.name);
                    } else {
                        state[it.name] = it.revision;
                    }
                }
                CPPUNIT_ASSERT(state == states[revision]);
            }
        }
    }

    void testBound()
    {
        WatchLog log;
        log.onListed(Kind, 1);
        const std::string text(WatchLog::MaxBytes / 3, 't');
        for (std::uint64_t revision = 2; revision < 12; ++revision) {
            log.onChanges(Kind, revision - 1, revision, {StoredObject{"a", text, revision, false}}, {});
        }
        CPPUNIT_ASSERT(!log.changesSince(Kind, 5).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.changesSince(Kind, 10)->objects.size());
        CPPUNIT_ASSERT(log.changesSince(Kind, 11)->objects.empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WatchLogTest);

class ReaderChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReaderChoiceTest);
    CPPUNIT_TEST(testRoutersAgree);
    CPPUNIT_TEST(testFailedReadersAreReplaced);
    CPPUNIT_TEST(testFewRoutersReadThemselves);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRoutersAgree()
    {
        for (const int n : {3, 15, 283}) {
            const auto routers = endpoints(n);
            std::map<base::Endpoint, int> polls;
            int readers = 0;
            for (const auto &self : routers) {
                ReaderChoice choice(self, {});
                choice.setRouters(routers);
                const auto reader = choice.reader({});
                readers += reader ? 0 : 1;
                if (reader) {
                    ++polls[*reader];
                }
            }
            CPPUNIT_ASSERT_EQUAL(2, readers);
            for (const auto &[reader, count] : polls) {
                ReaderChoice choice(reader, {});
                choice.setRouters(routers);
                CPPUNIT_ASSERT_MESSAGE("polled, but not a reader", !choice.reader({}));
            }
        }
    }

    // Every router that finds the first ones dead becomes a reader or finds one; each dead one
    // is tried again, ever less often.
    void testFailedReadersAreReplaced()
    {
        const auto routers = endpoints(6);
        ReaderChoice choice(routers[3], {1, base::seconds{2}, base::seconds{30}});
        choice.setRouters(routers);
        base::TimePoint now;
        std::vector<base::Endpoint> failed;
        while (const auto reader = choice.reader(now)) {
            CPPUNIT_ASSERT(std::find(failed.begin(), failed.end(), *reader) == failed.end());
            failed.push_back(*reader);
            choice.onFailed(*reader, now);
            choice.onFailed(*reader, now); // a second call to it
        }
        CPPUNIT_ASSERT(failed.size() < routers.size());
        if (failed.empty()) {
            return; // this router is the first in the order
        }
        now += base::seconds{2};
        CPPUNIT_ASSERT(choice.reader(now) == failed[0]);
        choice.onFailed(failed[0], now);
        now += base::seconds{3};
        CPPUNIT_ASSERT(choice.reader(now) != failed[0]);
        now += base::seconds{1};
        CPPUNIT_ASSERT(choice.reader(now) == failed[0]);
        choice.onAnswered(failed[0]);
        choice.onFailed(failed[0], now);
        now += base::seconds{2};
        CPPUNIT_ASSERT(choice.reader(now) == failed[0]);
    }

    void testFewRoutersReadThemselves()
    {
        const auto routers = endpoints(2);
        for (const auto &self : routers) {
            ReaderChoice choice(self, {});
            choice.setRouters(routers);
            CPPUNIT_ASSERT(!choice.reader({}));
        }
        ReaderChoice disabled({"10.0.0.1", 0}, {});
        disabled.setRouters(endpoints(9));
        CPPUNIT_ASSERT(!disabled.reader({}));
        ReaderChoice none({"10.0.0.9", 7000}, {0, {}, {}});
        none.setRouters(endpoints(9));
        CPPUNIT_ASSERT(!none.reader({}));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReaderChoiceTest);

class WatchRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WatchRelayTest);
    CPPUNIT_TEST(testMessages);
    CPPUNIT_TEST(testPollOverHttp2);
    CPPUNIT_TEST(testEndlessPollsOfACallerThatDoesNotRead);
    CPPUNIT_TEST(testFewRoutersCallTheStore);
    CPPUNIT_TEST(testEveryFaultOfAReaderAtEveryStep);
    CPPUNIT_TEST(testSilentReaderDoesNotAgeTheConfiguration);
    CPPUNIT_TEST(testStoreOutageIsSeenBehindReaders);
    CPPUNIT_TEST(testAgeIsCountedFromTheConfirmingCall);
    CPPUNIT_TEST_SUITE_END();

    base::SteadyClock m_clock;
    NullLog m_log;
    std::unique_ptr<TestCluster> m_cluster;
    // Destroyed before the cluster that its coroutines refer to.
    std::unique_ptr<boost::asio::io_context> m_loop = std::make_unique<boost::asio::io_context>(1);

    static constexpr int Routers = 6;

    static base::Endpoint relayOf(int router)
    {
        return {"10.0.0." + std::to_string(router + 1), 7100};
    }

    void startCluster()
    {
        stopCluster();
        m_cluster = std::make_unique<TestCluster>(*m_loop, m_clock, m_log.log);
        for (int i = 0; i < Routers; ++i) {
            ControlSettings settings = Router::settings(std::string(1, static_cast<char>('a' + i)));
            settings.peers = {"10.0.0." + std::to_string(i + 1), 7000};
            settings.domain = base::FailureDomain("d");
            settings.relay = relayOf(i);
            settings.readers = {2, base::milliseconds{200}, base::milliseconds{800}};
            settings.watchWait = base::milliseconds{100};
            m_cluster->addRouter(settings);
        }
        // A reader may itself have polled another router before it knew all routers.
        CPPUNIT_ASSERT(runUntil(
            [this] {
                return allHaveTable(1) && pollers() >= Routers - 2;
            },
            base::seconds{10}));
    }
    void stopCluster()
    {
        m_loop.reset();
        m_cluster.reset();
        m_loop = std::make_unique<boost::asio::io_context>(1);
    }

    template <typename Condition>
    bool runUntil(Condition condition, base::Duration limit = base::seconds{5})
    {
        const auto end = m_clock.now() + limit;
        while (!condition() && m_clock.now() < end) {
            m_loop->run_for(std::chrono::milliseconds{2});
        }
        return condition();
    }
    [[nodiscard]] bool allHaveTable(std::uint64_t version) const
    {
        return std::all_of(m_cluster->routers.begin(), m_cluster->routers.end(), [version](const auto &router) {
            return router->newestTable >= version;
        });
    }
    // Routers that learn of changes from a reader.
    [[nodiscard]] int pollers() const
    {
        return static_cast<int>(std::count_if(m_cluster->routers.begin(), m_cluster->routers.end(), [](const auto &router) {
            return router->relay.polls > 3;
        }));
    }
    // The endpoints of the routers that watch the store while all are well.
    [[nodiscard]] std::vector<base::Endpoint> readers() const
    {
        std::vector<base::Endpoint> routers;
        routers.reserve(Routers);
        for (int i = 0; i < Routers; ++i) {
            routers.push_back(relayOf(i));
        }
        std::vector<base::Endpoint> out;
        for (const auto &self : routers) {
            ReaderChoice choice(self, {});
            choice.setRouters(routers);
            if (!choice.reader({})) {
                out.push_back(self);
            }
        }
        return out;
    }
    [[nodiscard]] Router &routerAt(const base::Endpoint &endpoint) const
    {
        return *m_cluster->routers[static_cast<std::size_t>(std::stoi(endpoint.address.substr(7)) - 1)];
    }
    [[nodiscard]] std::string violation() const
    {
        return m_cluster->violation();
    }

public:
    void tearDown() override
    {
        stopCluster();
    }

    void testMessages()
    {
        const auto poll = decodeRelayPoll(encodeRelayPoll({ObjectKind::Weights, 77, base::milliseconds{1200}}));
        CPPUNIT_ASSERT(poll.value().kind == ObjectKind::Weights && poll.value().since == 77 && poll.value().wait == base::milliseconds{1200});
        RelayAnswer answer{
            true, 9, base::milliseconds{300}, base::milliseconds{40}, base::milliseconds{500}, {object("a", 8), object("b", 9, true)}, base::milliseconds{700}};
        answer.objects[0].text = "quotes \" and \xff bytes";
        const auto decoded = decodeRelayAnswer(encodeRelayAnswer(answer)).value();
        CPPUNIT_ASSERT(decoded.isKnown && decoded.revision == 9 && decoded.age == answer.age && decoded.held == answer.held
                       && decoded.returnAge == answer.returnAge);
        CPPUNIT_ASSERT(decoded.objects.size() == 2 && !decoded.objects[0].isRemoved && decoded.objects[1].isRemoved);
        CPPUNIT_ASSERT(decoded.changeAge == base::milliseconds{700});
        CPPUNIT_ASSERT(!decodeRelayAnswer(encodeRelayAnswer(RelayAnswer{true, 9, {}, {}, {}, {}, {}})).value().changeAge);
        answer.objects[0].text = std::string(MaxRelayBytes, 'x');
        CPPUNIT_ASSERT(!decodeRelayAnswer(encodeRelayAnswer(answer)).value().isKnown);
        // Every prefix and every changed byte is an error or a message, never a crash.
        const std::string text = encodeRelayAnswer(RelayAnswer{true, 9, {}, {}, {}, {object("a", 8)}, {}});
        for (std::size_t i = 0; i < text.size(); ++i) {
            CPPUNIT_ASSERT(!decodeRelayAnswer(text.substr(0, i)).has_value());
            std::string changed = text;
            changed[i] = '\x01';
            static_cast<void>(decodeRelayAnswer(changed));
        }
        CPPUNIT_ASSERT(!decodeRelayPoll("{}").has_value() && !decodeRelayPoll(std::string(3000, '[')).has_value());
        CPPUNIT_ASSERT(!decodeRelayPoll(R"({"kind":9,"since":1,"wait_us":1})").has_value());
    }

    void testPollOverHttp2()
    {
        Http2Relay reader(*m_loop, {"127.0.0.1", 0});
        FixedSource source;
        source.next = RelayAnswer{true, 9, base::milliseconds{300}, {}, {}, {StoredObject{"a", std::string(500'000, 't'), 9, false}}, {}};
        CPPUNIT_ASSERT(reader.listen(source).has_value());
        Http2Relay router(*m_loop, {});
        std::vector<base::Result<RelayAnswer>> answers;
        // Named, as GCC 12 destroys temporaries of a co_await expression twice.
        const base::Endpoint endpoint = reader.endpoint();
        const base::Endpoint closed{"127.0.0.1", 1};
        const RelayPoll poll{ObjectKind::Tables, 5, base::seconds{1}};
        // Ends the poll of a lost answer; the answers themselves take as long as the machine needs to encode and decode them.
        constexpr base::Duration Timeout = base::seconds{15};
        const auto call = [&]() -> Awaitable<void> {
            for (int i = 0; i < 3; ++i) {
                answers.push_back(co_await router.poll(endpoint, poll, Timeout));
            }
            answers.push_back(co_await router.poll(closed, poll, Timeout));
        };
        boost::asio::co_spawn(*m_loop, call(), boost::asio::detached);
        CPPUNIT_ASSERT(runUntil(
            [&] {
                return answers.size() == 4;
            },
            4 * Timeout));
        for (std::size_t i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_MESSAGE(answers[i] ? std::string() : answers[i].error().message, answers[i].has_value());
            CPPUNIT_ASSERT_EQUAL(std::size_t{500'000}, answers[i].value().objects.at(0).text.size());
        }
        CPPUNIT_ASSERT(source.lastPoll.since == 5 && source.lastPoll.kind == ObjectKind::Tables);
        CPPUNIT_ASSERT(!answers[3].has_value());
    }

    // The answers to them would be kept without a bound.
    void testEndlessPollsOfACallerThatDoesNotRead()
    {
        Http2Relay reader(*m_loop, {"127.0.0.1", 0});
        FixedSource source;
        CPPUNIT_ASSERT(reader.listen(source).has_value());
        const auto caller = std::make_shared<carawaylatch::testing::EndlessHttp2Caller>(*m_loop);
        caller->start(reader.endpoint().port);
        CPPUNIT_ASSERT_MESSAGE("still taken: " + std::to_string(caller->sentBytes()), caller->runUntilStopped());
    }

    void testFewRoutersCallTheStore()
    {
        startCluster();
        const int before = m_cluster->store.calls();
        m_loop->run_for(std::chrono::milliseconds{1500});
        const int calls = m_cluster->store.calls() - before;
        // Watches of two routers, and the lease reads of six.
        const int watches = 2 * (15 + 3 * 8);
        const int leaseReads = 6 * 1500 / 30;
        std::cout << " calls: " << calls;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls < watches + leaseReads * 5 / 4);
    }

    // Each fault strikes a reader before a change of the configuration, after it, or lasts and
    // ends. All routers learn of each change in time, none goes back, orders stay in turn.
    void testEveryFaultOfAReaderAtEveryStep()
    {
        constexpr base::Duration Limit = base::seconds{2}; // the bound of a configuration, a tenth of the default times and a slow machine
        int cases = 0;
        for (const RelayFault fault : {RelayFault::Closed, RelayFault::Silent, RelayFault::Late}) {
            for (const std::size_t struck : {std::size_t{1}, std::size_t{2}}) {
                for (const bool isStoreCut : {false, true}) {
                    startCluster();
                    const auto faulty = readers();
                    std::uint64_t version = 1;
                    for (const bool isFaulty : {true, true, false}) {
                        for (std::size_t i = 0; i < struck; ++i) {
                            m_cluster->network.faults[faulty[i]] = isFaulty ? fault : RelayFault::None;
                            routerAt(faulty[i]).clients.isDisconnected = isFaulty && isStoreCut;
                        }
                        m_cluster->store.put(ObjectKind::Tables, "main", std::to_string(++version));
                        const auto startedAt = m_clock.now();
                        const bool isInForce = runUntil([&] {
                            return std::all_of(m_cluster->routers.begin(), m_cluster->routers.end(), [version](const auto &router) {
                                return router->newestTable >= version || router->clients.isDisconnected;
                            });
                        });
                        const std::string step = "fault " + std::to_string(static_cast<int>(fault)) + ", readers " + std::to_string(struck) + ", cut "
                                                 + std::to_string(isStoreCut) + ", version " + std::to_string(version);
                        CPPUNIT_ASSERT_MESSAGE(step, isInForce && m_clock.now() - startedAt < Limit);
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(step, std::string(), violation());
                        ++cases;
                    }
                    CPPUNIT_ASSERT(runUntil([&] {
                        return allHaveTable(version);
                    }));
                }
            }
        }
        std::cout << " readers: " << cases << " cases";
    }

    // The configuration of a router whose reader falls silent stays young enough to be ready: at
    // most the wait of the reader's watch, that of a poll, and the poll's margin.
    void testSilentReaderDoesNotAgeTheConfiguration()
    {
        startCluster();
        base::Duration oldest{};
        for (const RelayFault fault : {RelayFault::Silent, RelayFault::None, RelayFault::Closed}) {
            for (const auto &reader : readers()) {
                m_cluster->network.faults[reader] = fault;
            }
            const auto end = m_clock.now() + base::milliseconds{1200};
            while (m_clock.now() < end) {
                m_loop->run_for(std::chrono::milliseconds{2});
                for (const auto &router : m_cluster->routers) {
                    oldest = std::max(oldest, router->age.age());
                }
            }
        }
        // 100 ms of a watch, 67 of a poll, 300 of its margin, and 200 for handlers on a loaded machine.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(base::toMilliseconds(oldest)), oldest < base::milliseconds{100 + 67 + 300 + 200});
    }

    // Routers behind a reader notice an outage of the store, by the age of what they know, and
    // keep upstreams whose entries expired meanwhile.
    void testStoreOutageIsSeenBehindReaders()
    {
        startCluster();
        m_cluster->store.isDown = true;
        CPPUNIT_ASSERT(runUntil([this] {
            return std::all_of(m_cluster->routers.begin(), m_cluster->routers.end(), [](const auto &router) {
                return router->age.age() > base::milliseconds{1500};
            });
        }));
        m_cluster->store.isDown = false;
        CPPUNIT_ASSERT(runUntil([this] {
            return std::all_of(m_cluster->routers.begin(), m_cluster->routers.end(), [](const auto &router) {
                return router->age.age() < base::milliseconds{400};
            });
        }));
        m_cluster->store.put(ObjectKind::Tables, "main", "2");
        CPPUNIT_ASSERT(runUntil([this] {
            return allHaveTable(2);
        }));
    }

    // An answer that is late on its way does not make what it confirms younger. Routers that are
    // not readers are cut off from the store, so that late answers alone confirm what they know.
    void testAgeIsCountedFromTheConfirmingCall()
    {
        constexpr int Answers = 4; // for each router
        startCluster();
        const auto all = readers();
        std::vector<Router *> others;
        for (int i = 0; i < Routers; ++i) {
            if (std::find(all.begin(), all.end(), relayOf(i)) == all.end()) {
                others.push_back(&routerAt(relayOf(i)));
            }
        }
        // Each of them follows a reader, with no call to the store in flight.
        CPPUNIT_ASSERT(runUntil(
            [&] {
                return std::all_of(others.begin(), others.end(), [&](const Router *it) {
                    return it->relay.answeredBy && std::find(all.begin(), all.end(), *it->relay.answeredBy) != all.end();
                });
            },
            base::seconds{10}));
        m_cluster->network.lateDelay = base::milliseconds{150};
        for (const auto &reader : all) {
            m_cluster->network.faults[reader] = RelayFault::Late;
        }
        for (Router *it : others) {
            it->clients.isDisconnected = true;
        }
        base::Duration youngest = base::hours{1};
        CPPUNIT_ASSERT(runUntil(
            [&] {
                bool isDone = true;
                for (const Router *it : others) {
                    // Before the first late answer, what was confirmed in time may be younger.
                    if (it->relay.lateAnswers > 0) {
                        youngest = std::min(youngest, it->age.age());
                    }
                    isDone = isDone && it->relay.lateAnswers >= Answers;
                }
                return isDone;
            },
            base::seconds{10}));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(base::toMilliseconds(youngest)), youngest >= base::milliseconds{140});
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WatchRelayTest);

} // namespace carawaylatch::gateway::testing
