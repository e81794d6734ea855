// Reach reports and the choice of the router that gets a forwarded request.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "carawaylatch/proxy/peerrouters.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start = base::TimePoint{} + base::seconds{1000};
const base::PoolName Pool("p");
const base::FailureDomain Own("a");

ReachReport reportOf(std::uint64_t sender, const std::string &domain)
{
    return {sender, true, 0, base::FailureDomain(domain), {"10.0.0." + std::to_string(sender), 80}, {}};
}

} // namespace

class PeerRoutersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerRoutersTest);
    CPPUNIT_TEST(testReportRoundTrip);
    CPPUNIT_TEST(testMalformedReports);
    CPPUNIT_TEST(testFormerVersionsRefuseTheMessageOnly);
    CPPUNIT_TEST(testChoiceSpreadsAndPrefersTheOwnDomain);
    CPPUNIT_TEST(testRoutersThatDoNotReachThePool);
    CPPUNIT_TEST(testSilentRoutersExpire);
    CPPUNIT_TEST(testNumberIsBounded);
    CPPUNIT_TEST_SUITE_END();

    base::Random m_random{7};

    [[nodiscard]] std::map<std::string, int> choices(PeerRouters &routers, int count, base::TimePoint now)
    {
        std::map<std::string, int> out;
        for (int i = 0; i < count; ++i) {
            if (UpstreamRecord *record = routers.choose(Pool, Own, {}, m_random, now)) {
                routers.tracker().onAttemptStarted(*record, {}, now);
                ++out[record->upstream.id.value()];
            }
        }
        return out;
    }

public:
    void testReportRoundTrip()
    {
        ReachReport report = reportOf(5, "zone-1");
        report.inflight = 1234;
        report.unreachedPools = {1, ~std::uint64_t{0}};
        const auto decoded = decodeReachReport(encodeReachReport(report));
        CPPUNIT_ASSERT(decoded.has_value());
        const ReachReport &out = decoded.value();
        CPPUNIT_ASSERT(out.sender == 5 && out.takesRequests && out.inflight == 1234 && out.domain == report.domain);
        CPPUNIT_ASSERT(out.callers == report.callers && out.unreachedPools == report.unreachedPools);
    }

    void testMalformedReports()
    {
        ReachReport report = reportOf(5, "zone-1");
        report.unreachedPools = {1, 2};
        const std::string text = encodeReachReport(report);
        for (std::size_t n = 0; n < text.size(); ++n) {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(n), !decodeReachReport(text.substr(0, n)).has_value());
        }
        CPPUNIT_ASSERT(!decodeReachReport(text + 'x').has_value());
        for (std::size_t n = 0; n < text.size(); ++n) {
            std::string changed = text;
            changed[n] = static_cast<char>(changed[n] ^ 0x55);
            (void)decodeReachReport(changed); // must not read beyond its end
        }
    }

    void testFormerVersionsRefuseTheMessageOnly()
    {
        const std::string text = encodeReachReport(reportOf(5, "a"));
        CPPUNIT_ASSERT(!isFaultReport(text));
        CPPUNIT_ASSERT(!decodeLoadReport(text).has_value() && !decodeFaultReport(text).has_value());
    }

    void testChoiceSpreadsAndPrefersTheOwnDomain()
    {
        PeerRouters routers;
        routers.apply(reportOf(1, "a"), Start);
        routers.apply(reportOf(2, "b"), Start);
        routers.apply(reportOf(3, "b"), Start);
        const auto few = choices(routers, 3, Start);
        CPPUNIT_ASSERT_EQUAL(3, few.at("router/10.0.0.1:80"));
        const auto many = choices(routers, 60, Start);
        for (const auto &[id, count] : many) {
            CPPUNIT_ASSERT_MESSAGE(id + ' ' + std::to_string(count), count >= 15 && count <= 25);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, many.size());
    }

    void testRoutersThatDoNotReachThePool()
    {
        PeerRouters routers;
        ReachReport cut = reportOf(1, "a");
        cut.unreachedPools = {base::hash64(Pool.value())};
        ReachReport stopping = reportOf(2, "a");
        stopping.takesRequests = false;
        routers.apply(cut, Start);
        routers.apply(stopping, Start);
        CPPUNIT_ASSERT(!routers.reaches(Pool) && routers.choose(Pool, Own, {}, m_random, Start) == nullptr);
        CPPUNIT_ASSERT(routers.reaches(base::PoolName("other")));
        routers.apply(reportOf(1, "a"), Start);
        CPPUNIT_ASSERT(routers.reaches(Pool) && routers.choose(Pool, Own, {}, m_random, Start) != nullptr);
        const std::vector<base::UpstreamId> tried{base::UpstreamId("router/10.0.0.1:80")};
        CPPUNIT_ASSERT(routers.choose(Pool, Own, tried, m_random, Start) == nullptr);
    }

    void testSilentRoutersExpire()
    {
        PeerRouters routers;
        routers.apply(reportOf(1, "a"), Start);
        routers.expire(Start + PeerRouters::ReportTimeout - base::milliseconds{1});
        CPPUNIT_ASSERT(routers.reaches(Pool));
        routers.expire(Start + PeerRouters::ReportTimeout);
        CPPUNIT_ASSERT(!routers.reaches(Pool));
    }

    void testNumberIsBounded()
    {
        PeerRouters routers;
        for (std::uint64_t i = 1; i <= 3400; ++i) {
            routers.apply(reportOf(i, "a"), Start);
        }
        CPPUNIT_ASSERT_EQUAL(PeerRouters::MaxRouters, choices(routers, 6400, Start).size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerRoutersTest);

} // namespace carawaylatch::proxy::testing
