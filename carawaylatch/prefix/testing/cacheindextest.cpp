// The cache index compared with a reference model, on generated event sequences with
// lost events, restarts and late events.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <thread>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/prefix/cacheindex.h"
#include "testing/seed.h"

namespace carawaylatch::prefix::testing
{

using upstreams::Slot;

namespace
{

constexpr std::uint16_t Upstreams = 5;
constexpr std::size_t ChainBlocks = 6; // blocks in a chain

// Chain number n; chains of one family share their first half.
std::vector<std::uint64_t> chainOf(std::uint64_t n)
{
    std::vector<std::uint64_t> chain;
    for (std::size_t i = 0; i < ChainBlocks; ++i) {
        chain.push_back(base::combineHashes(i < ChainBlocks / 2 ? n / 4 : n + 1000, i + 1));
    }
    return chain;
}

// Reference model of the blocks that an upstream holds.
struct Model
{
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 1;
    std::set<std::uint64_t> held; // actual cache content of the upstream
    std::set<std::uint64_t> everHeld; // by this incarnation
};

} // namespace

class CacheIndexTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CacheIndexTest);
    CPPUNIT_TEST(testEqualsModelWithoutLosses);
    CPPUNIT_TEST(testNeverClaimsMoreThanThisIncarnationHeld);
    CPPUNIT_TEST(testGapLowersConfidenceUntilAnswersConfirm);
    CPPUNIT_TEST(testNewIncarnationInvalidatesOld);
    CPPUNIT_TEST(testRecordingRacesRestart);
    CPPUNIT_TEST(testAgesByMeasuredEviction);
    CPPUNIT_TEST(testExportsToPeerWithSameIncarnation);
    CPPUNIT_TEST(testBytesBound);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEqualsModelWithoutLosses()
    {
        run(0);
    }

    void testNeverClaimsMoreThanThisIncarnationHeld()
    {
        run(8);
    }

    void testGapLowersConfidenceUntilAnswersConfirm()
    {
        CacheIndex index;
        index.adopt(Slot{0}, base::UpstreamId{"e0"}, {1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, index.applyEvents(Slot{0}, {{1}, 2, {{1, CacheOperation::Stored, 10}}}, m_now));
        CPPUNIT_ASSERT_EQUAL(1.0, index.confidence(Slot{0}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, index.applyEvents(Slot{0}, {{1}, 6, {{5, CacheOperation::Stored, 11}}}, m_now));
        const double lowered = index.confidence(Slot{0});
        CPPUNIT_ASSERT(lowered < 1);
        const auto chain = chainOf(1);
        for (int i = 0; i < 100; ++i) {
            index.recordAnswer({Slot{0}, {1}, chain, 4, 4}, m_now);
        }
        CPPUNIT_ASSERT(index.confidence(Slot{0}) > 0.99);
        for (int i = 0; i < 100; ++i) {
            index.recordAnswer({Slot{0}, {1}, chain, 4, 2}, m_now);
        }
        CPPUNIT_ASSERT(index.confidence(Slot{0}) < 0.55);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, index.nextEvent(Slot{0}));
    }

    void testNewIncarnationInvalidatesOld()
    {
        CacheIndex index;
        const auto chain = chainOf(1);
        index.adopt(Slot{3}, base::UpstreamId{"e3"}, {7});
        index.recordPlacement(Slot{3}, {7}, chain, m_now);
        index.recordPlacement(Slot{3}, {6}, chainOf(50), m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{ChainBlocks}, index.heldBlocks(Slot{3}, chain, m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, index.heldBlocks(Slot{3}, chainOf(50), m_now));
        index.adopt(Slot{3}, base::UpstreamId{"e3"}, {8});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, index.heldBlocks(Slot{3}, chain, m_now));
        // Late messages about the old incarnation have no effect.
        index.recordPlacement(Slot{3}, {7}, chain, m_now);
        index.recordAnswer({Slot{3}, {7}, chain, 6, 6}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, index.applyEvents(Slot{3}, {{7}, 9, {{8, CacheOperation::Stored, chain[0]}}}, m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, index.heldBlocks(Slot{3}, chain, m_now));
        // A wrapped generation number does not make old entries valid again.
        index.recordPlacement(Slot{3}, {8}, chain, m_now);
        for (int i = 0; i < 65'536; ++i) {
            index.invalidate(Slot{3});
        }
        index.adopt(Slot{3}, base::UpstreamId{"e3"}, {9});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, index.heldBlocks(Slot{3}, chain, m_now));
    }

    void testRecordingRacesRestart()
    {
        CacheIndex index;
        const auto chain = chainOf(3);
        index.adopt(Slot{1}, base::UpstreamId{"e1"}, {1});
        std::thread recorder([&] {
            for (int i = 0; i < 20'000; ++i) {
                index.recordPlacement(Slot{1}, {1}, chain, m_now);
            }
        });
        for (std::uint64_t incarnation = 2; incarnation < 200; ++incarnation) {
            index.adopt(Slot{1}, base::UpstreamId{"e1"}, {incarnation});
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, index.heldBlocks(Slot{1}, chain, m_now));
        }
        recorder.join();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, index.heldBlocks(Slot{1}, chain, m_now));
    }

    void testAgesByMeasuredEviction()
    {
        CacheIndex index({1U << 20U, 8, base::seconds{30}});
        index.adopt(Slot{0}, base::UpstreamId{"e0"}, {1});
        const auto chain = chainOf(1);
        for (std::uint64_t i = 0; i < 100; ++i) {
            index.recordPlacement(Slot{0}, {1}, std::span{&i, 1}, m_now);
            index.applyEvents(Slot{0}, {{1}, i + 2, {{i + 1, CacheOperation::Evicted, i}}}, m_now + base::seconds{2});
        }
        CPPUNIT_ASSERT(index.lifetime(Slot{0}) == base::seconds{2});
        index.recordPlacement(Slot{0}, {1}, chain, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{ChainBlocks}, index.heldBlocks(Slot{0}, chain, m_now + base::seconds{5}));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, index.heldBlocks(Slot{0}, chain, m_now + base::seconds{7}));
    }

    void testExportsToPeerWithSameIncarnation()
    {
        CacheIndex index;
        CacheIndex peer;
        for (std::uint16_t i = 0; i < 3; ++i) {
            const base::UpstreamId id{"e" + std::to_string(i)};
            index.adopt(Slot{i}, id, {10});
            index.recordPlacement(Slot{i}, {10}, chainOf(std::uint64_t{i} * 4), m_now - base::seconds{i});
            // The peer uses different slots and knows another incarnation of e2.
            peer.adopt(Slot{static_cast<std::uint16_t>(7 - i)}, id, {i == 2 ? 11U : 10U});
        }
        const auto hot = index.exportHot(1000, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, hot.upstreams.size());
        peer.importHot(hot, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{ChainBlocks}, peer.heldBlocks(Slot{7}, chainOf(0), m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{ChainBlocks}, peer.heldBlocks(Slot{6}, chainOf(4), m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, peer.heldBlocks(Slot{5}, chainOf(8), m_now));
        // With a bound the most recently touched entries are exported.
        const auto few = index.exportHot(ChainBlocks, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, few.upstreams.size());
        CPPUNIT_ASSERT(few.upstreams[0].upstream == base::UpstreamId{"e0"});
    }

    void testBytesBound()
    {
        constexpr std::size_t MaxBytes = 1U << 20U;
        CacheIndex index({MaxBytes, 16, base::seconds{30}});
        const std::size_t bytes = index.bytes();
        for (std::uint16_t i = 0; i < 16; ++i) {
            index.adopt(Slot{i}, base::UpstreamId{"e"}, {1});
        }
        base::Random random(carawaylatch::testing::seed());
        for (int i = 0; i < 200'000; ++i) {
            const std::uint64_t key = random.next();
            index.recordPlacement(Slot{static_cast<std::uint16_t>(i % 16)}, {1}, std::span{&key, 1}, m_now + base::milliseconds{i});
        }
        CPPUNIT_ASSERT_EQUAL(bytes, index.bytes());
        const std::size_t n = index.size(m_now + base::seconds{200});
        CPPUNIT_ASSERT(n <= MaxBytes / 16);
        CPPUNIT_ASSERT_MESSAGE("an entry takes less than 32 bytes", MaxBytes / n < 32);
    }

private:
    // Simulates random events at five upstreams; one of `lossOneIn` events is lost, none if zero.
    void run(std::uint64_t lossOneIn)
    {
        base::Random random(carawaylatch::testing::seed() + lossOneIn);
        CacheIndex index;
        std::map<std::uint16_t, Model> models;
        for (std::uint16_t i = 0; i < Upstreams; ++i) {
            index.adopt(Slot{i}, base::UpstreamId{"e" + std::to_string(i)}, {models[i].incarnation});
        }
        std::uint64_t lost = 0;
        for (int step = 0; step < 5000; ++step) {
            m_now += base::milliseconds{300}; // exceeds the lag of any event
            const auto slot = static_cast<std::uint16_t>(random.below(Upstreams));
            Model &model = models[slot];
            if (random.below(100) == 0) {
                model = Model{model.incarnation + 1, 1, {}, {}};
                index.adopt(Slot{slot}, base::UpstreamId{"e" + std::to_string(slot)}, {model.incarnation});
                continue;
            }
            CacheEvents events{{model.incarnation}, 0, {}};
            for (const auto block : chainOf(random.below(40))) {
                const bool isEviction = model.held.contains(block) && random.below(2) == 0;
                model.everHeld.insert(block);
                isEviction ? void(model.held.erase(block)) : void(model.held.insert(block));
                const std::uint64_t sequence = model.sequence++;
                if (lossOneIn != 0 && random.below(lossOneIn) == 0) {
                    ++lost;
                    continue;
                }
                events.events.push_back({sequence, isEviction ? CacheOperation::Evicted : CacheOperation::Stored, block});
            }
            events.next = model.sequence;
            index.applyEvents(Slot{slot}, events, m_now);
            check(index, models, lossOneIn == 0);
        }
        CPPUNIT_ASSERT_EQUAL(lossOneIn != 0, lost > 0);
    }

    void check(const CacheIndex &index, std::map<std::uint16_t, Model> &models, bool isExact)
    {
        for (auto &[slot, model] : models) {
            for (std::uint64_t n = 0; n < 40; n += 7) {
                for (const auto block : chainOf(n)) {
                    const bool isClaimed = index.heldBlocks(Slot{slot}, std::span{&block, 1}, m_now) == 1;
                    CPPUNIT_ASSERT(!isClaimed || model.everHeld.contains(block));
                    CPPUNIT_ASSERT(!isExact || !isClaimed || model.held.contains(block));
                }
            }
        }
    }

    base::TimePoint m_now{base::hours{1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CacheIndexTest);

} // namespace carawaylatch::prefix::testing
