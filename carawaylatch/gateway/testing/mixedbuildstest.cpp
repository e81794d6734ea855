// Tests control planes of this build beside objects that former builds have written.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>

#include "carawaylatch/gateway/testing/testcluster.h"

namespace carawaylatch::gateway::testing
{

class MixedBuildsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MixedBuildsTest);
    CPPUNIT_TEST(testOrdersThatAFormerBuildDidNotPassOn);
    CPPUNIT_TEST_SUITE_END();

    static constexpr base::Duration Limit = base::seconds{10};
    // Long enough for several hand-overs.
    static constexpr base::Duration LongLeaseTime = 3 * LeaseTime;

    base::SteadyClock m_clock;
    NullLog m_log;
    std::unique_ptr<TestCluster> m_cluster;
    std::unique_ptr<boost::asio::io_context> m_loop; // destroyed before the cluster that its coroutines refer to

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const base::TimePoint end = m_clock.now() + Limit;
        while (!condition() && m_clock.now() < end) {
            m_loop->restart();
            m_loop->run_for(std::chrono::milliseconds{2});
        }
        return condition();
    }
    void addRouter(const std::string &id)
    {
        ControlSettings settings = Router::settings(id);
        settings.lease.duration = LongLeaseTime * 6 / 10;
        settings.rollout.takeoverDelay = LongLeaseTime;
        m_cluster->addRouter(settings);
    }
    bool hasLease(const std::string &text) const
    {
        const auto &leases = m_cluster->store.objects(ObjectKind::Leases);
        return !leases.empty() && leases.begin()->second.text.starts_with(text);
    }

public:
    void setUp() override
    {
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_cluster = std::make_unique<TestCluster>(*m_loop, m_clock, m_log.log);
        m_cluster->leaseTime = LongLeaseTime;
    }
    void tearDown() override
    {
        m_loop.reset();
        m_cluster.reset();
    }

    // A router of a build before be3af4f holds the lease for a moment between two of this build, and lists its own changes only.
    void testOrdersThatAFormerBuildDidNotPassOn()
    {
        addRouter("a");
        CPPUNIT_ASSERT(runUntil([this] {
            return hasLease("a ");
        }));
        m_cluster->store.put(ObjectKind::Weights, "m", "m 2");
        CPPUNIT_ASSERT(runUntil([this] {
            return m_cluster->isChanged(2);
        }));
        m_cluster->routers[0]->plane.beginStop();
        CPPUNIT_ASSERT(runUntil([this] {
            return hasLease("released");
        }));
        m_cluster->store.put(ObjectKind::Leases, std::string(LeaseName), "former 1 1");
        m_cluster->store.put(ObjectKind::Coordination, std::string(ChangingName), "e9");
        m_cluster->store.put(ObjectKind::Leases, std::string(LeaseName), "released");
        m_cluster->store.put(ObjectKind::Weights, "m", "m 3");
        addRouter("b");
        CPPUNIT_ASSERT(runUntil([this] {
            return m_cluster->isChanged(3);
        }));
        CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->violation());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MixedBuildsTest);

} // namespace carawaylatch::gateway::testing
