// Tests of the status and explain JSON, the operators' page and its history.
//
// Names come from operators and other processes, so a name must never insert
// markup into the page or fail the JSON. The page must work without network
// access to other hosts.
#include "carawaylatch/telemetry/dashboard.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "carawaylatch/telemetry/explainreport.h"
#include "carawaylatch/telemetry/htmltext.h"
#include "carawaylatch/telemetry/statusreport.h"

namespace carawaylatch::telemetry::testing
{

namespace
{

const std::string HostileName = R"(<script>alert("x")</script>&'")";

// Returns a report in which every name contains HTML markup.
StatusReport hostileReport()
{
    StatusReport report;
    report.router.id = base::RouterId(HostileName);
    report.router.domain = base::FailureDomain(HostileName);
    report.router.version = HostileName;
    report.router.reason = HostileName;
    report.peers.push_back({.id = base::RouterId(HostileName), .domain = base::FailureDomain(HostileName)});
    report.upstreams.push_back(
        {.id = base::UpstreamId(HostileName), .pool = base::PoolName(HostileName), .domain = base::FailureDomain(HostileName), .endpoint = {}});
    report.pools.push_back({.name = base::PoolName(HostileName), .model = base::ModelId(HostileName)});
    report.routes.push_back({.name = base::RouteName(HostileName), .path = HostileName, .model = {}, .pool = base::PoolName(HostileName)});
    report.customers.push_back({.id = base::CustomerId(HostileName)});
    return report;
}

MetricsTotals totalsAfterRequests(int requests)
{
    Metrics metrics;
    for (int i = 0; i < requests; ++i) {
        metrics.recordPrompt(base::CustomerId("c"), base::TrafficClass::Interactive, 100, 80);
        metrics.recordFirstToken(base::CustomerId("c"), base::TrafficClass::Interactive, base::milliseconds{90});
        metrics.countRequest(base::RouteName("r"), RequestOutcome::Completed);
    }
    return metrics.totals();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class DashboardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DashboardTest);
    CPPUNIT_TEST(testPageEscapesEveryName);
    CPPUNIT_TEST(testPageHasNoScriptAndNoExternalResource);
    CPPUNIT_TEST(testStatusJson);
    CPPUNIT_TEST(testExplainJson);
    CPPUNIT_TEST(testSeriesIsBounded);
    CPPUNIT_TEST(testSeriesPoints);
    CPPUNIT_TEST(testUnits);
    CPPUNIT_TEST_SUITE_END();

public:
    void testPageEscapesEveryName()
    {
        const auto page = renderDashboard(hostileReport(), DashboardSeries());
        CPPUNIT_ASSERT(!contains(page, "<script"));
        CPPUNIT_ASSERT(!contains(page, "alert(\""));
        CPPUNIT_ASSERT(contains(page, "&lt;script&gt;alert(&quot;x&quot;)&lt;/script&gt;&amp;&#39;&quot;"));
    }

    void testPageHasNoScriptAndNoExternalResource()
    {
        DashboardSeries series;
        series.sample(base::TimePoint{base::seconds{10}}, totalsAfterRequests(1));
        series.sample(base::TimePoint{base::seconds{12}}, totalsAfterRequests(5));
        StatusReport report;
        report.totals = totalsAfterRequests(5);
        const auto page = renderDashboard(report, series);
        for (const auto *part : {"<script", "src=", "href=", "http://", "https://", "@import", "url("}) {
            CPPUNIT_ASSERT_MESSAGE(part, !contains(page, part));
        }
        CPPUNIT_ASSERT(contains(page, "<svg"));
        CPPUNIT_ASSERT(contains(page, "<b>80%</b><span>prefix hit rate"));
    }

    void testStatusJson()
    {
        auto report = hostileReport();
        report.router.incarnation.value = 0xfedcba9876543210;
        report.upstreams.front().state = UpstreamState::Leaving;
        report.upstreams.front().id = base::UpstreamId("not utf-8: \xff");
        report.totals = totalsAfterRequests(4);
        const auto json = renderStatusJson(report);
        for (const auto *part : {R"("incarnation": "fedcba9876543210")", R"("state": "leaving")", R"("leaving": true)", R"("hit_rate": 0.8)",
                                 R"("<script>alert(\"x\")</script>&'\"")", R"("ready": false)", R"("resident_bytes": 0)"}) {
            CPPUNIT_ASSERT_MESSAGE(part, contains(json, part));
        }
    }

    void testExplainJson()
    {
        ExplainReport report;
        CPPUNIT_ASSERT(contains(renderExplainJson(report), R"("chosen": null)"));
        report.chosen = base::UpstreamId("e1");
        report.candidates.push_back({.upstream = base::UpstreamId("e1"), .score = base::milliseconds{12}, .excluded = {}});
        CPPUNIT_ASSERT(contains(renderExplainJson(report), R"("chosen": "e1")"));
        CPPUNIT_ASSERT(contains(renderExplainJson(report), R"("score_ms": 12)"));
    }

    void testSeriesIsBounded()
    {
        DashboardSeries series(5);
        for (int i = 0; i < 20; ++i) {
            series.sample(base::TimePoint{base::seconds{i}}, totalsAfterRequests(1));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, series.points().size());
        CPPUNIT_ASSERT(series.points().back().time == base::TimePoint{base::seconds{19}});
    }

    void testSeriesPoints()
    {
        DashboardSeries series;
        const base::TimePoint start{base::seconds{10}};
        series.sample(start, totalsAfterRequests(0));
        CPPUNIT_ASSERT_MESSAGE("the first sample adds no point", series.points().empty());
        series.sample(start + base::seconds{2}, totalsAfterRequests(6));
        series.sample(start + base::seconds{2}, totalsAfterRequests(7));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a sample at the same time adds no point", std::size_t{1}, series.points().size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, series.points().front().requestsPerSecond, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, series.points().front().hitRate.value(), 1e-9);
        CPPUNIT_ASSERT(series.points().front().firstTokenP99.value() >= base::milliseconds{90});
        series.sample(start + base::seconds{4}, totalsAfterRequests(6));
        CPPUNIT_ASSERT_MESSAGE("an interval without prompts has no hit rate", !series.points().back().hitRate);
    }

    void testUnits()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("84 ms"), durationText(base::milliseconds{84}));
        CPPUNIT_ASSERT_EQUAL(std::string("1.3 s"), durationText(base::milliseconds{1300}));
        CPPUNIT_ASSERT_EQUAL(std::string("2 h 5 min"), uptimeText(base::minutes{125}));
        CPPUNIT_ASSERT_EQUAL(std::string("12.4k"), countText(12400));
        CPPUNIT_ASSERT_EQUAL(std::string("78 MB"), bytesText(78'000'000));
        CPPUNIT_ASSERT_EQUAL(std::string("93%"), percentText(0.93));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DashboardTest);

} // namespace carawaylatch::telemetry::testing
