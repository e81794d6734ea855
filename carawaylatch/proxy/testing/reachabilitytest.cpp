// Verdicts of reachability.h in virtual time: the network of a test says which upstreams answer.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <utility>

#include "carawaylatch/proxy/reachability.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start = base::TimePoint{} + base::seconds{1000};
constexpr base::Duration Step = base::milliseconds{50};
const base::PoolName Large("large");
const base::PoolName Small("small");

base::UpstreamId upstreamId(int number)
{
    return base::UpstreamId("i-" + std::to_string(number));
}

} // namespace

class ReachabilityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReachabilityTest);
    CPPUNIT_TEST(testHangingConnections);
    CPPUNIT_TEST(testRefusedConnections);
    CPPUNIT_TEST(testSilentConnections);
    CPPUNIT_TEST(testCrashedUpstreamsAreNoCut);
    CPPUNIT_TEST(testSilentUpstreamIsNoCut);
    CPPUNIT_TEST(testNoProbesWithoutSuspicion);
    CPPUNIT_TEST(testHealIsNoticedAndResumedGradually);
    CPPUNIT_TEST(testOneLuckyProbeIsNoHeal);
    CPPUNIT_TEST(testUpstreamsThatAreRemoved);
    CPPUNIT_TEST_SUITE_END();

    enum class Path {
        Works,
        Hangs,
        Refuses,
    };

    Reachability m_reach;
    base::TimePoint m_now = Start;
    std::map<base::UpstreamId, Path> m_paths; // those that are not listed work
    std::map<base::UpstreamId, base::TimePoint> m_pending;
    std::size_t m_probes = 0;

    static FleetView view(int large, int small)
    {
        FleetView out;
        for (int i = 0; i < large + small; ++i) {
            Upstream upstream;
            upstream.id = upstreamId(i);
            upstream.pool = i < large ? Large : Small;
            out.upstreams.push_back(upstream);
        }
        return out;
    }
    void setAll(Path path)
    {
        for (int i = 0; i < 20; ++i) {
            m_paths[upstreamId(i)] = path;
        }
    }
    void connect(const base::UpstreamId &id)
    {
        m_reach.onConnecting(id, m_now);
        const Path path = m_paths[id];
        if (path == Path::Works) {
            m_reach.onConnected(id, m_now);
        } else if (path == Path::Refuses) {
            m_reach.onConnectFailed(id, m_now);
        } else {
            m_pending[id] = m_now;
        }
    }
    void step()
    {
        m_now += Step;
        for (auto it = m_pending.begin(); it != m_pending.end();) {
            const auto [id, since] = *it;
            if (m_paths[id] == Path::Works) {
                m_reach.onConnected(id, m_now);
            } else if (m_now - since >= Reachability::ProbeTimeout) {
                m_reach.onConnectFailed(id, m_now);
            } else {
                ++it;
                continue;
            }
            it = m_pending.erase(it);
        }
        for (const base::UpstreamId &id : m_reach.advance(m_now)) {
            ++m_probes;
            connect(id);
        }
    }
    // Runs until the verdict; returns the time that it took, or two seconds.
    base::Duration runUntil(const base::PoolName &pool, bool isCut)
    {
        const base::TimePoint from = m_now;
        while (m_reach.isCut(pool) != isCut && m_now - from < base::seconds{2}) {
            step();
        }
        return m_now - from;
    }

