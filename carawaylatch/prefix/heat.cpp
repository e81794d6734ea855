// Decayed counters in a set-associative table.
//
// A counter holds a sum of tokens in which each addition is halved every half-life;
// sum * ln 2 / half-life is the rate in tokens per second. The counter also holds the
// level's spread, the binary logarithm of its replicas. The spread
//   grows   while heat > share * 2^spread
//   shrinks while heat < share * 2^spread / 4, half of what the last growth required.
//
// A level ends where the heat of the next block is below BranchRatio times that of
// this block: the traffic branches there. Only the first MaxHeatBlocks blocks count.
#include "carawaylatch/prefix/heat.h"

#include <tbb/spin_mutex.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <bit>
#include <cmath>
#include <vector>

namespace carawaylatch::prefix
{

namespace
{

constexpr std::size_t BucketEntries = 8;
constexpr std::size_t LockStripes = 1024;
constexpr std::size_t MaxHeatBlocks = 128;
constexpr double BranchRatio = 0.7;
constexpr std::uint8_t MaxSpread = 6; // up to 64 replicas
constexpr float MinRequests = 4; // before a level may grow; fewer do not give a rate
constexpr double MaxHalfLives = 60; // older counters count as zero

struct Counter
{
    std::uint64_t key = 0; // zero: free
    float sum = 0; // tokens at the time `touched`
    std::uint32_t touched = 0; // milliseconds, modulo 2^32
    std::uint8_t spread = 0;
};

struct Bucket
{
    std::array<Counter, BucketEntries> counters;
};

std::uint32_t milliseconds32(base::TimePoint time)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<base::milliseconds>(time.time_since_epoch()).count());
}

} // namespace

struct HeatTable::Tables
{
    std::vector<Bucket> buckets; // a power of two
    std::array<tbb::spin_mutex, LockStripes> locks;
    std::array<std::atomic<bool>, LockStripes> isStripeUsed{}; // a counter was ever stored in the stripe; set under the stripe's lock
    double halfLifeMs;

    explicit Tables(const HeatOptions &options)
        : buckets(std::bit_floor(std::max<std::size_t>(options.maxEntries / BucketEntries, 1)))
        , halfLifeMs(static_cast<double>(base::toMilliseconds(options.halfLife)))
    {
    }

    [[nodiscard]] std::size_t bucketOf(std::uint64_t key) const
    {
        return (key >> 16U) & (buckets.size() - 1);
    }

    [[nodiscard]] double sumAt(const Counter &counter, std::uint32_t now) const
    {
        const double halfLives = static_cast<double>(static_cast<std::int32_t>(now - counter.touched)) / halfLifeMs;
        return halfLives > MaxHalfLives || counter.key == 0 ? 0 : counter.sum * std::exp2(-std::max(0.0, halfLives));
    }

    [[nodiscard]] double rate(double sum) const
    {
        constexpr double MillisecondsPerSecond = 1000;
        return sum * std::log(2.0) / halfLifeMs * MillisecondsPerSecond;
    }

    // Returns the key's counter; if there is none, replaces the one with the lowest sum in its bucket.
    // The caller holds the lock.
    Counter &findOrReplace(std::uint64_t key, std::uint32_t now)
    {
        Counter *coldest = nullptr;
        double least = 0;
        for (auto &it : buckets[bucketOf(key)].counters) {
            if (it.key == key) {
                return it;
            }
            const double sum = sumAt(it, now);
            if (coldest == nullptr || sum < least) {
                coldest = &it;
                least = sum;
            }
        }
        *coldest = Counter{key, 0, now, 0};
        isStripeUsed[bucketOf(key) % LockStripes].store(true, std::memory_order_relaxed);
        return *coldest;
    }

    double add(std::uint64_t key, std::uint32_t tokens, double share, std::uint32_t now)
    {
        const tbb::spin_mutex::scoped_lock lock(locks[bucketOf(key) % LockStripes]);
        Counter &counter = findOrReplace(key, now);
        counter.sum = static_cast<float>(sumAt(counter, now) + tokens);
        counter.touched = now;
        const double heat = rate(counter.sum);
        const bool hasEnoughRequests = counter.sum >= MinRequests * tokens;
        while (share > 0 && hasEnoughRequests && counter.spread < MaxSpread && heat > share * static_cast<double>(1U << counter.spread)) {
            ++counter.spread;
        }
        while (counter.spread > 0 && heat < share * static_cast<double>(1U << counter.spread) / 4) {
            --counter.spread;
        }
        return heat;
    }

