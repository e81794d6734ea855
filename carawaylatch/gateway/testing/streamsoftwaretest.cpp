// Tests how control planes of several routers tell the software of streams from one store, with
// faults at each of the first calls. Several clusters run concurrently on one event loop.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/gateway/testing/testcluster.h"

namespace carawaylatch::gateway::testing
{

namespace
{

const base::PoolName PoolP("p");
constexpr base::Duration Limit = base::seconds{10}; // of a wait for a condition

// "?" if the software is unknown, "!" if the store could not be read.
std::string answerText(const proxy::OriginAnswer &answer)
{
    switch (answer.verdict) {
    case proxy::OriginVerdict::Known:
        return answer.software.value();
    case proxy::OriginVerdict::Unknown:
        return "?";
    case proxy::OriginVerdict::Unavailable:
        break;
    }
    return "!";
}

proxy::StreamOrigin origin(std::uint64_t stream, const std::string &software)
{
    return {stream, base::SoftwareVersion(software)};
}

} // namespace

class StreamSoftwareTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamSoftwareTest);
    CPPUNIT_TEST(testStreamsAreRejoinedAfterAllRoutersWereKilled);
    CPPUNIT_TEST(testStreamsOfAVersionThatHasLeftAreNotRejoinedAtAnother);
    CPPUNIT_TEST(testOnlyVersionIsKnownWithoutRecords);
    CPPUNIT_TEST(testNewVersionIsPublishedOnceStored);
    CPPUNIT_TEST(testFirstSnapshotHasAdmittedVersions);
    CPPUNIT_TEST(testFirstSnapshotWithoutCoordinationObjects);
    CPPUNIT_TEST(testRemovedObjectIsWrittenAgain);
    CPPUNIT_TEST(testVersionIsAdmittedWithoutLeaseHolder);
    CPPUNIT_TEST(testRefusedRouterAnswersUnavailable);
    CPPUNIT_TEST(testStaleWatchAnswersFromFreshRead);
    CPPUNIT_TEST(testQuestionsShareReads);
    CPPUNIT_TEST(testQuestionDuringASearchGetsALaterRead);
    CPPUNIT_TEST(testQuestionsAreBounded);
    CPPUNIT_TEST(testReadsOfALargeFleetAreBounded);
    CPPUNIT_TEST(testRecordsOnSeveralPages);
    CPPUNIT_TEST(testRecordsOfRemovedRouterAreRemoved);
    CPPUNIT_TEST(testStoreComesBackFromACopy);
    CPPUNIT_TEST(testNoCallsWithoutResumableRoutes);
    CPPUNIT_TEST(testEveryFaultAtEveryCall);
    CPPUNIT_TEST_SUITE_END();

    base::SteadyClock m_clock;
    NullLog m_log;
    std::vector<std::unique_ptr<TestCluster>> m_clusters;
    // Destroyed before the clusters that its coroutines refer to.
    std::unique_ptr<boost::asio::io_context> m_loop = std::make_unique<boost::asio::io_context>(1);

    void resetClusters()
    {
        m_loop.reset();
        m_clusters.clear();
        m_loop = std::make_unique<boost::asio::io_context>(1);
    }
    // A cluster with resumable streams whose upstreams e0, e1 and e2 have these versions.
    TestCluster &addCluster(const std::vector<std::string> &software)
    {
        m_clusters.push_back(std::make_unique<TestCluster>(*m_loop, m_clock, m_log.log));
        TestCluster &cluster = *m_clusters.back();
        cluster.store.put(ObjectKind::Tables, "main", "1 p");
        for (int i = 0; i < Engines; ++i) {
            putUpstream(cluster, i, software[static_cast<std::size_t>(i) % software.size()]);
        }
        return cluster;
    }
    static void putUpstream(TestCluster &cluster, int index, const std::string &software)
    {
        cluster.store.put(ObjectKind::Upstreams, "e" + std::to_string(index), "p ready 1 1 " + software);
    }
    bool runUntil(const std::function<bool()> &condition)
    {
        const base::TimePoint end = m_clock.now() + Limit;
        while (!condition() && m_clock.now() < end) {
            m_loop->run_for(std::chrono::milliseconds{2});
        }
        return condition();
    }
    void runFor(std::chrono::milliseconds duration)
    {
        m_loop->run_for(duration);
    }
    static bool admits(const Router &router, const std::vector<std::string> &software)
    {
        std::set<base::SoftwareVersion> expected;
        for (const std::string &name : software) {
            expected.insert(base::SoftwareVersion(name));
        }
        const auto it = router.last ? router.last->software.find(PoolP) : decltype(router.last->software.end()){};
        return router.last && it != router.last->software.end() && it->second == expected;
    }
    static bool allAdmit(const TestCluster &cluster, const std::vector<std::string> &software)
    {
        return std::all_of(cluster.routers.begin(), cluster.routers.end(), [&software](const auto &router) {
            return router->clients.isDisconnected || admits(*router, software);
        });
    }
    std::string ask(Router &router, std::uint64_t stream)
    {
        auto text = std::make_shared<std::string>();
        router.plane.findOrigin(PoolP, stream, [text](const proxy::OriginAnswer &answer) {
            *text = answerText(answer);
        });
        runUntil([&text] {
            return !text->empty();
        });
        return *text;
    }
    // Asks again while the answer is "?".
    std::string askRepeatedly(Router &router, std::uint64_t stream)
    {
        std::string text;
        runUntil([&] {
            text = ask(router, stream);
            return text != "?";
        });
        return text;
    }
    static std::string recordsOf(TestCluster &cluster, const std::string &router)
    {
        const auto &objects = cluster.store.objects(ObjectKind::Streams);
        const auto it = objects.find(router);
        return it == objects.end() ? "" : it->second.text;
    }
    // The processes that run are killed, and start again.
    static void restartRouters(TestCluster &cluster, const std::vector<std::string> &names)
    {
        for (const auto &router : cluster.routers) {
            router->clients.isDisconnected = true;
        }
        for (const std::string &name : names) {
            cluster.addRouter(name);
        }
    }

