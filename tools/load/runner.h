// Runs a workload against the routers with a number of concurrent callers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tools/load/loadclient.h"
#include "tools/load/report.h"
#include "tools/load/workload.h"

namespace carawaylatch::load
{

struct RunOptions
{
    LoadClientOptions client;
    std::vector<std::string> keys; // bearer keys, one for each customer
    std::string model;
    WorkloadKind workload = WorkloadKind::Groupement;
    std::uint64_t seed = 1;
    std::uint64_t drawSeed = 1; // which prompts are drawn; equal texts for equal seeds
    std::size_t requests = 0;
    std::size_t concurrency = 1;
    std::size_t orders = 0;
    std::string orderRoute;
    std::string runId; // part of every order key, so that runs don't meet
    base::Duration deadline{}; // zero leaves it to the route
    base::Duration pause{}; // of each caller between two requests
};

// Returns the report without a judgement.
[[nodiscard]] Report runLoad(const RunOptions &options);

} // namespace carawaylatch::load