    // Visits the counters of used stripes under their locks.
    template <typename Visit>
    void forEach(const Visit &visit)
    {
        for (std::size_t stripe = 0; stripe < LockStripes; ++stripe) {
            if (!isStripeUsed[stripe].load(std::memory_order_relaxed)) {
                continue;
            }
            const tbb::spin_mutex::scoped_lock lock(locks[stripe]);
            for (std::size_t i = stripe; i < buckets.size(); i += LockStripes) {
                std::for_each(buckets[i].counters.begin(), buckets[i].counters.end(), visit);
            }
        }
    }

    [[nodiscard]] Counter find(std::uint64_t key)
    {
        const tbb::spin_mutex::scoped_lock lock(locks[bucketOf(key) % LockStripes]);
        for (const auto &it : buckets[bucketOf(key)].counters) {
            if (it.key == key) {
                return it;
            }
        }
        return {};
    }
};

HeatTable::HeatTable(const HeatOptions &options)
    : m_tables(std::make_unique<Tables>(options))
{
}

HeatTable::~HeatTable() = default;

void HeatTable::record(std::uint64_t pool, std::span<const std::uint64_t> chain, std::uint32_t tokens, std::uint32_t upstreams, base::TimePoint now)
{
    const std::uint32_t time = milliseconds32(now);
    const double share = m_tables->add(pool, tokens, 0, time) / std::max(1U, upstreams);
    for (const std::uint64_t key : chain.first(std::min(chain.size(), MaxHeatBlocks))) {
        m_tables->add(key, tokens, share, time);
    }
}

HomePath HeatTable::path(std::span<const std::uint64_t> chain, base::TimePoint now) const
{
    HomePath path;
    const std::uint32_t time = milliseconds32(now);
    const std::size_t n = std::min(chain.size(), MaxHeatBlocks);
    Counter counter = n > 0 ? m_tables->find(chain[0]) : Counter{};
    for (std::size_t i = 0; i < n && path.size < HomePath::MaxLevels; ++i) {
        const Counter next = i + 1 < n ? m_tables->find(chain[i + 1]) : Counter{};
        const bool endsLevel = i + 1 == n || m_tables->sumAt(next, time) < BranchRatio * m_tables->sumAt(counter, time);
        if (endsLevel) {
            path.levels[path.size++] = HomeLevel{chain[i], static_cast<std::uint32_t>(i + 1), 1U << counter.spread};
            if (counter.spread == 0) {
                break;
            }
        }
        counter = next;
    }
    return path;
}

double HeatTable::heat(std::uint64_t key, base::TimePoint now) const
{
    return m_tables->rate(m_tables->sumAt(m_tables->find(key), milliseconds32(now)));
}

HotLevels HeatTable::exportHot(std::size_t maxEntries, base::TimePoint now) const
{
    HotLevels hot;
    const std::uint32_t time = milliseconds32(now);
    m_tables->forEach([&](const Counter &counter) {
        const double heat = m_tables->rate(m_tables->sumAt(counter, time));
        if (heat >= 1) {
            hot.levels.push_back(HotLevel{counter.key, static_cast<float>(heat), counter.spread});
        }
    });
    const auto isHotter = [](const HotLevel &left, const HotLevel &right) {
        return left.heat > right.heat;
    };
    if (hot.levels.size() > maxEntries) {
        std::nth_element(hot.levels.begin(), hot.levels.begin() + static_cast<std::ptrdiff_t>(maxEntries), hot.levels.end(), isHotter);
        hot.levels.resize(maxEntries);
    }
    return hot;
}

void HeatTable::importHot(const HotLevels &levels, base::TimePoint now)
{
    const std::uint32_t time = milliseconds32(now);
    for (const auto &it : levels.levels) {
        const tbb::spin_mutex::scoped_lock lock(m_tables->locks[m_tables->bucketOf(it.key) % LockStripes]);
        Counter &counter = m_tables->findOrReplace(it.key, time);
        const double sum = it.heat / m_tables->rate(1);
        if (sum > m_tables->sumAt(counter, time)) {
            counter = Counter{it.key, static_cast<float>(sum), time, std::min(it.spread, MaxSpread)};
        }
    }
}

} // namespace carawaylatch::prefix
