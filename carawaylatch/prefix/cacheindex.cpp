// A set-associative table of (block, holder) entries.
//
// An entry is 16 bytes: block key, time of the last touch, slot and generation of the
// holder. Entries are stored in buckets of eight, two cache lines each. The holders of
// one block are spread over HolderGroups buckets by slot, so that a block with many
// holders does not fill one bucket, and a lookup of all holders reads that many
// buckets. The table never grows: a full bucket replaces an invalid entry or else
// the least recently touched one. Node-based concurrent maps would exceed 32 bytes per
// entry with two pointers, a lock and allocator overhead, before the entry itself.
//
// Generations. Each slot has a generation number. Invalidating a slot increments it,
// so that all entries of the old generation are invalid at once and are overwritten
// later. Recording reads the generation before the incarnation, and adopt() clears
// the incarnation before it increments the generation; an entry of an old incarnation
// is therefore never recorded under a new generation.
//
// Gaps. Engines evict the end of a chain before its start, so a block that is known to
// be held implies up to MaxGapBlocks unknown blocks before it. Otherwise one lost
// event in the middle of a chain would hide all blocks after it.
//
// Expiry. The age of entries at eviction is averaged per upstream; an entry older than
// LifetimeSlack times the average is not valid. The slack is needed because requests
// of other routers refresh blocks without an event.
#include "carawaylatch/prefix/cacheindex.h"

#include <tbb/spin_rw_mutex.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <bit>
#include <map>

namespace carawaylatch::prefix
{

namespace
{

constexpr std::size_t BucketEntries = 8;
constexpr std::size_t HolderGroups = 4;
static_assert(BucketEntries * HolderGroups == CacheIndex::MaxHoldersPerBlock);
constexpr std::size_t LockStripes = 4096;
constexpr std::uint64_t GroupHashStep = 0x9E3779B97F4A7C15ULL;
constexpr std::uint32_t MaxGapBlocks = 3; // blocks
constexpr std::int64_t EventLagMs = 250; // events are delayed: an eviction does not apply to an entry touched within this time
constexpr std::uint32_t LifetimeSlack = 3;
constexpr double LifetimeAverageWeight = 0.05; // weight of one eviction in the moving average
constexpr double AnswerAverageWeight = 0.1; // weight of one response in the moving averages
constexpr double MinConfidence = 0.25;
constexpr std::uint32_t MinLifetimeMs = 500;

struct Entry
{
    std::uint64_t key = 0; // zero: free
    std::uint32_t touched = 0; // milliseconds, modulo 2^32
    std::uint16_t slot = 0;
    std::uint16_t generation = 0;
};
static_assert(sizeof(Entry) == 16);

struct alignas(64) Bucket
{
    std::array<Entry, BucketEntries> entries;
};

struct alignas(64) Upstream
{
    std::atomic<std::uint64_t> incarnation{0}; // zero: nothing may be recorded
    std::atomic<std::uint16_t> generation{0};
    std::atomic<std::uint32_t> lifetimeMs{0};
    std::atomic<float> confidence{1};
    std::atomic<float> predictedMissing{1}; // blocks per response, moving average
    std::atomic<float> actualMissing{1};
    std::atomic<std::uint64_t> nextEvent{0};
    std::atomic<bool> hasMeasuredLifetime{false};
    base::UpstreamId id; // written and read by the control thread
};

std::uint32_t milliseconds32(base::TimePoint time)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<base::milliseconds>(time.time_since_epoch()).count());
}

// Returns the age of a touch, zero if it is slightly later than `now`.
std::uint32_t ageMs(std::uint32_t now, std::uint32_t touched)
{
    constexpr std::uint32_t MaxAhead = 60'000;
    const std::uint32_t age = now - touched;
    return touched - now < MaxAhead ? 0 : age;
}

void average(std::atomic<float> &value, double sample)
{
    const double old = value.load(std::memory_order_relaxed);
    value.store(static_cast<float>(old + AnswerAverageWeight * (sample - old)), std::memory_order_relaxed);
}

std::uint64_t storedKey(std::uint64_t block)
{
    return block == 0 ? 1 : block;
}

} // namespace

struct CacheIndex::Tables
{
    std::vector<Bucket> buckets; // a power of two
    std::vector<Upstream> upstreams; // by slot
    std::array<tbb::spin_rw_mutex, LockStripes> locks;
    std::array<std::atomic<bool>, LockStripes> isStripeUsed{}; // an entry was ever inserted in the stripe; set under the stripe's lock

