// Tests ControlPlane against a faulty object store: each kind of fault at each of the
// first calls, and two routers of which the lease holder is disconnected. Several
// clusters run concurrently on one event loop, with a tenth of the default times.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/gateway/testing/testcluster.h"

namespace carawaylatch::gateway::testing
{

class ControlPlaneTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlPlaneTest);
    CPPUNIT_TEST(testEveryFaultAtEveryCall);
    CPPUNIT_TEST(testDisconnectedHolderIsReplaced);
    CPPUNIT_TEST(testNewHolderReadsChangingEnginesBeforeOrders);
    CPPUNIT_TEST(testStoppedHolderReleasesLease);
    CPPUNIT_TEST(testNoOrderIsSentAfterTheLeaseWasReleased);
    CPPUNIT_TEST(testEntryThatThrowsIsIgnored);
    CPPUNIT_TEST(testStoreOutage);
    CPPUNIT_TEST(testUpstreamRemovedLongAfterAnOutageIsGoneAtOnce);
    CPPUNIT_TEST(testUpstreamMissingAfterAnOutageIsGoneInTimeBesideSlowCalls);
    CPPUNIT_TEST(testPagedListFromOverloadedStore);
    CPPUNIT_TEST(testUnreachableRouterIsRemoved);
    CPPUNIT_TEST(testStoreComesBackFromACopy);
    CPPUNIT_TEST(testRemovedRouterRegistersAgain);
    CPPUNIT_TEST_SUITE_END();

    base::SteadyClock m_clock;
    NullLog m_log;
    std::vector<std::unique_ptr<TestCluster>> m_clusters;
    // Destroyed before the clusters that its coroutines refer to.
    std::unique_ptr<boost::asio::io_context> m_loop = std::make_unique<boost::asio::io_context>(1);

    // Destroys all clusters.
    void resetClusters()
    {
        m_loop.reset();
        m_clusters.clear();
        m_loop = std::make_unique<boost::asio::io_context>(1);
    }

    TestCluster &addCluster()
    {
        m_clusters.push_back(std::make_unique<TestCluster>(*m_loop, m_clock, m_log.log));
        return *m_clusters.back();
    }
    TestCluster &addClusterOfTwoRouters()
    {
        TestCluster &cluster = addCluster();
        cluster.addRouter("a");
        cluster.addRouter("b");
        return cluster;
    }
    // Announces new weights and returns the router that sends the first order.
    std::string firstHolder(TestCluster &cluster)
    {
        cluster.store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return !cluster.engines.orders.empty();
            },
            base::seconds{5}));
        return cluster.engines.orders.begin()->second.front().holder;
    }
    template <typename Condition>
    bool runUntil(Condition condition, base::Duration limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_loop->run_for(std::chrono::milliseconds{5});
        }
        return condition();
    }
    bool allClusters(const std::function<bool(const TestCluster &)> &predicate) const
    {
        return std::all_of(m_clusters.begin(), m_clusters.end(), [&predicate](const auto &cluster) {
            return predicate(*cluster);
        });
    }
    void assertNoViolation()
    {
        for (const auto &cluster : m_clusters) {
            const std::string violation = cluster->violation();
            CPPUNIT_ASSERT_MESSAGE(violation + " (fault " + std::to_string(static_cast<int>(cluster->store.fault)) + " at call "
                                       + std::to_string(cluster->store.faultyCall) + ")",
                                   violation.empty());
        }
    }
    static bool hasTable(const TestCluster &cluster, std::uint64_t version)
    {
        return std::all_of(cluster.routers.begin(), cluster.routers.end(), [version](const auto &router) {
            return router->last && router->newestTable == version;
        });
    }

