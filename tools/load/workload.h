// The two workloads as sequences of requests generated from a seed.
//
// Groupement: a common template, then a supplier's contract, then a clause; all customers
// share the templates, a contract belongs to one customer. Brasa: a panel's fault history
// that grows, then a short question. Customers, templates, contracts and panels are drawn
// from skewed distributions, and the hot ones change once, after half of the run.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/ids.h"

namespace carawaylatch::load
{

enum class WorkloadKind {
    Groupement,
    Brasa,
};

[[nodiscard]] base::Result<WorkloadKind> parseWorkload(std::string_view name);

struct LoadRequest
{
    std::size_t customer = 0; // index among the customers of the run
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::string prompt;
    std::uint32_t maxTokens = 0;
};

// Generates the requests of a run in order. Not thread-safe.
class Workload
{
public:
    // `requests` is the length of the run; the hot prefixes change after half of it.
    // `seed` determines the texts, `drawSeed` which of them are drawn.
    Workload(WorkloadKind kind, std::size_t customers, std::size_t requests, std::uint64_t seed, std::uint64_t drawSeed);
    [[nodiscard]] LoadRequest next();

private:
    [[nodiscard]] std::size_t drawZipf(std::size_t n);
    [[nodiscard]] LoadRequest nextGroupement();
    [[nodiscard]] LoadRequest nextBrasa();

    WorkloadKind m_kind;
    std::size_t m_customers;
    std::size_t m_requests;
    std::uint64_t m_seed;
    std::size_t m_generated = 0;
    base::Random m_random;
};

} // namespace carawaylatch::load
