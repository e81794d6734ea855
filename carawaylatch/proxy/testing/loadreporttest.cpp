// Tests of load reports between routers: their encoding, and the sums over peers.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/peerload.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};

LoadReport randomReport(base::Random &random)
{
    LoadReport report;
    report.sender = 1 + random.below(4);
    report.incarnation = 1 + random.below(2);
    report.isFullReport = random.below(4) == 0;
    for (std::uint64_t i = random.below(5); i > 0; --i) {
        const auto figure = [&random] {
            return static_cast<std::uint32_t>(random.below(3) == 0 ? 0 : random.below(50'000));
        };
        report.loads.push_back({random.below(6), figure(), figure(), figure()});
    }
    for (std::uint64_t i = random.below(3); i > 0; --i) {
        report.placements.push_back({random.next(), random.below(6)});
    }
    return report;
}

} // namespace

class LoadReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadReportTest);
    CPPUNIT_TEST(testRoundTrip);
    CPPUNIT_TEST(testTruncatedAndCorruptedBytes);
    CPPUNIT_TEST(testRowsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRoundTrip()
    {
        base::Random random(carawaylatch::testing::seed());
        for (int i = 0; i < 500; ++i) {
            const LoadReport report = randomReport(random);
            const std::string bytes = encodeLoadReport(report);
            const auto decoded = decodeLoadReport(bytes);
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(bytes, encodeLoadReport(decoded.value()));
            CPPUNIT_ASSERT_EQUAL(report.loads.size(), decoded.value().loads.size());
            CPPUNIT_ASSERT_EQUAL(report.isFullReport, decoded.value().isFullReport);
        }
    }

    void testTruncatedAndCorruptedBytes()
    {
        LoadReport report;
        report.loads = {{7, 1, 2, 3}, {8, 4, 5, 6}};
        report.placements = {{9, 7}};
        const std::string bytes = encodeLoadReport(report);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CPPUNIT_ASSERT_MESSAGE("truncated at " + std::to_string(n), !decodeLoadReport(std::string_view(bytes).substr(0, n)).has_value());
        }
        CPPUNIT_ASSERT_MESSAGE("bytes beyond the rows", !decodeLoadReport(bytes + 'x').has_value());
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            for (int value = 0; value < 256; ++value) {
                std::string changed = bytes;
                changed[i] = static_cast<char>(value);
                if (const auto decoded = decodeLoadReport(changed)) {
                    CPPUNIT_ASSERT_EQUAL(bytes.size(), encodeLoadReport(decoded.value()).size());
                }
            }
        }
    }

    void testRowsAreBounded()
    {
        LoadReport report;
        report.loads.resize(MaxReportRows + 10);
        report.placements.resize(MaxReportRows + 10);
        const std::string bytes = encodeLoadReport(report);
        CPPUNIT_ASSERT_EQUAL(MaxReportBytes, bytes.size());
        CPPUNIT_ASSERT_EQUAL(MaxReportRows, decodeLoadReport(bytes).value().loads.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportTest);

class PeerLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLoadTest);
    CPPUNIT_TEST(testSumsMatchReferenceModel);
    CPPUNIT_TEST(testSilentPeersExpire);
    CPPUNIT_TEST(testPeersAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // The incrementally updated sums equal those recomputed from all rows.
    void testSumsMatchReferenceModel()
    {
        struct Row
        {
            std::uint64_t incarnation = 0;
            base::TimePoint lastReportAt;
            std::map<std::uint64_t, PeerUpstreamLoad> loads;
        };
        base::Random random(carawaylatch::testing::seed());
        PeerLoad load;
        std::map<std::uint64_t, Row> model;
        base::TimePoint now = Start;
        for (int i = 0; i < 3000; ++i) {
            now += base::milliseconds{static_cast<int>(random.below(120))};
            load.expire(now);
            std::erase_if(model, [now](const auto &it) {
                return now - it.second.lastReportAt > PeerLoad::PeerTimeout;
            });
            const LoadReport report = randomReport(random);
            const auto known = model.find(report.sender);
            const bool isUsable = report.isFullReport || (known != model.end() && known->second.incarnation == report.incarnation);
            CPPUNIT_ASSERT_EQUAL(isUsable, load.apply(report, now));
            if (isUsable) {
                Row &row = model[report.sender];
                row.incarnation = report.incarnation;
                row.lastReportAt = now;
                if (report.isFullReport) {
                    row.loads.clear();
                }
                for (const PeerUpstreamLoad &it : report.loads) {
                    row.loads[it.upstream] = it;
                }
            }
            CPPUNIT_ASSERT_EQUAL(model.size(), load.peers());
            for (std::uint64_t upstream = 0; upstream < 6; ++upstream) {
                PeerUpstreamLoad sum;
                for (const auto &[sender, row] : model) {
                    if (const auto it = row.loads.find(upstream); it != row.loads.end()) {
                        sum.requests += it->second.requests;
                        sum.prefillTokens += it->second.prefillTokens;
                        sum.memoryTokens += it->second.memoryTokens;
                    }
                }
                CPPUNIT_ASSERT_EQUAL(sum.requests, load.at(upstream).requests);
                CPPUNIT_ASSERT_EQUAL(sum.prefillTokens, load.at(upstream).prefillTokens);
                CPPUNIT_ASSERT_EQUAL(sum.memoryTokens, load.at(upstream).memoryTokens);
            }
        }
    }

    void testSilentPeersExpire()
    {
        PeerLoad load;
        CPPUNIT_ASSERT(load.apply({1, 1, true, {{5, 3, 100, 200}}, {}}, Start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, load.expire(Start + PeerLoad::PeerTimeout));
        CPPUNIT_ASSERT_EQUAL(3U, load.at(5).requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, load.expire(Start + PeerLoad::PeerTimeout + base::milliseconds{1}));
        CPPUNIT_ASSERT_EQUAL(0U, load.at(5).requests);
        CPPUNIT_ASSERT_MESSAGE("changes are rejected before a full report", !load.apply({1, 1, false, {{5, 1, 0, 0}}, {}}, Start));
    }

    void testPeersAreBounded()
    {
        PeerLoad load;
        for (std::uint64_t sender = 1; sender <= PeerLoad::MaxPeers; ++sender) {
            CPPUNIT_ASSERT(load.apply({sender, 1, true, {}, {}}, Start));
        }
        CPPUNIT_ASSERT(!load.apply({PeerLoad::MaxPeers + 1, 1, true, {}, {}}, Start));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerLoadTest);

} // namespace carawaylatch::proxy::testing