public:
    void testStreamsAreRejoinedAfterAllRoutersWereKilled()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.addRouter("a");
        cluster.addRouter("b");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"});
        }));
        cluster.routers[0]->plane.onStreamsSent({origin(1, "v1"), origin(2, "v2")});
        cluster.routers[1]->plane.onStreamsSent({origin(3, "v1")});
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return !recordsOf(cluster, "a").empty() && !recordsOf(cluster, "b").empty();
        }));
        restartRouters(cluster, {"a", "b"});
        for (const std::size_t router : {2, 3}) {
            CPPUNIT_ASSERT_EQUAL(std::string("v1"), ask(*cluster.routers[router], 1));
            CPPUNIT_ASSERT_EQUAL(std::string("v2"), ask(*cluster.routers[router], 2));
            CPPUNIT_ASSERT_EQUAL(std::string("v1"), ask(*cluster.routers[router], 3));
            CPPUNIT_ASSERT_EQUAL(std::string("?"), ask(*cluster.routers[router], 4));
        }
        // The earlier records stay when the new processes write theirs.
        cluster.routers[2]->plane.onStreamsSent({origin(5, "v2")});
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), askRepeatedly(*cluster.routers[3], 5));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), ask(*cluster.routers[3], 1));
    }

    void testStreamsOfAVersionThatHasLeftAreNotRejoinedAtAnother()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"});
        }));
        cluster.routers[0]->plane.onStreamsSent({origin(1, "v1")});
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return !recordsOf(cluster, "a").empty();
        }));
        for (int i = 0; i < Engines; ++i) {
            putUpstream(cluster, i, "v2");
        }
        restartRouters(cluster, {"a", "b"});
        for (const std::size_t router : {1, 2}) {
            CPPUNIT_ASSERT_EQUAL(std::string("v1"), ask(*cluster.routers[router], 1));
            CPPUNIT_ASSERT_EQUAL(std::string("?"), ask(*cluster.routers[router], 9));
        }
    }

    void testOnlyVersionIsKnownWithoutRecords()
    {
        TestCluster &cluster = addCluster({"v1"});
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1"});
        }));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), ask(*cluster.routers[0], 9));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no records were read", 0, cluster.store.lists(ObjectKind::Streams));
        cluster.routers[0]->plane.onStreamsSent({origin(1, "v1")});
        runFor(std::chrono::milliseconds{600});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no records were written", std::string(), recordsOf(cluster, "a"));
        putUpstream(cluster, 0, "v2");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"}) && !recordsOf(cluster, "a").empty();
        }));
        cluster.addRouter("b");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("sent before v2 came", std::string("v1"), ask(*cluster.routers[1], 1));
    }

    // Otherwise a router could begin a stream of a version that others don't know of.
    void testNewVersionIsPublishedOnceStored()
    {
        TestCluster &cluster = addCluster({"v1"});
        cluster.addRouter("a");
        cluster.addRouter("b");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1"});
        }));
        putUpstream(cluster, 0, "v2");
        const auto isStored = [&cluster] {
            const auto &objects = cluster.store.objects(ObjectKind::Coordination);
            const auto it = objects.find(std::string(SoftwareName));
            return it != objects.end() && SoftwareRecord::decode(it->second.text).pools[PoolP].contains(base::SoftwareVersion("v2"));
        };
        CPPUNIT_ASSERT(runUntil([&] {
            const bool isAdmitted = admits(*cluster.routers[0], {"v1", "v2"}) || admits(*cluster.routers[1], {"v1", "v2"});
            CPPUNIT_ASSERT(!isAdmitted || isStored());
            return allAdmit(cluster, {"v1", "v2"});
        }));
    }

    // v2 came while all routers were down. The list of coordination objects, the last of a start's four, is slow.
    void testFirstSnapshotHasAdmittedVersions()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.store.put(ObjectKind::Coordination, std::string(SoftwareName), "complete 0 p=v1");
        cluster.store.fault = CallFault::Slow;
        cluster.store.faultyCall = 4;
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return cluster.routers[0]->first != nullptr;
        }));
        const SoftwareByPool &software = cluster.routers[0]->first->software;
        CPPUNIT_ASSERT_EQUAL(std::string("p=v1"), encodePools(software));
    }

    void testRemovedObjectIsWrittenAgain()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"});
        }));
        const std::string name(SoftwareName);
        StoreEra era;
        const StoreLink link;
        FakeClient client(cluster.store, link, era);
        std::uint64_t removed = 0;
        boost::asio::co_spawn(
            *m_loop,
            [&]() -> Awaitable<void> {
                const std::uint64_t revision = cluster.store.objects(ObjectKind::Coordination).at(name).revision;
                const auto result = co_await client.remove(ObjectKind::Coordination, name, revision);
                removed = result ? revision : 0;
            },
            boost::asio::detached);
        CPPUNIT_ASSERT(runUntil([&] {
            const auto &objects = cluster.store.objects(ObjectKind::Coordination);
            const auto it = objects.find(name);
            return removed != 0 && it != objects.end() && it->second.revision > removed;
        }));
        const SoftwareRecord record = SoftwareRecord::decode(cluster.store.objects(ObjectKind::Coordination).at(name).text);
        CPPUNIT_ASSERT_EQUAL(std::string("p=v1,v2"), encodePools(record.pools));
    }

    void testFirstSnapshotWithoutCoordinationObjects()
    {
        TestCluster &cluster = addCluster({"v1"});
        cluster.store.refusedList = ObjectKind::Coordination;
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return cluster.routers[0]->last && cluster.routers[0]->last->upstreams.size() == Engines;
        }));
    }

    // A lease that another router holds without end.
    void testVersionIsAdmittedWithoutLeaseHolder()
    {
        TestCluster &cluster = addCluster({"v1"});
        ControlSettings settings = Router::settings("a");
        settings.lease.duration = base::hours{1};
        cluster.store.put(ObjectKind::Leases, std::string(LeaseName), fleet::encodeLease({base::RouterId("gone"), base::Incarnation{1}, 1}));
        cluster.addRouter(settings);
        settings.router = base::RouterId("b");
        cluster.addRouter(settings);
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1"});
        }));
    }

    void testRefusedRouterAnswersUnavailable()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.addRouter("a");
        cluster.addRouter("b");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"});
        }));
        cluster.routers[0]->plane.onStreamsSent({origin(1, "v1")});
        cluster.routers[0]->clients.isDisconnected = true;
        CPPUNIT_ASSERT_EQUAL(std::string("!"), ask(*cluster.routers[0], 2));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("sent by this router", std::string("v1"), ask(*cluster.routers[0], 1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("not stored", std::string("?"), ask(*cluster.routers[1], 1));
        cluster.routers[0]->clients.isDisconnected = false;
        CPPUNIT_ASSERT_EQUAL(std::string("?"), ask(*cluster.routers[0], 2));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), askRepeatedly(*cluster.routers[1], 1));
    }

    void testStaleWatchAnswersFromFreshRead()
    {
        TestCluster &cluster = addCluster({"v1"});
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1"});
        }));
        cluster.store.keepCopy();
        cluster.store.areStaleReadsOld = true;
        cluster.store.areWatchesSilent = true;
        cluster.store.put(ObjectKind::Coordination, std::string(SoftwareName), "complete 0 p=v1,v2");
        cluster.store.put(ObjectKind::Streams, "z", "v2 7\n");
        CPPUNIT_ASSERT_EQUAL(std::string("?"), ask(*cluster.routers[0], 9));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), ask(*cluster.routers[0], 7));
        CPPUNIT_ASSERT(admits(*cluster.routers[0], {"v1"}));
    }

    void testQuestionsShareReads()
    {
        constexpr int Questions = 200;
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"});
        }));
        const int before = cluster.store.lists(ObjectKind::Streams);
        int answered = 0;
        for (int i = 0; i < Questions; ++i) {
            cluster.routers[0]->plane.findOrigin(PoolP, 1'000 + static_cast<std::uint64_t>(i), [&answered](const proxy::OriginAnswer &) {
                ++answered;
            });
        }
        CPPUNIT_ASSERT(runUntil([&answered] {
            return answered == Questions;
        }));
        CPPUNIT_ASSERT_EQUAL(1, cluster.store.lists(ObjectKind::Streams) - before);
    }

    void testQuestionDuringASearchGetsALaterRead()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"});
        }));
        Router &router = *cluster.routers[0];
        const int before = cluster.store.lists(ObjectKind::Streams);
        int answered = 0;
        const auto count = [&answered](const proxy::OriginAnswer &) {
            ++answered;
        };
        router.plane.findOrigin(PoolP, 1, count);
        while (cluster.store.lists(ObjectKind::Streams) == before) {
            m_loop->run_one();
        }
        CPPUNIT_ASSERT_EQUAL(0, answered);
        router.plane.findOrigin(PoolP, 2, count);
        CPPUNIT_ASSERT(runUntil([&answered] {
            return answered == 2;
        }));
        CPPUNIT_ASSERT_EQUAL(2, cluster.store.lists(ObjectKind::Streams) - before);
    }

    void testQuestionsAreBounded()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"});
        }));
        std::string answers;
        for (std::size_t i = 0; i < StreamSoftware::MaxQuestions + 3; ++i) {
            cluster.routers[0]->plane.findOrigin(PoolP, i, [&answers](const proxy::OriginAnswer &answer) {
                answers += answerText(answer);
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::string("!!!"), answers);
        CPPUNIT_ASSERT(runUntil([&answers] {
            return answers.size() == StreamSoftware::MaxQuestions + 3;
        }));
    }

    // A second search would be due only seconds later; the caller is told at once.
    void testReadsOfALargeFleetAreBounded()
    {
        constexpr int Routers = 2'000;
        TestCluster &cluster = addCluster({"v1", "v2"});
        for (int i = 0; i < Routers; ++i) {
            cluster.store.put(ObjectKind::Coordination, "router.r" + std::to_string(i), "router");
        }
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"});
        }));
        CPPUNIT_ASSERT_EQUAL(std::string("?"), ask(*cluster.routers[0], 1));
        const int before = cluster.store.lists(ObjectKind::Streams);
        CPPUNIT_ASSERT_EQUAL(std::string("!"), ask(*cluster.routers[0], 1));
        CPPUNIT_ASSERT_EQUAL(before, cluster.store.lists(ObjectKind::Streams));
    }

    void testRecordsOnSeveralPages()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.store.pageSize = 2;
        for (int i = 0; i < 9; ++i) {
            cluster.store.put(ObjectKind::Streams, "z" + std::to_string(i), "v2 " + std::to_string(i) + "\n");
        }
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"});
        }));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), ask(*cluster.routers[0], 8));
        cluster.store.refusedListEvery = 2;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a page was not read", std::string("!"), ask(*cluster.routers[0], 8));
    }

    void testRecordsOfRemovedRouterAreRemoved()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        const base::Endpoint gone{"10.0.0.9", 7};
        cluster.store.put(ObjectKind::Coordination, "router.gone", encodeRouter({gone, {}, {}}));
        cluster.store.put(ObjectKind::Streams, "gone", "v1 1\n");
        cluster.store.put(ObjectKind::Streams, "other", "v1 2\n");
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return allAdmit(cluster, {"v1", "v2"}) && cluster.routers[0]->last->routers == 2;
        }));
        cluster.routers[0]->plane.onRouterUnreachable(gone);
        CPPUNIT_ASSERT(runUntil([&cluster] {
            return !cluster.store.objects(ObjectKind::Streams).contains("gone");
        }));
        CPPUNIT_ASSERT(cluster.store.objects(ObjectKind::Streams).contains("other"));
    }

    // The copy knows only of v1. One router was killed at the rise; another goes on and writes again what it knows.
    void testStoreComesBackFromACopy()
    {
        for (const bool isOneAlive : {false, true}) {
            TestCluster &cluster = addCluster({"v1"});
            cluster.addRouter("a");
            cluster.addRouter("b");
            CPPUNIT_ASSERT(runUntil([&cluster] {
                return allAdmit(cluster, {"v1"});
            }));
            cluster.store.keepCopy();
            putUpstream(cluster, 0, "v2");
            CPPUNIT_ASSERT(runUntil([&cluster] {
                return allAdmit(cluster, {"v1", "v2"});
            }));
            cluster.routers[0]->plane.onStreamsSent({origin(1, "v2")});
            CPPUNIT_ASSERT(runUntil([&cluster] {
                return !recordsOf(cluster, "a").empty();
            }));
            cluster.routers[0]->clients.isDisconnected = !isOneAlive;
            cluster.routers[1]->clients.isDisconnected = true;
            cluster.store.comeBackFromCopy();
            cluster.addRouter("c");
            CPPUNIT_ASSERT_EQUAL_MESSAGE("v1 is not taken for the only version", std::string("?"), ask(*cluster.routers[2], 9));
            if (isOneAlive) {
                CPPUNIT_ASSERT_EQUAL(std::string("v2"), askRepeatedly(*cluster.routers[2], 1));
                CPPUNIT_ASSERT(runUntil([&cluster] {
                    return allAdmit(cluster, {"v1", "v2"});
                }));
            }
            CPPUNIT_ASSERT_EQUAL(std::string("?"), ask(*cluster.routers[2], 9));
        }
    }

    void testNoCallsWithoutResumableRoutes()
    {
        TestCluster &cluster = addCluster({"v1", "v2"});
        cluster.store.put(ObjectKind::Tables, "main", "2");
        cluster.addRouter("a");
        runFor(std::chrono::milliseconds{1'000});
        CPPUNIT_ASSERT(cluster.routers[0]->newestTable == 2);
        CPPUNIT_ASSERT(!cluster.store.objects(ObjectKind::Coordination).contains(std::string(SoftwareName)));
        CPPUNIT_ASSERT(!cluster.store.objects(ObjectKind::Streams).contains("a"));
    }

    // The calls cover the start, the first versions, a further version and the records.
    void testEveryFaultAtEveryCall()
    {
        constexpr int Calls = 48;
        constexpr int CallsAtOnce = 8;
        for (const CallFault fault : AllCallFaults) {
            for (int first = 1; first <= Calls; first += CallsAtOnce) {
                resetClusters();
                for (int call = first; call < first + CallsAtOnce; ++call) {
                    TestCluster &cluster = addCluster({"v1"});
                    cluster.store.fault = fault;
                    cluster.store.faultyCall = call;
                    cluster.addRouter("a");
                    cluster.addRouter("b");
                }
                addVersionAndStreams();
            }
        }
    }

    void addVersionAndStreams()
    {
        const auto allClustersAdmit = [this](const std::vector<std::string> &software) {
            return runUntil([this, &software] {
                return std::all_of(m_clusters.begin(), m_clusters.end(), [&software](const auto &cluster) {
                    return allAdmit(*cluster, software);
                });
            });
        };
        CPPUNIT_ASSERT(allClustersAdmit({"v1"}));
        for (const auto &cluster : m_clusters) {
            cluster->routers[0]->plane.onStreamsSent({origin(1, "v1")});
            putUpstream(*cluster, 0, "v2");
        }
        CPPUNIT_ASSERT(allClustersAdmit({"v1", "v2"}));
        for (const auto &cluster : m_clusters) {
            cluster->routers[1]->plane.onStreamsSent({origin(2, "v2")});
        }
        for (const auto &cluster : m_clusters) {
            const std::string text =
                "fault " + std::to_string(static_cast<int>(cluster->store.fault)) + " at call " + std::to_string(cluster->store.faultyCall);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("v1"), askUntilKnown(*cluster->routers[1], 1));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("v2"), askUntilKnown(*cluster->routers[0], 2));
        }
    }

    // Asks again while the answer is "?", or "!" as the call with the fault.
    std::string askUntilKnown(Router &router, std::uint64_t stream)
    {
        std::string text;
        runUntil([&] {
            text = ask(router, stream);
            return text != "?" && text != "!";
        });
        return text;
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamSoftwareTest);

} // namespace carawaylatch::gateway::testing
