// Tests of the parts of load summaries: their encoding, the division of the ring into arcs, and the sums of rows.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/loadsummary.h"
#include "carawaylatch/proxy/peerexchange.h"
#include "carawaylatch/proxy/summaryarcs.h"
#include "carawaylatch/proxy/summedloads.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

static_assert(MaxArcRouters == MaxReportPeers + 1);
static_assert(MaxRoutersWithoutSummaries == 2 * MaxReportPeers + 1);

class LoadSummaryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadSummaryTest);
    CPPUNIT_TEST(testRecordedBytes);
    CPPUNIT_TEST(testTruncatedAndCorruptedBytes);
    CPPUNIT_TEST(testRowsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Routers of two builds would misread each other's sums if the bytes changed within a version.
    void testRecordedBytes()
    {
        const std::string bytes = encodeLoadSummary(example());
        const std::string recorded("\x08\x03\x02\x00\x01\x00\x11\x00\x00\x00\x00\x00\x00\x80\x22\x00\x00\x00\x00\x00\x00\x00\x01\x00\x03\x00\x5a\x00\x00\x00"
                                   "\x07\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00\x02\x00\x00\x00\x03\x00\x00\x00"
                                   "\x08\x00\x00\x00\x00\x00\x00\x00\x04\x00\x00\x00\x05\x00\x00\x00\xff\xff\xff\xff"
                                   "\x09\x00\x00\x00\x00\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00",
                                   86);
        CPPUNIT_ASSERT_EQUAL(recorded, bytes);
        CPPUNIT_ASSERT(isLoadSummary(bytes));
        CPPUNIT_ASSERT(!isLoadSummary({}));
        const auto decoded = decodeLoadSummary(bytes);
        CPPUNIT_ASSERT(decoded.has_value());
        const LoadSummary &summary = decoded.value();
        CPPUNIT_ASSERT_EQUAL(bytes, encodeLoadSummary(summary));
        CPPUNIT_ASSERT(summary.isFull && summary.isFleet);
        CPPUNIT_ASSERT_EQUAL(90U, summary.coveredRouters);
        CPPUNIT_ASSERT_EQUAL(65536U, summary.loads.at(0).requests);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, summary.placements.at(0).cacheKey);
    }

    void testTruncatedAndCorruptedBytes()
    {
        const std::string bytes = encodeLoadSummary(example());
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CPPUNIT_ASSERT_MESSAGE("truncated at " + std::to_string(n), !decodeLoadSummary(std::string_view(bytes).substr(0, n)).has_value());
        }
        CPPUNIT_ASSERT_MESSAGE("bytes beyond the rows", !decodeLoadSummary(bytes + 'x').has_value());
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            for (int value = 0; value < 256; ++value) {
                std::string changed = bytes;
                changed[i] = static_cast<char>(value);
                if (const auto decoded = decodeLoadSummary(changed)) {
                    CPPUNIT_ASSERT_EQUAL(bytes.size(), encodeLoadSummary(decoded.value()).size());
                    CPPUNIT_ASSERT(decoded.value().arc < decoded.value().arcs);
                }
            }
        }
    }

    void testRowsAreBounded()
    {
        LoadSummary summary = example();
        summary.loads.resize(MaxReportRows + 10);
        summary.placements.resize(MaxReportRows + 10);
        std::string bytes = encodeLoadSummary(summary);
        CPPUNIT_ASSERT_EQUAL(MaxLoadSummaryBytes, bytes.size());
        CPPUNIT_ASSERT_EQUAL(MaxReportRows, decodeLoadSummary(bytes).value().loads.size());
        ++bytes[2]; // number of load rows, the low byte of 1500 is 0xdc
        bytes.append(20, '\0');
        CPPUNIT_ASSERT_MESSAGE("more rows than are sent", !decodeLoadSummary(bytes).has_value());
    }

private:
    static LoadSummary example()
    {
        return {0x8000000000000011, 0x22, true, true, 1, 3, 90, {{7, 65536, 2, 3}, {8, 4, 5, 0xffffffff}}, {{9, 7}}};
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoadSummaryTest);

class SummaryArcsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SummaryArcsTest);
    CPPUNIT_TEST(testEachRouterHasOnePlace);
    CPPUNIT_TEST(testMessagesPerSecond);
    CPPUNIT_TEST_SUITE_END();