public:
    void setUp() override
    {
        m_reach = {};
        m_pending.clear();
        m_paths.clear();
        m_now = Start;
        m_probes = 0;
        m_reach.adopt(view(16, 3), m_now);
        m_now += Step;
    }

    // One request meets a connection that hangs; the other pool has no traffic.
    void testHangingConnections()
    {
        setAll(Path::Hangs);
        connect(upstreamId(0));
        CPPUNIT_ASSERT(runUntil(Large, true) <= base::milliseconds{600});
        CPPUNIT_ASSERT(runUntil(Small, true) <= base::milliseconds{500});
        const auto changes = m_reach.takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(changes[0].isCut && changes[0].pool == Large && changes[0].tried == 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_reach.cutPools().size());
        CPPUNIT_ASSERT(m_reach.isCutFromAll());
    }

    void testRefusedConnections()
    {
        setAll(Path::Refuses);
        connect(upstreamId(17));
        CPPUNIT_ASSERT(runUntil(Small, true) <= base::milliseconds{150});
        CPPUNIT_ASSERT(runUntil(Large, true) <= base::milliseconds{200});
    }

    // Kept connections take requests and no byte comes back; no connection is opened.
    void testSilentConnections()
    {
        setAll(Path::Hangs);
        m_now += base::seconds{5};
        m_reach.onSilence(Large, m_now);
        CPPUNIT_ASSERT(m_reach.isSuspected(upstreamId(3)) && !m_reach.isSuspected(upstreamId(17)));
        CPPUNIT_ASSERT(runUntil(Large, true) <= base::milliseconds{500});
    }

    // Two of three and ten of sixteen upstreams have crashed; the rest answers.
    void testCrashedUpstreamsAreNoCut()
    {
        for (const int id : {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 16, 17}) {
            m_paths[upstreamId(id)] = Path::Refuses;
        }
        int cutSteps = 0;
        for (int i = 0; i < 400; ++i) {
            connect(upstreamId(i % 16));
            connect(upstreamId(16 + i % 3));
            step();
            cutSteps += m_reach.isCut(Large) || m_reach.isCut(Small) ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(cutSteps), cutSteps <= 40);
    }

    // A busy upstream accepts connections.
    void testSilentUpstreamIsNoCut()
    {
        for (int i = 0; i < 100; ++i) {
            m_reach.onSilence(Small, m_now);
            step();
        }
        CPPUNIT_ASSERT(m_reach.takeChanges().empty());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(m_probes), m_probes <= 2 * (100 * Step / base::milliseconds{500} + 1));
    }

    void testNoProbesWithoutSuspicion()
    {
        for (int i = 0; i < 200; ++i) {
            connect(upstreamId(i % 19));
            step();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_probes);
    }

    void testHealIsNoticedAndResumedGradually()
    {
        setAll(Path::Hangs);
        connect(upstreamId(0));
        (void)runUntil(Small, true);
        for (int i = 0; i < 100; ++i) {
            step();
        }
        setAll(Path::Works);
        CPPUNIT_ASSERT(runUntil(Large, false) <= base::milliseconds{300});
        CPPUNIT_ASSERT(runUntil(Small, false) <= base::milliseconds{300});
        CPPUNIT_ASSERT(m_reach.resumedShare(Large, m_now) < 0.4);
        m_now += base::seconds{1};
        CPPUNIT_ASSERT_EQUAL(1.0, m_reach.resumedShare(Large, m_now));
        CPPUNIT_ASSERT(!m_reach.isSuspected(upstreamId(0)));
    }

    void testOneLuckyProbeIsNoHeal()
    {
        setAll(Path::Refuses);
        connect(upstreamId(0));
        (void)runUntil(Large, true);
        m_paths[upstreamId(5)] = Path::Works;
        for (int i = 0; i < 40; ++i) {
            step();
            CPPUNIT_ASSERT(m_reach.isCut(Large));
        }
    }

    void testUpstreamsThatAreRemoved()
    {
        setAll(Path::Hangs);
        connect(upstreamId(0));
        (void)runUntil(Large, true);
        m_reach.adopt(view(0, 1), m_now);
        CPPUNIT_ASSERT(!m_reach.isCut(Large));
        m_reach.onConnectFailed(upstreamId(3), m_now); // is not listed any more
        m_reach.onConnectAbandoned(upstreamId(4));
        step();
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReachabilityTest);

} // namespace carawaylatch::proxy::testing