    explicit Tables(const CacheIndexOptions &options)
        : buckets(std::bit_floor(std::max<std::size_t>(options.maxBytes / sizeof(Bucket), 1)))
        , upstreams(std::min(options.maxUpstreams, upstreams::MaxSlots))
    {
        for (auto &it : upstreams) {
            it.lifetimeMs = static_cast<std::uint32_t>(base::toMilliseconds(options.initialLifetime));
        }
    }

    [[nodiscard]] std::size_t bucketOf(std::uint64_t key, std::size_t group) const
    {
        return ((key + group * GroupHashStep) >> 16U) & (buckets.size() - 1);
    }

    [[nodiscard]] bool isLive(const Entry &entry, std::uint32_t now) const
    {
        if (entry.key == 0) {
            return false;
        }
        const Upstream &upstream = upstreams[entry.slot];
        return entry.generation == upstream.generation.load(std::memory_order_relaxed)
               && ageMs(now, entry.touched) <= upstream.lifetimeMs.load(std::memory_order_relaxed) * std::uint64_t{LifetimeSlack};
    }

    void insert(const Entry &entry, std::uint32_t now)
    {
        const std::size_t index = bucketOf(entry.key, entry.slot % HolderGroups);
        const tbb::spin_rw_mutex::scoped_lock lock(locks[index % LockStripes], true);
        isStripeUsed[index % LockStripes].store(true, std::memory_order_relaxed);
        Entry *victim = nullptr;
        std::uint64_t victimAge = 0;
        for (auto &it : buckets[index].entries) {
            if (it.key == entry.key && it.slot == entry.slot) {
                it = entry;
                return;
            }
            const std::uint64_t age = isLive(it, now) ? ageMs(now, it.touched) : UINT64_MAX;
            if (victim == nullptr || age > victimAge) {
                victim = &it;
                victimAge = age;
            }
        }
        *victim = entry;
    }

    // Removes the entry and returns its age in milliseconds, or -1 if it does not exist or was
    // touched within EventLagMs.
    std::int64_t evict(std::uint64_t key, upstreams::Slot slot, std::uint32_t now)
    {
        const std::size_t index = bucketOf(key, slot.index % HolderGroups);
        const tbb::spin_rw_mutex::scoped_lock lock(locks[index % LockStripes], true);
        for (auto &it : buckets[index].entries) {
            // Removes expired entries too: a longer measured lifetime would make them valid again.
            if (it.key == key && it.slot == slot.index && it.generation == upstreams[slot.index].generation.load(std::memory_order_relaxed)) {
                const std::int64_t age = ageMs(now, it.touched);
                if (age < EventLagMs) {
                    return -1;
                }
                it = Entry{};
                return age;
            }
        }
        return -1;
    }

    // Prefetches the buckets of the chain's first blocks, so that the cache misses overlap.
    void prefetch(std::span<const std::uint64_t> chain) const
    {
        constexpr std::size_t MaxPrefetched = 64;
        for (const std::uint64_t block : chain.first(std::min(chain.size(), MaxPrefetched))) {
            for (std::size_t group = 0; group < HolderGroups; ++group) {
                const auto *bucket = &buckets[bucketOf(storedKey(block), group)];
                __builtin_prefetch(bucket);
                __builtin_prefetch(&bucket->entries[BucketEntries / 2]);
            }
        }
    }

    template <typename Visit>
    void forEachHolder(std::uint64_t block, std::size_t group, std::uint32_t now, const Visit &visit)
    {
        const std::uint64_t key = storedKey(block);
        const std::size_t index = bucketOf(key, group);
        const tbb::spin_rw_mutex::scoped_lock lock(locks[index % LockStripes], false);
        for (const auto &it : buckets[index].entries) {
            if (it.key == key && isLive(it, now)) {
                visit(upstreams::Slot{it.slot});
            }
        }
    }

    // Takes each lock once and skips stripes without entries, so that a walk over a large
    // and mostly empty table does not stall the control thread.
    template <typename Visit>
    void forEachLive(std::uint32_t now, const Visit &visit)
    {
        for (std::size_t stripe = 0; stripe < LockStripes; ++stripe) {
            if (!isStripeUsed[stripe].load(std::memory_order_relaxed)) {
                continue;
            }
            const tbb::spin_rw_mutex::scoped_lock lock(locks[stripe], false);
            for (std::size_t i = stripe; i < buckets.size(); i += LockStripes) {
                visitLive(buckets[i], now, visit);
            }
        }
    }

