// Prefix heat: levels derived from traffic, growth, hysteresis, export and import.
#include <cppunit/extensions/HelperMacros.h>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/prefix/heat.h"

namespace carawaylatch::prefix::testing
{

namespace
{

constexpr std::uint64_t Pool = 1;
constexpr std::uint32_t Upstreams = 8;

// A chain of four template blocks, three contract blocks and one clause block.
std::vector<std::uint64_t> chainOf(std::uint64_t templateNumber, std::uint64_t contract, std::uint64_t clause)
{
    std::vector<std::uint64_t> chain;
    for (std::uint64_t i = 0; i < 8; ++i) {
        std::uint64_t key = base::combineHashes(templateNumber, i + 1);
        key = i >= 4 ? base::combineHashes(key, contract + 1) : key;
        key = i >= 7 ? base::combineHashes(key, clause + 1) : key;
        chain.push_back(key);
    }
    return chain;
}

} // namespace

class HeatTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeatTest);
    CPPUNIT_TEST(testFindsLevels);
    CPPUNIT_TEST(testShrinksLaterThanItGrew);
    CPPUNIT_TEST(testUnknownChainIsOneLevel);
    CPPUNIT_TEST(testExportsAndImports);
    CPPUNIT_TEST_SUITE_END();

public:
    void testFindsLevels()
    {
        // Template 0 has all the traffic: it gets replicas, and each contract fits in one share.
        for (std::uint64_t i = 0; i < 400; ++i) {
            record(chainOf(0, i % 16, i % 5));
        }
        const auto path = m_heat.path(chainOf(0, 3, 1), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, path.size);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, path.levels[0].blocks);
        CPPUNIT_ASSERT(path.levels[0].replicas >= Upstreams);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, path.levels[1].blocks);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, path.levels[1].replicas);
    }

    void testShrinksLaterThanItGrew()
    {
        const auto hot = chainOf(0, 0, 0);
        recordMix(hot, 30); // 30% of the traffic exceeds two shares of 1/8 each
        const auto grown = m_heat.path(hot, m_now).levels[0].replicas;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, grown);
        recordMix(hot, 20); // below the threshold of growth, above half of it
        CPPUNIT_ASSERT_EQUAL(grown, m_heat.path(hot, m_now).levels[0].replicas);
        recordMix(hot, 3);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, m_heat.path(hot, m_now).levels[0].replicas);
    }

    void testUnknownChainIsOneLevel()
    {
        const auto path = m_heat.path(chainOf(9, 9, 9), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, path.size);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, path.levels[0].blocks);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_heat.path({}, m_now).size);
    }

    void testExportsAndImports()
    {
        const auto hot = chainOf(0, 0, 0);
        recordMix(hot, 60);
        HeatTable peer;
        peer.importHot(m_heat.exportHot(100, m_now), m_now);
        CPPUNIT_ASSERT_EQUAL(m_heat.path(hot, m_now).levels[0].replicas, peer.path(hot, m_now).levels[0].replicas);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(m_heat.heat(hot[0], m_now), peer.heat(hot[0], m_now), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_heat.exportHot(1, m_now).levels.size());
        CPPUNIT_ASSERT_EQUAL(0.0, m_heat.heat(hot[0], m_now + base::hours{1}));
    }

private:
    void record(const std::vector<std::uint64_t> &chain)
    {
        m_now += base::milliseconds{50};
        m_heat.record(Pool, chain, 8000, Upstreams, m_now);
    }

    // Records one minute of traffic: `percent` for one chain and the rest for many.
    void recordMix(const std::vector<std::uint64_t> &hot, std::uint64_t percent)
    {
        for (std::uint64_t i = 0; i < 1200; ++i) {
            record(i * 37 % 100 < percent ? hot : chainOf(100 + i % 90, 0, 0));
        }
    }

    HeatTable m_heat;
    base::TimePoint m_now{base::hours{1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeatTest);

} // namespace carawaylatch::prefix::testing
