// Runs a workload against the routers with a number of concurrent clients.
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
    std::uint64_t drawSeed = 1; // choice of prompts; their texts depend on `seed` only
    std::size_t requests = 0;
    std::size_t concurrency = 1;
    std::size_t orders = 0;
    std::string orderRoute;
    std::string runId; // part of every order key, so that keys of two runs differ
    base::Duration deadline{}; // zero: the route's default
    base::Duration pause{}; // of each client between two requests
};

// Returns the report without the verification of the orders.
[[nodiscard]] Report runLoad(const RunOptions &options);

} // namespace carawaylatch::load
