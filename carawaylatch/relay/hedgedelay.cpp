// Geometric buckets: bucket i ends at 1 ms x 2^(i/4), a relative error of at most
// 19%, which is precise enough for a delay. The buckets of a pool take 320 bytes.
#include "carawaylatch/relay/hedgedelay.h"

#include <algorithm>
#include <cmath>

namespace carawaylatch::relay
{

void FirstTokenQuantile::add(base::Duration firstToken)
{
    const double ms = std::max(1.0, base::toSeconds(firstToken) * 1000);
    const auto bucket = std::min(BucketCount - 1, static_cast<std::size_t>(std::ceil(4 * std::log2(ms))));
    ++m_counts[bucket];
    if (++m_total < HalvingThreshold) {
        return;
    }
    m_total = 0;
    for (std::uint32_t &count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

std::optional<base::Duration> FirstTokenQuantile::quantile(double probability) const
{
    if (m_total < MinSamples) {
        return std::nullopt;
    }
    const double wanted = probability * m_total;
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < BucketCount; ++i) {
        sum += m_counts[i];
        if (static_cast<double>(sum) >= wanted) {
            return base::fromSeconds(std::exp2(static_cast<double>(i) / 4) / 1000);
        }
    }
    return base::fromSeconds(std::exp2(static_cast<double>(BucketCount) / 4) / 1000);
}

HedgeDelays::HedgeDelays(double quantile)
    : m_quantile(quantile)
{
}

void HedgeDelays::add(const base::PoolName &pool, base::Duration firstToken)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_quantiles.find(pool);
    if (it != m_quantiles.end()) {
        it->second.add(firstToken);
    } else if (m_quantiles.size() < MaxPools) {
        m_quantiles[pool].add(firstToken);
    }
}

std::optional<base::Duration> HedgeDelays::delay(const base::PoolName &pool) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_quantiles.find(pool);
    return it == m_quantiles.end() ? std::nullopt : it->second.quantile(m_quantile);
}

} // namespace carawaylatch::relay
