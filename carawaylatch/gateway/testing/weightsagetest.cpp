// Tests how old control planes take a newly named version of weights to be, when each part on
// the way from the store delays the news.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "carawaylatch/gateway/testing/testcluster.h"

namespace carawaylatch::gateway::testing
{

namespace
{

enum class Delay {
    RoutersSuspended,
    WatchesHang,
    WatchesHangAndRoutersSuspended,
    AnswersSlow,
    ReadersLate,
    ReadersSilent,
};
constexpr Delay AllDelays[] = {Delay::RoutersSuspended, Delay::WatchesHang, Delay::ReadersLate, Delay::ReadersSilent};

const base::ModelId Model("m");

} // namespace

class WeightsAgeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WeightsAgeTest);
    CPPUNIT_TEST(testOlderWeightsEndInTimeAfterLateNews);
    CPPUNIT_TEST(testOlderWeightsEndInTimeAfterAnswerLostBeforeSuspension);
    CPPUNIT_TEST(testOlderWeightsEndInTimeAfterSlowAnswer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int Routers = 4; // two of them are readers

    base::SteadyClock m_clock;
    NullLog m_log;
    std::unique_ptr<TestCluster> m_cluster;
    // Destroyed before the cluster that its coroutines refer to.
    std::unique_ptr<boost::asio::io_context> m_loop;

    void startCluster(base::Duration longWatchWait = base::milliseconds{200})
    {
        m_loop.reset();
        m_cluster.reset();
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_cluster = std::make_unique<TestCluster>(*m_loop, m_clock, m_log.log);
        m_cluster->store.put(ObjectKind::Weights, "m", "m 1");
        for (int i = 0; i < Routers; ++i) {
            ControlSettings settings = Router::settings("r" + std::to_string(i));
            settings.peers = {"10.0.0." + std::to_string(i + 1), 7000};
            settings.relay = {"10.0.0." + std::to_string(i + 1), 7100};
            settings.domain = base::FailureDomain("d");
            settings.longWatchWait = longWatchWait;
            m_cluster->addRouter(settings);
        }
        CPPUNIT_ASSERT(allHaveWeights(1));
        m_loop->run_for(std::chrono::milliseconds{700}); // the other two learn from the readers now
    }
    bool allHaveWeights(std::uint64_t version)
    {
        const auto hasWeights = [version](const auto &router) {
            return router->last && router->last->targets.contains(Model) && router->last->targets.at(Model).version.value == version;
        };
        const auto end = m_clock.now() + base::seconds{5};
        while (m_clock.now() < end && !std::all_of(m_cluster->routers.begin(), m_cluster->routers.end(), hasWeights)) {
            m_loop->run_for(std::chrono::milliseconds{2});
        }
        return std::all_of(m_cluster->routers.begin(), m_cluster->routers.end(), hasWeights);
    }
    void setRelayFault(RelayFault fault)
    {
        for (const auto &[endpoint, source] : m_cluster->network.sources) {
            m_cluster->network.faults[endpoint] = fault;
        }
    }
    void begin(Delay delay)
    {
        switch (delay) {
        case Delay::RoutersSuspended:
            break;
        case Delay::WatchesHang:
        case Delay::WatchesHangAndRoutersSuspended:
            m_cluster->store.areWatchesHung = true;
            break;
        case Delay::AnswersSlow:
            m_cluster->store.answerDelay = base::milliseconds{400};
            break;
        case Delay::ReadersLate:
            setRelayFault(RelayFault::Late);
            break;
        case Delay::ReadersSilent:
            setRelayFault(RelayFault::Silent);
            break;
        }
    }
    void end(Delay delay)
    {
        constexpr std::chrono::milliseconds Duration{400};
        if (delay == Delay::RoutersSuspended) {
            std::this_thread::sleep_for(Duration); // the loop does not run
        } else if (delay == Delay::WatchesHang) {
            m_loop->run_for(Duration);
            m_cluster->store.areWatchesHung = false;
        } else if (delay == Delay::WatchesHangAndRoutersSuspended) {
            m_loop->run_for(Duration / 2);
            std::this_thread::sleep_for(Duration);
            m_cluster->store.areWatchesHung = false;
        }
    }
    // Names a version during the delay. Returns which routers count from later than that.
    std::string lateRouters(Delay delay)
    {
        std::string late;
        if (delay == Delay::WatchesHangAndRoutersSuspended) {
            startCluster(base::seconds{2}); // the call that tells of the version is in flight at the suspension
            begin(delay);
        } else {
            startCluster();
            begin(delay);
            m_loop->run_for(std::chrono::milliseconds{250}); // polls and watches have begun anew
        }
        const base::TimePoint namedAt = m_clock.now();
        m_cluster->store.put(ObjectKind::Weights, "m", "m 2");
        end(delay);
        CPPUNIT_ASSERT(allHaveWeights(2));
        for (const auto &router : m_cluster->routers) {
            const base::Duration lateBy = router->last->targets.at(Model).announcements.back().since - namedAt;
            if (lateBy > base::Duration{}) {
                late += "delay " + std::to_string(static_cast<int>(delay)) + ": counted from " + base::formatMilliseconds(lateBy) + " ms later; ";
            }
        }
        return late;
    }

public:
    void tearDown() override
    {
        m_loop.reset();
        m_cluster.reset();
    }

    // The time for which older weights may be used counts from when the store accepted the new
    // version, not from when a router read it.
    void testOlderWeightsEndInTimeAfterLateNews()
    {
        std::string late;
        for (const Delay delay : AllDelays) {
            late += lateRouters(delay);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), late);
    }

    // Heartbeats before the suspension were taken as proof that no version had been named, though
    // the call that was to tell had failed.
    void testOlderWeightsEndInTimeAfterAnswerLostBeforeSuspension()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), lateRouters(Delay::WatchesHangAndRoutersSuspended));
    }

    // An answer that is long on its way, behind a lossy link, has not arrived at the heartbeats meanwhile.
    void testOlderWeightsEndInTimeAfterSlowAnswer()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), lateRouters(Delay::AnswersSlow));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WeightsAgeTest);

} // namespace carawaylatch::gateway::testing
