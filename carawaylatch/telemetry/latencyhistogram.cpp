// Buckets with exponentially growing edges.
//
// A fixed growth factor gives the same relative error at one millisecond and at
// ten seconds, so one small array serves both token intervals and queue waits.
// The edges are computed once, and a bucket is found by binary search. Counts
// never decrease, so the difference of two snapshots is the histogram of the
// interval between them, and no window needs a lock or a reset.
#include "carawaylatch/telemetry/latencyhistogram.h"

#include <algorithm>
#include <cmath>

namespace carawaylatch::telemetry
{

namespace
{

constexpr double GrowthFactor = 1.2;
constexpr base::Duration FirstEdge = base::milliseconds{1};

using Edges = std::array<base::Duration, LatencyBucketCount>;

Edges computeEdges()
{
    Edges edges{};
    double edge = base::toSeconds(FirstEdge);
    for (auto &it : edges) {
        it = base::fromSeconds(edge);
        edge *= GrowthFactor;
    }
    return edges;
}

const Edges &edges()
{
    static const Edges Table = computeEdges();
    return Table;
}

} // namespace

std::size_t latencyBucket(base::Duration duration)
{
    const auto &table = edges();
    const auto it = std::lower_bound(table.begin(), table.end() - 1, duration);
    return static_cast<std::size_t>(it - table.begin());
}

base::Duration latencyBucketEdge(std::size_t bucket)
{
    return edges().at(std::min(bucket, LatencyBucketCount - 1));
}

std::uint64_t LatencyHistogram::total() const
{
    std::uint64_t sum = 0;
    for (const auto it : counts) {
        sum += it;
    }
    return sum;
}

base::Duration LatencyHistogram::quantile(double share) const
{
    const auto count = total();
    if (count == 0) {
        return {};
    }
    const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count)));
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        cumulative += counts.at(i);
        if (cumulative >= rank) {
            return latencyBucketEdge(i);
        }
    }
    return latencyBucketEdge(LatencyBucketCount - 1);
}

LatencyHistogram LatencyHistogram::since(const LatencyHistogram &earlier) const
{
    LatencyHistogram difference;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        difference.counts.at(i) = counts.at(i) - std::min(counts.at(i), earlier.counts.at(i));
    }
    return difference;
}

void LatencyRecorder::add(base::Duration duration)
{
    m_counts.at(latencyBucket(duration)).fetch_add(1, std::memory_order_relaxed);
}

LatencyHistogram LatencyRecorder::snapshot() const
{
    LatencyHistogram copy;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        copy.counts.at(i) = m_counts.at(i).load(std::memory_order_relaxed);
    }
    return copy;
}

} // namespace carawaylatch::telemetry
