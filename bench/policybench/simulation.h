// One run: a workload under a scenario with a strategy and a seed.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "bench/policybench/scenario.h"
#include "bench/policybench/workload.h"

namespace carawaylatch::bench
{

// Measurements of a run, the columns of the tables.
struct RunMetrics
{
    double hitRate = 0; // cached prompt tokens / prompt tokens, of requests that ran
    double hitBound = 0; // the same with one cache of all engines' total size, no copies and no faults
    double p50Interactive = 0; // ms to first token
    double p99Interactive = 0;
    double p50Batch = 0;
    double p99Batch = 0;
    double waste = 0; // prompt tokens computed although a reachable live engine had them cached / prompt tokens
    double refused = 0; // fraction of requests
    double goodput = 0; // fraction of requests with the first token within the deadline
    double fairness = 0; // Jain's index over customers' goodput
    std::uint64_t requests = 0;
};

struct Run
{
    const Workload *workload = nullptr;
    const Scenario *scenario = nullptr;
    std::string_view strategy;
    std::uint64_t seed = 0;
};

[[nodiscard]] RunMetrics simulate(const Run &run);

} // namespace carawaylatch::bench