public:
    // The calls cover the start, the acquisition of the lease, a rollout and a new
    // configuration. Only a few clusters run at a time, as an overloaded event loop would
    // renew no lease in time.
    void testEveryFaultAtEveryCall()
    {
        constexpr int Calls = 30;
        constexpr int CallsAtOnce = 6;
        for (const CallFault fault : AllCallFaults) {
            for (int first = 1; first <= Calls; first += CallsAtOnce) {
                resetClusters();
                for (int call = first; call < first + CallsAtOnce; ++call) {
                    TestCluster &cluster = addCluster();
                    cluster.store.fault = fault;
                    cluster.store.faultyCall = call;
                    cluster.addRouter("a");
                    cluster.addRouter("b");
                }
                changeEverything();
            }
        }
    }

    // Changes weights and configuration, and waits until all routers and engines have both.
    void changeEverything()
    {
        CPPUNIT_ASSERT(runUntil(
            [this] {
                return allClusters([](const TestCluster &cluster) {
                    return hasTable(cluster, 1);
                });
            },
            base::seconds{10}));
        for (const auto &cluster : m_clusters) {
            cluster->store.put(ObjectKind::Weights, "m", "m 2");
            cluster->store.put(ObjectKind::Tables, "main", "2");
        }
        CPPUNIT_ASSERT(runUntil(
            [this] {
                return allClusters([](const TestCluster &cluster) {
                    return hasTable(cluster, 2) && cluster.isChanged(2);
                });
            },
            base::seconds{20}));
        assertNoViolation();
    }

    void testDisconnectedHolderIsReplaced()
    {
        TestCluster &cluster = addClusterOfTwoRouters();
        const std::string holder = firstHolder(cluster);
        cluster.routers[holder == "a" ? 0 : 1]->clients.isDisconnected = true;
        cluster.store.put(ObjectKind::Weights, "m", "m 3");
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return cluster.isChanged(3);
            },
            base::seconds{10}));
        for (const auto &[engine, orders] : cluster.engines.orders) {
            CPPUNIT_ASSERT(orders.back().holder != holder);
        }
        assertNoViolation();
    }

    // Without this object a new holder can't know to which engines the previous holder sent
    // orders, and two orders could reach an engine within the lease time.
    void testNewHolderReadsChangingEnginesBeforeOrders()
    {
        TestCluster &cluster = addClusterOfTwoRouters();
        const std::string holder = firstHolder(cluster);
        cluster.store.areCoordinationReadsRefused = true;
        cluster.routers[holder == "a" ? 0 : 1]->clients.isDisconnected = true;
        cluster.store.put(ObjectKind::Weights, "m", "m 3");
        m_loop->run_for(std::chrono::milliseconds{1000});
        for (const auto &[engine, orders] : cluster.engines.orders) {
            CPPUNIT_ASSERT(orders.back().holder == holder);
        }
        cluster.store.areCoordinationReadsRefused = false;
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return cluster.isChanged(3);
            },
            base::seconds{10}));
        assertNoViolation();
    }

    // A stopping holder releases the lease, so that the other router acquires it at once.
    void testStoppedHolderReleasesLease()
    {
        TestCluster &cluster = addClusterOfTwoRouters();
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return !cluster.store.objects(ObjectKind::Leases).empty();
            },
            base::seconds{5}));
        const std::string first = cluster.store.objects(ObjectKind::Leases).begin()->second.text.substr(0, 1);
        cluster.routers[first == "a" ? 0 : 1]->plane.beginStop();
        CPPUNIT_ASSERT(runUntil(
            [&cluster, &first] {
                const std::string &text = cluster.store.objects(ObjectKind::Leases).begin()->second.text;
                return text.substr(0, 1) != first && text != fleet::encodeReleasedLease();
            },
            base::seconds{5}));
        cluster.store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return cluster.isChanged(2);
            },
            base::seconds{5}));
        assertNoViolation();
    }

    // The holder stops while it opens connections for its orders; the next holder may send its
    // own at once.
    void testNoOrderIsSentAfterTheLeaseWasReleased()
    {
        TestCluster &cluster = addClusterOfTwoRouters();
        cluster.engines.connectTime = base::milliseconds{120};
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return !cluster.store.objects(ObjectKind::Leases).empty();
            },
            base::seconds{5}));
        const std::string first = cluster.store.objects(ObjectKind::Leases).begin()->second.text.substr(0, 1);
        cluster.store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return cluster.engines.pendingOrders > 0;
            },
            base::seconds{5}));
        cluster.routers[first == "a" ? 0 : 1]->plane.beginStop();
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return cluster.isChanged(2);
            },
            base::seconds{5}));
        for (const auto &[engine, orders] : cluster.engines.orders) {
            for (const RecordedOrder &order : orders) {
                CPPUNIT_ASSERT_MESSAGE("sent after the release", order.holder != first);
            }
        }
        assertNoViolation();
    }

    // One entry makes the decoder throw; the others hold, and later changes are seen.
    void testEntryThatThrowsIsIgnored()
    {
        TestCluster &cluster = addCluster();
        cluster.store.put(ObjectKind::Upstreams, "bad", "throw");
        cluster.addRouter("a");
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return cluster.routers[0]->last && cluster.routers[0]->last->upstreams.size() == Engines;
            },
            base::seconds{5}));
        cluster.store.put(ObjectKind::Upstreams, "e9", "p ready 1 1");
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return cluster.routers[0]->last->upstreams.size() == Engines + 1;
            },
            base::seconds{5}));
    }

    // After an outage of the store, routers soon learn of the changes made during it.
    void testStoreOutage()
    {
        TestCluster &cluster = addClusterOfTwoRouters();
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return hasTable(cluster, 1);
            },
            base::seconds{5}));
        cluster.store.isDown = true;
        m_loop->run_for(std::chrono::milliseconds{400});
        CPPUNIT_ASSERT_MESSAGE("the configuration's age must include the outage", cluster.routers[0]->age.age() > base::milliseconds{250});
        cluster.store.put(ObjectKind::Tables, "main", "2");
        cluster.store.put(ObjectKind::Weights, "m", "m 2");
        cluster.store.isDown = false;
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return hasTable(cluster, 2) && cluster.isChanged(2) && cluster.routers[0]->age.age() < base::milliseconds{200};
            },
            base::seconds{5}));
        assertNoViolation();
    }

    // Entries that expired in an outage are back within two seconds. One that is removed later is not
    // missing because of the outage: the upstream leaves.
    void testUpstreamRemovedLongAfterAnOutageIsGoneAtOnce()
    {
        TestCluster &cluster = addCluster();
        ControlSettings settings = Router::settings("a");
        settings.longWatchWait = base::milliseconds{3500};
        cluster.addRouter(settings);
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return cluster.routers[0]->last && cluster.routers[0]->last->upstreams.size() == Engines;
            },
            base::seconds{5}));
        cluster.store.isDown = true;
        m_loop->run_for(std::chrono::milliseconds{400});
        cluster.store.isDown = false;
        m_loop->run_for(std::chrono::milliseconds{4500});
        cluster.store.erase(ObjectKind::Upstreams, "e0");
        const base::TimePoint removedAt = m_clock.now();
        CPPUNIT_ASSERT(runUntil(
            [&cluster] {
                return cluster.routers[0]->last->upstreams.size() == Engines - 1;
            },
            base::seconds{5}));
        const base::Duration used = m_clock.now() - removedAt;
        CPPUNIT_ASSERT_MESSAGE(base::formatMilliseconds(used), used < RemovalLimits{}.maxUse / 2);
    }

    // The end of the time for which a missing upstream is used was noticed only between the calls for the lease.
    void testUpstreamMissingAfterAnOutageIsGoneInTimeBesideSlowCalls()
    {
        constexpr base::Duration MaxLateness = base::milliseconds{300};
        TestCluster &cluster = addCluster();
        cluster.addRouter("a");
        const auto hasUpstreams = [&cluster](std::size_t upstreams) {
            return cluster.routers[0]->last && cluster.routers[0]->last->upstreams.size() == upstreams;
        };
        CPPUNIT_ASSERT(runUntil(
            [&hasUpstreams] {
                return hasUpstreams(Engines);
            },
            base::seconds{5}));
        cluster.store.isDown = true;
        m_loop->run_for(std::chrono::milliseconds{400});
        cluster.store.erase(ObjectKind::Upstreams, "e0");
        cluster.store.leaseCallTime = base::seconds{4};
        cluster.store.isDown = false;
        const base::TimePoint returnedAt = m_clock.now();
        m_loop->run_for(std::chrono::milliseconds{500});
        CPPUNIT_ASSERT_MESSAGE("its entry may still come back", hasUpstreams(Engines));
        CPPUNIT_ASSERT(runUntil(
            [&hasUpstreams] {
                return hasUpstreams(Engines - 1);
            },
            base::seconds{8}));
        const base::Duration used = m_clock.now() - returnedAt;
        CPPUNIT_ASSERT_MESSAGE(base::formatMilliseconds(used), used < RemovalLimits{}.maxUse + MaxLateness);
    }

    // A list of twenty pages completes although the store rejects every third list call, as
    // under overload when many routers start together. Restarting the list after each
    // rejection would never complete it.
    void testPagedListFromOverloadedStore()
    {
        constexpr int Upstreams = 40;
        TestCluster &cluster = addCluster();
        for (int i = 0; i < Upstreams; ++i) {
            cluster.store.put(ObjectKind::Upstreams, "u" + std::to_string(100 + i), "p ready 1 1");
        }
        cluster.store.pageSize = 2;
        cluster.store.refusedListEvery = 3;
        cluster.addRouter("a");
        const auto hasAllUpstreams = [&cluster] {
            return cluster.routers[0]->last && cluster.routers[0]->last->upstreams.size() == Upstreams + Engines;
        };
        CPPUNIT_ASSERT(runUntil(hasAllUpstreams, base::seconds{5}));
    }

    void testUnreachableRouterIsRemoved()
    {
        TestCluster &cluster = addCluster();
        const base::Endpoint gone{"10.0.0.9", 7};
        cluster.store.put(ObjectKind::Coordination, "router.gone", encodeRouter({gone, {}, {}}));
        cluster.addRouter("a");
        cluster.addRouter("b");
        const auto seesRouters = [&cluster](std::uint32_t routers) {
            return std::all_of(cluster.routers.begin(), cluster.routers.end(), [routers](const auto &router) {
                return router->last && router->last->routers == routers;
            });
        };
        CPPUNIT_ASSERT(runUntil(
            [&seesRouters] {
                return seesRouters(3);
            },
            base::seconds{5}));
        // Both routers report it; the second removal finds no object.
        cluster.routers[0]->plane.onRouterUnreachable(gone);
        cluster.routers[1]->plane.onRouterUnreachable(gone);
        cluster.routers[1]->plane.onRouterUnreachable(base::Endpoint{"10.0.0.8", 7});
        CPPUNIT_ASSERT(runUntil(
            [&seesRouters] {
                return seesRouters(2);
            },
            base::seconds{5}));
        CPPUNIT_ASSERT(!cluster.store.objects(ObjectKind::Coordination).contains("router.gone"));
    }

    // A router that was disconnected from the other routers, but not from the store, writes
    // its removed object again.
    // At each moment of a rollout the store comes back from a copy of before it. The lease, the list of changing
    // engines and the routers' objects are gone; revisions are given out again; the newest table and weights come back later.
    void testStoreComesBackFromACopy()
    {
        for (const int ms : {0, 20, 60, 150, 400}) {
            TestCluster &cluster = addCluster();
            cluster.store.keepCopy();
            cluster.addRouter("a");
            cluster.addRouter("b");
            const auto isInForce = [&cluster](std::uint64_t version) {
                return std::all_of(cluster.routers.begin(), cluster.routers.end(), [version](const auto &router) {
                    return router->last && router->last->table && router->last->table->version == version && router->last->routers == 2;
                });
            };
            cluster.store.put(ObjectKind::Tables, "main", "7");
            CPPUNIT_ASSERT(runUntil(
                [&] {
                    return isInForce(7) && !cluster.store.objects(ObjectKind::Leases).empty();
                },
                base::seconds{5}));
            cluster.store.put(ObjectKind::Weights, "m", "m 2");
            m_loop->run_for(std::chrono::milliseconds{ms});
            cluster.store.comeBackFromCopy();
            m_loop->run_for(std::chrono::milliseconds{100});
            cluster.store.put(ObjectKind::Weights, "m", "m 2"); // what was named is written again
            cluster.store.put(ObjectKind::Tables, "main", "8");
            const std::string text = "restored after " + std::to_string(ms) + " ms";
            CPPUNIT_ASSERT_MESSAGE(text, runUntil(
                                             [&] {
                                                 return isInForce(8) && cluster.isChanged(2);
                                             },
                                             base::seconds{8}));
            assertNoViolation();
        }
    }

    void testRemovedRouterRegistersAgain()
    {
        TestCluster &cluster = addClusterOfTwoRouters();
        const auto isRegistered = [&cluster] {
            return cluster.store.objects(ObjectKind::Coordination).contains("router.a") && cluster.routers[0]->last && cluster.routers[0]->last->routers == 2;
        };
        CPPUNIT_ASSERT(runUntil(isRegistered, base::seconds{5}));
        const StoredObject object = cluster.store.objects(ObjectKind::Coordination).at("router.a");
        StoreEra era;
        FakeClient client(cluster.store, cluster.routers[1]->clients, era);
        bool isRemoved = false;
        boost::asio::co_spawn(
            *m_loop,
            [&client, &object, &isRemoved]() -> Awaitable<void> {
                isRemoved = (co_await client.remove(ObjectKind::Coordination, object.name, object.revision)).has_value();
            },
            boost::asio::detached);
        CPPUNIT_ASSERT(runUntil(
            [&cluster, &isRemoved] {
                return isRemoved && cluster.routers[1]->last->routers == 1;
            },
            base::seconds{5}));
        CPPUNIT_ASSERT(runUntil(isRegistered, base::seconds{5}));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ControlPlaneTest);

} // namespace carawaylatch::gateway::testing