    template <typename Visit>
    void visitLive(const Bucket &bucket, std::uint32_t now, const Visit &visit) const
    {
        for (const auto &it : bucket.entries) {
            if (isLive(it, now)) {
                visit(it);
            }
        }
    }

    // Reads the generation under which `incarnation` may be recorded; returns false if it is not the current incarnation.
    [[nodiscard]] bool readGeneration(upstreams::Slot slot, base::Incarnation incarnation, std::uint16_t &generation) const
    {
        if (slot.index >= upstreams.size() || incarnation.value == 0) {
            return false;
        }
        generation = upstreams[slot.index].generation.load();
        return upstreams[slot.index].incarnation.load() == incarnation.value;
    }

    void updateLifetime(Upstream &upstream, std::int64_t age)
    {
        const double old = upstream.lifetimeMs.load(std::memory_order_relaxed);
        const bool isFirst = !upstream.hasMeasuredLifetime.exchange(true);
        const double updated = isFirst ? static_cast<double>(age) : old + LifetimeAverageWeight * (static_cast<double>(age) - old);
        upstream.lifetimeMs.store(std::max(MinLifetimeMs, static_cast<std::uint32_t>(updated)), std::memory_order_relaxed);
    }
};

CacheIndex::CacheIndex(const CacheIndexOptions &options)
    : m_tables(std::make_unique<Tables>(options))
{
}

CacheIndex::~CacheIndex() = default;

void CacheIndex::adopt(upstreams::Slot slot, const base::UpstreamId &id, base::Incarnation incarnation)
{
    if (slot.index >= m_tables->upstreams.size()) {
        return;
    }
    Upstream &upstream = m_tables->upstreams[slot.index];
    if (incarnation.value != 0 && upstream.incarnation.load() == incarnation.value && upstream.id == id) {
        return;
    }
    invalidate(slot);
    upstream.id = id;
    upstream.incarnation.store(incarnation.value);
}

void CacheIndex::invalidate(upstreams::Slot slot)
{
    if (slot.index >= m_tables->upstreams.size()) {
        return;
    }
    Upstream &upstream = m_tables->upstreams[slot.index];
    upstream.incarnation.store(0);
    const auto generation = static_cast<std::uint16_t>(upstream.generation.load() + 1);
    upstream.generation.store(generation);
    upstream.confidence.store(1);
    upstream.nextEvent.store(0);
    upstream.hasMeasuredLifetime.store(false);
    if (generation == 0) {
        // The generation number wrapped: remove entries of earlier uses of the number.
        for (std::size_t i = 0; i < m_tables->buckets.size(); ++i) {
            const tbb::spin_rw_mutex::scoped_lock lock(m_tables->locks[i % LockStripes], true);
            for (auto &it : m_tables->buckets[i].entries) {
                it = it.slot == slot.index ? Entry{} : it;
            }
        }
    }
}

void CacheIndex::recordPlacement(upstreams::Slot slot, base::Incarnation incarnation, std::span<const std::uint64_t> chain, base::TimePoint now)
{
    std::uint16_t generation = 0;
    if (!m_tables->readGeneration(slot, incarnation, generation)) {
        return;
    }
    const std::uint32_t touched = milliseconds32(now);
    for (const std::uint64_t block : chain) {
        m_tables->insert(Entry{storedKey(block), touched, slot.index, generation}, touched);
    }
}

void CacheIndex::recordAnswer(const CacheAnswer &answer, base::TimePoint now)
{
    std::uint16_t generation = 0;
    if (!m_tables->readGeneration(answer.slot, answer.incarnation, generation)) {
        return;
    }
    recordPlacement(answer.slot, answer.incarnation, answer.chain, now);
    const auto total = static_cast<double>(answer.chain.size()) + 1; // the last, incomplete block is never cached
    average(m_tables->upstreams[answer.slot.index].predictedMissing, std::max(1.0, total - answer.predictedBlocks));
    average(m_tables->upstreams[answer.slot.index].actualMissing, std::max(1.0, total - answer.cachedBlocks));
    if (answer.predictedBlocks == 0) {
        return;
    }
    auto &confidence = m_tables->upstreams[answer.slot.index].confidence;
    const double confirmed = std::min(1.0, static_cast<double>(answer.cachedBlocks) / answer.predictedBlocks);
    const double old = confidence.load(std::memory_order_relaxed);
    confidence.store(static_cast<float>(std::max(MinConfidence, old + AnswerAverageWeight * (confirmed - old))), std::memory_order_relaxed);
}

