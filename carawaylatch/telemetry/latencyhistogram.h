// A latency histogram with exponentially growing buckets.
//
// The Prometheus histograms serve scrapes; this smaller one serves the
// operators' page and the status report. It is a plain value: two snapshots
// subtract to the histogram of the interval between them. A quantile is exact to
// one bucket, 20%.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "carawaylatch/base/time.h"

namespace carawaylatch::telemetry
{

// The upper edge of the first bucket is one millisecond, and each next edge is
// 1.2 times higher. The last bucket has no upper bound and starts above 18 s.
constexpr std::size_t LatencyBucketCount = 56;

// Returns the index of the bucket that counts a duration.
[[nodiscard]] std::size_t latencyBucket(base::Duration duration);

// Returns the upper edge of a bucket; the last one for an index out of range.
[[nodiscard]] base::Duration latencyBucketEdge(std::size_t bucket);

struct LatencyHistogram
{
    std::array<std::uint64_t, LatencyBucketCount> counts{};

    [[nodiscard]] std::uint64_t total() const;
    // Returns the upper edge of the bucket that contains the quantile `share`, in
    // (0, 1]; zero if the histogram is empty.
    [[nodiscard]] base::Duration quantile(double share) const;
    // Returns the durations counted after `earlier`, an older snapshot of the same histogram.
    [[nodiscard]] LatencyHistogram since(const LatencyHistogram &earlier) const;
};

// A histogram with atomic counts. Thread-safe: any thread may add durations or
// take a snapshot.
class LatencyRecorder
{
public:
    void add(base::Duration duration);
    [[nodiscard]] LatencyHistogram snapshot() const;

private:
    std::array<std::atomic<std::uint64_t>, LatencyBucketCount> m_counts{};
};

} // namespace carawaylatch::telemetry
