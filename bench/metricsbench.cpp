// Cost of metrics: recording a sample on a traffic thread, and rendering all series.
//
// The argument is the number of customers; each has series for both traffic classes.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "carawaylatch/config/tables.h"
#include "carawaylatch/telemetry/metrics.h"
#include "carawaylatch/telemetry/processusage.h"

namespace
{

using carawaylatch::base::CustomerId;
using carawaylatch::base::milliseconds;
using carawaylatch::base::TrafficClass;
using carawaylatch::telemetry::Metrics;

std::vector<CustomerId> makeCustomers(std::int64_t n)
{
    std::vector<CustomerId> customers;
    for (std::int64_t i = 0; i < n; ++i) {
        customers.emplace_back("customer-" + std::to_string(i));
    }
    return customers;
}

void configureCustomers(Metrics &metrics, const std::vector<CustomerId> &customers)
{
    carawaylatch::config::Tables tables;
    for (const auto &it : customers) {
        tables.customers.push_back({.id = it, .keyDigest = {}});
    }
    metrics.registerTables(tables);
}

void recordSamples(Metrics &metrics, const std::vector<CustomerId> &customers)
{
    for (const auto &it : customers) {
        for (const auto trafficClass : {TrafficClass::Interactive, TrafficClass::Batch}) {
            metrics.recordFirstToken(it, trafficClass, milliseconds{80});
            metrics.recordTokenGap(it, trafficClass, milliseconds{20});
            metrics.recordQueueWait(it, trafficClass, milliseconds{2});
            metrics.recordPrompt(it, trafficClass, 10'000, 9'000);
        }
    }
}

void recordTokenGap(benchmark::State &state)
{
    const auto customers = makeCustomers(state.range(0));
    static Metrics *shared = nullptr;
    if (state.thread_index() == 0) {
        shared = new Metrics;
        configureCustomers(*shared, customers);
    }
    std::size_t i = 0;
    for (auto _ : state) {
        shared->recordTokenGap(customers[i], TrafficClass::Interactive, milliseconds{20});
        i = i + 1 == customers.size() ? 0 : i + 1;
    }
    if (state.thread_index() == 0) {
        delete shared;
    }
}

void renderText(benchmark::State &state)
{
    const auto customers = makeCustomers(state.range(0));
    const auto before = carawaylatch::telemetry::readProcessUsage().residentBytes;
    Metrics metrics;
    configureCustomers(metrics, customers);
    recordSamples(metrics, customers);
    const auto after = carawaylatch::telemetry::readProcessUsage().residentBytes;
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = metrics.renderText().size();
    }
    state.counters["text_bytes"] = static_cast<double>(bytes);
    state.counters["series_bytes"] = static_cast<double>(after - before);
}

} // namespace

BENCHMARK(recordTokenGap)->Arg(8)->Arg(640)->Threads(1)->Threads(4)->UseRealTime();
// With a fixed number of iterations each benchmark runs once, so that series_bytes is the
// growth of a fresh heap.
BENCHMARK(renderText)->Arg(640)->Arg(8)->Iterations(10)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