public:
    // A router in no arc, or in two, would be missing in the sums or counted twice.
    void testEachRouterHasOnePlace()
    {
        for (std::size_t routers = 1; routers <= 400; ++routers) {
            std::size_t next = 0;
            for (std::size_t arc = 0; arc < arcCount(routers); ++arc) {
                const Arc it = arcAt(routers, arc);
                CPPUNIT_ASSERT_EQUAL(next, it.begin);
                CPPUNIT_ASSERT(it.size >= routers / arcCount(routers) && it.size <= MaxArcRouters);
                next += it.size;
                for (std::size_t rank = 0; rank < it.size; ++rank) {
                    const std::size_t index = indexOfRank(it, rank);
                    CPPUNIT_ASSERT(index >= it.begin && index < next);
                    CPPUNIT_ASSERT_EQUAL(rank, rankIn(it, index));
                    CPPUNIT_ASSERT_EQUAL(arc, arcOf(routers, index));
                }
                const std::size_t middle = indexOfRank(it, 0);
                CPPUNIT_ASSERT_MESSAGE("the middle hears the whole arc", middle - it.begin <= MaxReportPeers / 2 && next - 1 - middle <= MaxReportPeers / 2);
            }
            CPPUNIT_ASSERT_EQUAL(routers, next);
        }
    }

    void testMessagesPerSecond()
    {
        CPPUNIT_ASSERT(summaryInterval(66) == base::milliseconds{50} && summaryInterval(90) == base::milliseconds{50});
        CPPUNIT_ASSERT(summaryTimeout(300) == base::milliseconds{500});
        CPPUNIT_ASSERT(summaryTimeout(3400) == 4 * summaryInterval(3400));
        for (const std::size_t routers : {66, 90, 100, 300, 3400}) {
            const std::size_t arcs = arcCount(routers);
            const std::size_t messages = arcAt(routers, arcs - 1).size - 1 + 3 * (arcs - 1);
            CPPUNIT_ASSERT(static_cast<double>(messages) / base::toSeconds(summaryInterval(routers)) <= 700.001);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SummaryArcsTest);

class SummedLoadsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SummedLoadsTest);
    CPPUNIT_TEST(testSumsMatchReferenceModel);
    CPPUNIT_TEST(testTablesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // The incrementally updated sums equal those recomputed from all rows, and changed sums are told.
    void testSumsMatchReferenceModel()
    {
        struct Sender
        {
            std::uint64_t incarnation = 0;
            bool isCounted = false;
            std::map<std::uint64_t, std::uint32_t> requests;
        };
        base::Random random(carawaylatch::testing::seed());
        SummedLoads loads(3);
        std::map<std::uint64_t, Sender> model;
        std::map<std::uint64_t, std::uint32_t> former;
        for (int i = 0; i < 5000; ++i) {
            const std::uint64_t sender = random.below(3);
            if (const auto it = loads.senders().find(sender); it != loads.senders().end() && random.below(3) == 0) {
                model[sender].isCounted = random.below(2) == 0;
                loads.setCounted(it->second, model[sender].isCounted);
            } else if (random.below(20) == 0) {
                loads.removeIf([sender](std::uint64_t key, const SummedLoads::Sender &) {
                    return key == sender;
                });
                model.erase(sender);
            } else {
                applyRandom(random, loads, model, sender);
            }
            std::set<std::uint64_t> changed;
            loads.takeChanged(changed);
            for (std::uint64_t upstream = 0; upstream < 6; ++upstream) {
                std::uint32_t sum = 0;
                for (auto &[key, it] : model) {
                    sum += it.isCounted ? it.requests[upstream] : 0;
                }
                CPPUNIT_ASSERT_EQUAL(sum, loads.at(upstream).requests);
                CPPUNIT_ASSERT(sum == former[upstream] || changed.contains(upstream));
                former[upstream] = sum;
            }
        }
    }

    void testTablesAreBounded()
    {
        SummedLoads loads(1);
        CPPUNIT_ASSERT(loads.apply(1, 1, false, {}, {}) == nullptr);
        SummedLoads::Sender *sender = loads.apply(1, 1, true, {}, {});
        CPPUNIT_ASSERT(sender != nullptr && loads.apply(2, 1, true, {}, {}) == nullptr);
        for (std::uint64_t upstream = 0; upstream < SummedLoads::MaxSenderRows + 5; ++upstream) {
            loads.apply(1, 1, false, std::vector<PeerUpstreamLoad>{{upstream, 1, 0, 0}}, {});
        }
        CPPUNIT_ASSERT_EQUAL(SummedLoads::MaxSenderRows, sender->rows.size());
    }

private:
    template <typename Model>
    static void applyRandom(base::Random &random, SummedLoads &loads, Model &model, std::uint64_t sender)
    {
        const std::uint64_t incarnation = random.below(10) == 0 ? 2 : 1;
        const bool isFull = random.below(3) == 0;
        std::vector<PeerUpstreamLoad> rows;
        for (std::uint64_t n = random.below(4); n > 0; --n) {
            rows.push_back({random.below(6), static_cast<std::uint32_t>(random.below(3)), 0, 0});
        }
        const auto it = model.find(sender);
        const bool isUsable = isFull || (it != model.end() && it->second.incarnation == incarnation);
        CPPUNIT_ASSERT_EQUAL(isUsable, loads.apply(sender, incarnation, isFull, rows, {}) != nullptr);
        if (!isUsable) {
            return;
        }
        auto &entry = model[sender];
        entry.incarnation = incarnation;
        if (isFull) {
            entry.requests.clear();
        }
        for (const PeerUpstreamLoad &row : rows) {
            entry.requests[row.upstream] = row.requests;
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SummedLoadsTest);

} // namespace carawaylatch::proxy::testing
