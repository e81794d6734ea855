// Tests of the metrics: bounded cardinality, label escaping, totals and quantiles.
//
// They guard against memory that grows with the number of names seen, counters
// that lose records of parallel threads, and quantiles that are off by more than
// one bucket.
#include "carawaylatch/telemetry/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <thread>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/tables.h"
#include "testing/seed.h"

namespace carawaylatch::telemetry::testing
{

namespace
{

using base::CustomerId;
using base::TrafficClass;

config::Tables tablesWithCustomers(const std::vector<std::string> &customers)
{
    config::Tables tables;
    for (const auto &it : customers) {
        tables.customers.push_back({.id = CustomerId(it), .keyDigest = {}});
    }
    return tables;
}

std::size_t countOccurrences(const std::string &text, const std::string &part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++n;
    }
    return n;
}

} // namespace

class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(testCardinalityIsBounded);
    CPPUNIT_TEST(testAdmittedNamesStayAdmitted);
    CPPUNIT_TEST(testLabelsAreEscaped);
    CPPUNIT_TEST(testTotalsMatchRecords);
    CPPUNIT_TEST(testParallelRecordsAreAllCounted);
    CPPUNIT_TEST(testQuantileAgainstSortedValues);
    CPPUNIT_TEST_SUITE_END();

public:
    void testCardinalityIsBounded()
    {
        Metrics metrics({.maxCustomers = 3, .maxRoutes = 1, .maxUpstreams = 2});
        metrics.registerTables(tablesWithCustomers({"a", "b", "c", "d", "e"}));
        for (const auto *name : {"a", "b", "c", "d", "e", "never-configured"}) {
            metrics.recordQueueWait(CustomerId(name), TrafficClass::Batch, base::milliseconds{3});
            metrics.countRequest(base::RouteName(name), RequestOutcome::Completed);
            metrics.setUpstreamState(base::UpstreamId(name), UpstreamState::Live);
        }
        const auto text = metrics.renderText();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("three admitted customers and \"other\"", std::size_t{4},
                                     countOccurrences(text, "carawaylatch_queue_wait_seconds_count{"));
        CPPUNIT_ASSERT(text.find("carawaylatch_queue_wait_seconds_count{class=\"batch\",customer=\"other\"} 3") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("all routes share the series \"other\"", std::size_t{1}, countOccurrences(text, "carawaylatch_requests_total{"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("two upstreams have a gauge", std::size_t{2}, countOccurrences(text, "carawaylatch_upstream_state{"));
    }

    void testAdmittedNamesStayAdmitted()
    {
        Metrics metrics({.maxCustomers = 2});
        metrics.registerTables(tablesWithCustomers({"a"}));
        metrics.registerTables(tablesWithCustomers({"b", "c"}));
        for (const auto *name : {"a", "b", "c"}) {
            metrics.recordPrompt(CustomerId(name), TrafficClass::Interactive, 100, 40);
        }
        const auto text = metrics.renderText();
        CPPUNIT_ASSERT(text.find("customer=\"a\"") != std::string::npos);
        CPPUNIT_ASSERT(text.find("customer=\"b\"") != std::string::npos);
        CPPUNIT_ASSERT(text.find("customer=\"c\"") == std::string::npos);
    }

    void testLabelsAreEscaped()
    {
        Metrics metrics;
        metrics.registerTables(tablesWithCustomers({"wood \"chips\"\\\nDakar"}));
        metrics.recordFirstToken(CustomerId("wood \"chips\"\\\nDakar"), TrafficClass::Interactive, base::milliseconds{80});
        CPPUNIT_ASSERT(metrics.renderText().find(R"(customer="wood \"chips\"\\\nDakar")") != std::string::npos);
    }

    void testTotalsMatchRecords()
    {
        Metrics metrics;
        metrics.recordPrompt(CustomerId("x"), TrafficClass::Interactive, 1000, 750);
        metrics.countRequest(base::RouteName("r"), RequestOutcome::Completed);
        metrics.countRequest(base::RouteName("r"), RequestOutcome::Refused);
        metrics.countRefusal(base::ErrorKind::Overloaded);
        metrics.countOrder(OrderOutcome::NotRun);
        metrics.countWastedTokens(12);
        metrics.countControl(ControlChannel::Peer, 2, 300);
        metrics.countControl(ControlChannel::Platform, 1, 50);
        metrics.raiseControlTo(ControlChannel::Peer, 2, 300);
        metrics.raisePeerRefusalsTo(PeerRefusal::Replayed, 5);
        metrics.raisePeerRefusalsTo(PeerRefusal::Replayed, 4);
        metrics.streamOpened();
        const auto totals = metrics.totals();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, totals.requests);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, totals.refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{750}, totals.cachedTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, totals.wastedTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, totals.ordersNotRun);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, totals.controlMessages);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{350}, totals.controlBytes);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, totals.openStreams);
        CPPUNIT_ASSERT(metrics.renderText().find("carawaylatch_peer_refused_messages_total{reason=\"replayed\"} 5") != std::string::npos);
        CPPUNIT_ASSERT(metrics.renderText().find("carawaylatch_refusals_total{kind=\"overloaded\"} 1") != std::string::npos);
    }

    void testParallelRecordsAreAllCounted()
    {
        constexpr std::uint64_t Threads = 4;
        constexpr std::uint64_t Records = 500;
        Metrics metrics;
        std::vector<std::thread> threads;
        threads.reserve(Threads);
        for (std::uint64_t i = 0; i < Threads; ++i) {
            threads.emplace_back([&metrics, i] {
                for (std::uint64_t n = 0; n < Records; ++n) {
                    metrics.recordTokenGap(CustomerId(std::to_string(n % 7)), TrafficClass::Batch, base::milliseconds{20});
                    if (n % 50 == 0) {
                        metrics.registerTables(tablesWithCustomers({std::to_string(i), std::to_string(n % 7)}));
                    }
                }
            });
        }
        for (auto &it : threads) {
            it.join();
        }
        CPPUNIT_ASSERT_EQUAL(Threads * Records, metrics.totals().tokenGap.total());
    }

    void testQuantileAgainstSortedValues()
    {
        base::Random random(carawaylatch::testing::seed());
        for (int round = 0; round < 50; ++round) {
            LatencyRecorder counter;
            std::vector<base::Duration> values;
            const auto n = 1 + random.below(200);
            for (std::uint64_t i = 0; i < n; ++i) {
                values.push_back(base::microseconds{1000 + random.below(10'000'000)});
                counter.add(values.back());
            }
            std::sort(values.begin(), values.end());
            for (const double share : {0.5, 0.95, 0.99, 1.0}) {
                const auto exact = values.at(static_cast<std::size_t>(std::ceil(share * static_cast<double>(n))) - 1);
                const auto found = counter.snapshot().quantile(share);
                CPPUNIT_ASSERT(found >= exact);
                CPPUNIT_ASSERT(base::toSeconds(found) <= base::toSeconds(exact) * 1.2 + 1e-6);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace carawaylatch::telemetry::testing
