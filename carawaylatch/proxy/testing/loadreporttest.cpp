// Load reports between routers: their bytes, and the sums made of them.
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
    report.life = 1 + random.below(2);
    report.isWhole = random.below(4) == 0;
    for (std::uint64_t i = random.below(5); i > 0; --i) {
        const auto figure = [&random] {
            return static_cast<std::uint32_t>(random.below(3) == 0 ? 0 : random.below(50'000));
        };
        report.work.push_back({random.below(6), figure(), figure(), figure()});
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
    CPPUNIT_TEST(testEveryReportComesBack);
    CPPUNIT_TEST(testEveryCutAndEveryChangedByte);
    CPPUNIT_TEST(testRowsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEveryReportComesBack()
    {
        base::Random random(carawaylatch::testing::seed());
        for (int i = 0; i < 500; ++i) {
            const LoadReport report = randomReport(random);
            const std::string bytes = encodeLoadReport(report);
            const auto decoded = decodeLoadReport(bytes);
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(bytes, encodeLoadReport(decoded.value()));
            CPPUNIT_ASSERT_EQUAL(report.work.size(), decoded.value().work.size());
            CPPUNIT_ASSERT_EQUAL(report.isWhole, decoded.value().isWhole);
        }
    }

    void testEveryCutAndEveryChangedByte()
    {
        LoadReport report;
        report.work = {{7, 1, 2, 3}, {8, 4, 5, 6}};
        report.placements = {{9, 7}};
        const std::string bytes = encodeLoadReport(report);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CPPUNIT_ASSERT_MESSAGE("cut at " + std::to_string(n), !decodeLoadReport(std::string_view(bytes).substr(0, n)).has_value());
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
        report.work.resize(MaxReportRows + 10);
        report.placements.resize(MaxReportRows + 10);
        const std::string bytes = encodeLoadReport(report);
        CPPUNIT_ASSERT_EQUAL(MaxReportBytes, bytes.size());
        CPPUNIT_ASSERT_EQUAL(MaxReportRows, decodeLoadReport(bytes).value().work.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportTest);

class PeerWorkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerWorkTest);
    CPPUNIT_TEST(testSumsAgainstAPlainModel);
    CPPUNIT_TEST(testSilentPeersCountNoMore);
    CPPUNIT_TEST(testPeersAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // The sums equal those of a table of all rows that is added up anew each time.
    void testSumsAgainstAPlainModel()
    {
        struct Row
        {
            std::uint64_t life = 0;
            base::TimePoint heardAt;
            std::map<std::uint64_t, UpstreamWork> work;
        };
        base::Random random(carawaylatch::testing::seed());
        PeerWork work;
        std::map<std::uint64_t, Row> model;
        base::TimePoint now = Start;
        for (int i = 0; i < 3000; ++i) {
            now += base::milliseconds{static_cast<int>(random.below(120))};
            work.expire(now);
            std::erase_if(model, [now](const auto &it) {
                return now - it.second.heardAt > PeerWork::PeerLife;
            });
            const LoadReport report = randomReport(random);
            const auto known = model.find(report.sender);
            const bool isUsable = report.isWhole || (known != model.end() && known->second.life == report.life);
            CPPUNIT_ASSERT_EQUAL(isUsable, work.apply(report, now));
            if (isUsable) {
                Row &row = model[report.sender];
                row.life = report.life;
                row.heardAt = now;
                if (report.isWhole) {
                    row.work.clear();
                }
                for (const UpstreamWork &it : report.work) {
                    row.work[it.upstream] = it;
                }
            }
            CPPUNIT_ASSERT_EQUAL(model.size(), work.peers());
            for (std::uint64_t upstream = 0; upstream < 6; ++upstream) {
                UpstreamWork sum;
                for (const auto &[sender, row] : model) {
                    if (const auto it = row.work.find(upstream); it != row.work.end()) {
                        sum.requests += it->second.requests;
                        sum.unreadTokens += it->second.unreadTokens;
                        sum.memoryTokens += it->second.memoryTokens;
                    }
                }
                CPPUNIT_ASSERT_EQUAL(sum.requests, work.at(upstream).requests);
                CPPUNIT_ASSERT_EQUAL(sum.unreadTokens, work.at(upstream).unreadTokens);
                CPPUNIT_ASSERT_EQUAL(sum.memoryTokens, work.at(upstream).memoryTokens);
            }
        }
    }

    void testSilentPeersCountNoMore()
    {
        PeerWork work;
        CPPUNIT_ASSERT(work.apply({1, 1, true, {{5, 3, 100, 200}}, {}}, Start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, work.expire(Start + PeerWork::PeerLife));
        CPPUNIT_ASSERT_EQUAL(3U, work.at(5).requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, work.expire(Start + PeerWork::PeerLife + base::milliseconds{1}));
        CPPUNIT_ASSERT_EQUAL(0U, work.at(5).requests);
        CPPUNIT_ASSERT_MESSAGE("changes alone don't tell the whole", !work.apply({1, 1, false, {{5, 1, 0, 0}}, {}}, Start));
    }

    void testPeersAreBounded()
    {
        PeerWork work;
        for (std::uint64_t sender = 1; sender <= PeerWork::MaxPeers; ++sender) {
            CPPUNIT_ASSERT(work.apply({sender, 1, true, {}, {}}, Start));
        }
        CPPUNIT_ASSERT(!work.apply({PeerWork::MaxPeers + 1, 1, true, {}, {}}, Start));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerWorkTest);

} // namespace carawaylatch::proxy::testing
