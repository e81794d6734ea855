// The result of a run, as text for people and JSON for programs.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "carawaylatch/base/time.h"
#include "tools/load/orderverifier.h"

namespace carawaylatch::load
{

// All latencies of one traffic class.
struct ClassLatencies
{
    std::vector<base::Duration> firstToken;
    std::vector<base::Duration> gaps;
};

constexpr std::size_t ClassCount = 2; // indexed by base::TrafficClass
constexpr std::size_t VerdictCount = 9; // indexed by StreamVerdict

struct Report
{
    std::string workload;
    std::uint64_t seed = 0;
    std::uint64_t requests = 0;
    std::uint64_t notReached = 0; // requests that reached no router after all retries
    std::uint64_t retries = 0;
    std::array<std::uint64_t, VerdictCount> verdicts{};
    std::map<std::string, std::uint64_t> refusals; // final ones, by type
    std::map<std::string, std::uint64_t> explicitErrors; // by type
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
    std::array<ClassLatencies, ClassCount> latencies;
    base::Duration elapsed{};
    std::vector<OrderResponse> orders;
    std::uint64_t verifiedServices = 0;
    OrderVerification verification;

    void merge(Report &&other);
    [[nodiscard]] std::uint64_t totalViolations() const;
};

// Returns the nearest-rank quantile for a fraction from 0 to 1, zero without values. Sorts
// the values.
[[nodiscard]] base::Duration quantile(std::vector<base::Duration> &values, double fraction);

[[nodiscard]] std::string renderText(Report &report);
[[nodiscard]] std::string renderJson(Report &report);

} // namespace carawaylatch::load
