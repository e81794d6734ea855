// Tests how control planes of several routers tell the software of streams from one store.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

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
    CPPUNIT_TEST_SUITE_END();

    base::SteadyClock m_clock;
    NullLog m_log;
    std::vector<std::unique_ptr<TestCluster>> m_clusters;
    // Destroyed before the clusters that its coroutines refer to.
    std::unique_ptr<boost::asio::io_context> m_loop = std::make_unique<boost::asio::io_context>(1);

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
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamSoftwareTest);

} // namespace carawaylatch::gateway::testing
