// Counts of durations in buckets that grow by a fixed factor.
//
// Prometheus histograms carry what is scraped; this smaller form carries what
// the router's own page and status show: it is copied as a plain value, two
// copies subtract to the counts of the time between them, and a quantile is
// exact to one bucket, 20%.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "carawaylatch/base/time.h"

namespace carawaylatch::telemetry
{

// Buckets: the first ends at one millisecond, each next one 1.2 times higher;
// the last, above 18 seconds, is open.
constexpr std::size_t LatencyBucketCount = 56;

// Returns the bucket that counts a duration.
[[nodiscard]] std::size_t latencyBucket(base::Duration duration);

// Returns the upper edge of a bucket.
[[nodiscard]] base::Duration latencyBucketEdge(std::size_t bucket);

struct LatencyHistogram
{
    std::array<std::uint64_t, LatencyBucketCount> counts{};

    [[nodiscard]] std::uint64_t total() const;
    // Returns the duration below which the given share of durations lies, as
    // the upper edge of its bucket; zero without any. Share is in (0, 1].
    [[nodiscard]] base::Duration quantile(double share) const;
    // Returns what was counted after `earlier`, a former copy of the same counts.
    [[nodiscard]] LatencyHistogram since(const LatencyHistogram &earlier) const;
};

// The shared form: any thread adds, any thread takes a copy.
class LatencyRecorder
{
public:
    void add(base::Duration duration);
    [[nodiscard]] LatencyHistogram snapshot() const;

private:
    std::array<std::atomic<std::uint64_t>, LatencyBucketCount> m_counts{};
};

} // namespace carawaylatch::telemetry
