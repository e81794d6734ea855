// Time to wait for a first token before a hedge is sent.
//
// Times to first token are counted in a histogram with four buckets per doubling.
// At HalvingThreshold samples all counts are halved, so that old samples lose
// weight. The delay is the bucket bound at the configured quantile: with 0.95,
// about one request in twenty asks for a hedge; the retry budget limits how many
// are sent.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::relay
{

// Quantiles of recent times to first token.
class FirstTokenQuantile
{
public:
    void add(base::Duration firstToken);
    // Returns the quantile for a probability (0 to 1), or nothing before MinSamples samples.
    [[nodiscard]] std::optional<base::Duration> quantile(double probability) const;

private:
    static constexpr std::size_t BucketCount = 80; // 1 ms x 2^(i/4): up to 880 s
    static constexpr std::uint32_t MinSamples = 20;
    static constexpr std::uint32_t HalvingThreshold = 2000;
    std::array<std::uint32_t, BucketCount> m_counts{};
    std::uint32_t m_total = 0;
};

// Hedge delays of all pools. Thread-safe. Requests of pools beyond MaxPools are not
// hedged.
class HedgeDelays
{
public:
    static constexpr std::size_t MaxPools = 1024;
    explicit HedgeDelays(double quantile = 0.95);
    void add(const base::PoolName &pool, base::Duration firstToken);
    [[nodiscard]] std::optional<base::Duration> delay(const base::PoolName &pool) const;

private:
    const double m_quantile;
    mutable std::mutex m_mutex;
    std::map<base::PoolName, FirstTokenQuantile> m_quantiles; // guarded by m_mutex
};

} // namespace carawaylatch::relay