std::uint64_t CacheIndex::applyEvents(upstreams::Slot slot, const CacheEvents &events, base::TimePoint now)
{
    std::uint16_t generation = 0;
    if (!m_tables->readGeneration(slot, events.incarnation, generation)) {
        return 0;
    }
    Upstream &upstream = m_tables->upstreams[slot.index];
    const std::uint32_t touched = milliseconds32(now);
    std::uint64_t expected = upstream.nextEvent.load(std::memory_order_relaxed);
    std::uint64_t lost = 0;
    for (const auto &event : events.events) {
        lost += expected != 0 && event.sequence > expected ? event.sequence - expected : 0;
        expected = std::max(expected, event.sequence + 1);
        if (event.operation == CacheOperation::Stored) {
            m_tables->insert(Entry{storedKey(event.block), touched, slot.index, generation}, touched);
        } else if (const std::int64_t age = m_tables->evict(storedKey(event.block), slot, touched); age >= 0) {
            m_tables->updateLifetime(upstream, age);
        }
    }
    lost += expected != 0 && events.next > expected ? events.next - expected : 0;
    upstream.nextEvent.store(std::max(expected, events.next), std::memory_order_relaxed);
    if (lost > 0) {
        const double kept = static_cast<double>(events.events.size()) / static_cast<double>(events.events.size() + lost);
        const double old = upstream.confidence.load(std::memory_order_relaxed);
        upstream.confidence.store(static_cast<float>(std::max(MinConfidence, old - AnswerAverageWeight * (1 - kept))), std::memory_order_relaxed);
    }
    return lost;
}

std::uint64_t CacheIndex::nextEvent(upstreams::Slot slot) const
{
    return slot.index < m_tables->upstreams.size() ? m_tables->upstreams[slot.index].nextEvent.load(std::memory_order_relaxed) : 0;
}

void CacheIndex::findHolders(std::span<const std::uint64_t> chain, base::TimePoint now, std::vector<Holder> &holders) const
{
    // Sparse set: position of a slot in `holders`, valid only if the holder there has that slot.
    thread_local std::vector<std::uint16_t> positions(upstreams::MaxSlots);
    holders.clear();
    const std::uint32_t time = milliseconds32(now);
    std::uint32_t deepest = 0;
    m_tables->prefetch(chain);
    for (std::uint32_t i = 0; i < chain.size() && i <= deepest + MaxGapBlocks; ++i) {
        for (std::size_t group = 0; group < HolderGroups; ++group) {
            m_tables->forEachHolder(chain[i], group, time, [&](upstreams::Slot slot) {
                const std::uint16_t position = positions[slot.index];
                if (position < holders.size() && holders[position].slot == slot) {
                    Holder &holder = holders[position];
                    holder.blocks = i <= holder.blocks + MaxGapBlocks ? i + 1 : holder.blocks;
                    deepest = std::max(deepest, holder.blocks);
                } else if (i <= MaxGapBlocks) {
                    positions[slot.index] = static_cast<std::uint16_t>(holders.size());
                    holders.push_back(Holder{slot, i + 1});
                    deepest = std::max(deepest, i + 1);
                }
            });
        }
    }
    std::sort(holders.begin(), holders.end(), [](const Holder &left, const Holder &right) {
        return left.slot < right.slot;
    });
}

std::uint32_t CacheIndex::heldBlocks(upstreams::Slot slot, std::span<const std::uint64_t> chain, base::TimePoint now) const
{
    const std::uint32_t time = milliseconds32(now);
    std::uint32_t blocks = 0;
    for (std::uint32_t i = 0; i < chain.size() && i <= blocks + MaxGapBlocks; ++i) {
        m_tables->forEachHolder(chain[i], slot.index % HolderGroups, time, [&](upstreams::Slot holder) {
            blocks = holder == slot ? i + 1 : blocks;
        });
    }
    return blocks;
}

double CacheIndex::confidence(upstreams::Slot slot) const
{
    return slot.index < m_tables->upstreams.size() ? m_tables->upstreams[slot.index].confidence.load(std::memory_order_relaxed) : 0;
}

double CacheIndex::prefillCorrection(upstreams::Slot slot) const
{
    if (slot.index >= m_tables->upstreams.size()) {
        return 1;
    }
    const Upstream &upstream = m_tables->upstreams[slot.index];
    const double ratio = upstream.actualMissing.load(std::memory_order_relaxed) / upstream.predictedMissing.load(std::memory_order_relaxed);
    return std::clamp(ratio, 1.0, MaxPrefillCorrection);
}

base::Duration CacheIndex::lifetime(upstreams::Slot slot) const
{
    return base::milliseconds{slot.index < m_tables->upstreams.size() ? m_tables->upstreams[slot.index].lifetimeMs.load(std::memory_order_relaxed) : 0};
}

HotPlacements CacheIndex::exportHot(std::size_t maxEntries, base::TimePoint now) const
{
    // First pass: a histogram of ages in steps of 250 ms gives the age of the maxEntries youngest entries.
    constexpr std::uint32_t StepMs = 250;
    constexpr std::size_t Steps = 1024;
    std::array<std::size_t, Steps> counts{};
    const std::uint32_t time = milliseconds32(now);
    m_tables->forEachLive(time, [&](const Entry &entry) {
        ++counts[std::min<std::size_t>(ageMs(time, entry.touched) / StepMs, Steps - 1)];
    });
    std::size_t step = 0;
    for (std::size_t n = 0; step < Steps && n + counts[step] <= maxEntries; ++step) {
        n += counts[step];
    }
    // Second pass: all entries younger than that step, and as many of that step as fit.
    std::map<std::uint16_t, std::vector<HotBlock>> blocks; // by slot; few of all slots are in use
    std::size_t younger = 0;
    for (std::size_t i = 0; i < step; ++i) {
        younger += counts[i];
    }
    std::size_t left = maxEntries - younger;
    m_tables->forEachLive(time, [&](const Entry &entry) {
        const std::uint32_t age = ageMs(time, entry.touched);
        const std::size_t entryStep = std::min<std::size_t>(age / StepMs, Steps - 1);
        if (entryStep < step || (entryStep == step && left > 0)) {
            left -= entryStep == step ? 1 : 0;
            blocks[entry.slot].push_back(HotBlock{entry.key, age});
        }
    });
    HotPlacements placements;
    for (auto &[slot, hot] : blocks) {
        const Upstream &upstream = m_tables->upstreams[slot];
        placements.upstreams.push_back(
            HotUpstream{upstream.id, {upstream.incarnation.load()}, upstream.lifetimeMs.load(std::memory_order_relaxed), std::move(hot)});
    }
    return placements;
}

void CacheIndex::importHot(const HotPlacements &placements, base::TimePoint now)
{
    const std::uint32_t time = milliseconds32(now);
    for (const auto &hot : placements.upstreams) {
        const auto it = std::find_if(m_tables->upstreams.begin(), m_tables->upstreams.end(), [&](const Upstream &upstream) {
            return upstream.id == hot.upstream && upstream.incarnation.load() == hot.incarnation.value;
        });
        if (it == m_tables->upstreams.end() || hot.incarnation.value == 0) {
            continue;
        }
        const auto slot = static_cast<std::uint16_t>(it - m_tables->upstreams.begin());
        const std::uint16_t generation = it->generation.load();
        if (!it->hasMeasuredLifetime.load() && hot.lifetimeMilliseconds > 0) {
            it->lifetimeMs.store(std::max(MinLifetimeMs, hot.lifetimeMilliseconds));
        }
        for (const auto &block : hot.blocks) {
            if (m_tables->isLive(Entry{storedKey(block.key), time - block.ageMilliseconds, slot, generation}, time)) {
                m_tables->insert(Entry{storedKey(block.key), time - block.ageMilliseconds, slot, generation}, time);
            }
        }
    }
}

std::size_t CacheIndex::size(base::TimePoint now) const
{
    std::size_t n = 0;
    m_tables->forEachLive(milliseconds32(now), [&n](const Entry &) {
        ++n;
    });
    return n;
}

std::size_t CacheIndex::bytes() const
{
    return m_tables->buckets.size() * sizeof(Bucket) + m_tables->upstreams.size() * sizeof(Upstream) + sizeof(Tables);
}

} // namespace carawaylatch::prefix
