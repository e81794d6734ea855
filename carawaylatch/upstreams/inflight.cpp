// Counters of own requests, and the adaptive limit.
//
// History: a ring of buckets of BucketWidth. A bucket is one 64-bit word that packs
// the bucket's period, its requests and its tokens, updated by compare-and-swap, so
// that a reader never sees the sums of one period under the number of another. The
// period number wraps around after 9 days; a bucket not written for exactly that
// long would be counted once by mistake.
//
// Limit: additive increase, multiplicative decrease. If a report shows waiting
// requests, the queue is in the upstream and the limit decreases. If none wait and
// this router uses at least three quarters of its limit, the limit increases by one.
#include "carawaylatch/upstreams/inflight.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::upstreams
{

namespace
{

constexpr std::uint32_t InitialLimit = 32; // requests of one router at one upstream
constexpr std::uint32_t MinLimit = 2;
constexpr std::uint32_t MaxLimit = 512;

constexpr unsigned TokenBits = 30;
constexpr unsigned RequestBits = 10;
constexpr unsigned PeriodBits = 64 - TokenBits - RequestBits;

struct Bucket
{
    std::uint64_t period = 0;
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
};

constexpr std::uint64_t mask(unsigned bits)
{
    return (std::uint64_t{1} << bits) - 1;
}

std::uint64_t pack(const Bucket &bucket)
{
    return (bucket.period << (RequestBits + TokenBits)) | (std::min(bucket.requests, mask(RequestBits)) << TokenBits)
           | std::min(bucket.tokens, mask(TokenBits));
}

Bucket unpack(std::uint64_t word)
{
    return Bucket{word >> (RequestBits + TokenBits), (word >> TokenBits) & mask(RequestBits), word & mask(TokenBits)};
}

std::uint64_t periodAt(base::TimePoint time, base::Duration width)
{
    return static_cast<std::uint64_t>(time.time_since_epoch() / width) & mask(PeriodBits);
}

} // namespace

InflightTable::Ticket::Ticket(InflightTable *table, Slot slot, std::uint32_t tokens, base::TrafficClass trafficClass)
    : m_table(table)
    , m_slot(slot)
    , m_tokens(tokens)
    , m_trafficClass(trafficClass)
{
}

InflightTable::Ticket::Ticket(Ticket &&other) noexcept
    : m_table(std::exchange(other.m_table, nullptr))
    , m_slot(other.m_slot)
    , m_tokens(other.m_tokens)
    , m_trafficClass(other.m_trafficClass)
{
}

InflightTable::Ticket &InflightTable::Ticket::operator=(Ticket &&other) noexcept
{
    if (this != &other) {
        finish();
        m_table = std::exchange(other.m_table, nullptr);
        m_slot = other.m_slot;
        m_tokens = other.m_tokens;
        m_trafficClass = other.m_trafficClass;
    }
    return *this;
}

InflightTable::Ticket::~Ticket()
{
    finish();
}

void InflightTable::Ticket::onFirstToken()
{
    if (m_table != nullptr) {
        UpstreamCounters &counters = m_table->m_counters[m_slot.index];
        counters.pendingPrefillTokens.fetch_sub(m_tokens, std::memory_order_relaxed);
        if (m_trafficClass == base::TrafficClass::Batch) {
            counters.pendingBatchPrefillTokens.fetch_sub(m_tokens, std::memory_order_relaxed);
        }
        m_tokens = 0;
    }
}

void InflightTable::Ticket::finish()
{
    if (m_table != nullptr) {
        onFirstToken();
        m_table->m_counters[m_slot.index].requests.fetch_sub(1, std::memory_order_relaxed);
        m_table = nullptr;
    }
}

InflightTable::InflightTable(std::size_t maxUpstreams)
    : m_size(std::min(maxUpstreams, MaxSlots))
    , m_counters(std::make_unique<UpstreamCounters[]>(m_size))
{
    for (std::size_t i = 0; i < m_size; ++i) {
        m_counters[i].limit.store(InitialLimit, std::memory_order_relaxed);
    }
}

InflightTable::Ticket InflightTable::begin(Slot slot, std::uint32_t tokens, base::TimePoint now, base::TrafficClass trafficClass)
{
    if (slot.index >= m_size) {
        return {};
    }
    UpstreamCounters &counters = m_counters[slot.index];
    counters.requests.fetch_add(1, std::memory_order_relaxed);
    counters.pendingPrefillTokens.fetch_add(tokens, std::memory_order_relaxed);
    if (trafficClass == base::TrafficClass::Batch) {
        counters.pendingBatchPrefillTokens.fetch_add(tokens, std::memory_order_relaxed);
    }
    const std::uint64_t period = periodAt(now, BucketWidth);
    auto &word = counters.history[period % HistoryBuckets];
    std::uint64_t old = word.load(std::memory_order_relaxed);
    std::uint64_t renewed = 0;
    do {
        Bucket bucket = unpack(old);
        if (bucket.period != period) {
            bucket = Bucket{period, 0, 0};
        }
        ++bucket.requests;
        bucket.tokens += tokens;
        renewed = pack(bucket);
    } while (!word.compare_exchange_weak(old, renewed, std::memory_order_relaxed));
    return {this, slot, tokens, trafficClass};
}

InflightCounts InflightTable::counts(Slot slot, base::TimePoint since, base::TimePoint now) const
{
    InflightCounts counts;
    if (slot.index >= m_size) {
        return counts;
    }
    const UpstreamCounters &counters = m_counters[slot.index];
    counts.requests = counters.requests.load(std::memory_order_relaxed);
    counts.pendingBatchPrefillTokens = counters.pendingBatchPrefillTokens.load(std::memory_order_relaxed);
    counts.pendingPrefillTokens = counters.pendingPrefillTokens.load(std::memory_order_relaxed);
    // A bucket that began before `since` is left out: counting up to one bucket too few
    // is better than counting work that the report already includes.
    const base::TimePoint earliest = std::max(since + BucketWidth - base::Duration{1}, now - HistorySpan);
    for (std::uint64_t period = periodAt(earliest, BucketWidth), last = periodAt(now, BucketWidth); period <= last; ++period) {
        const Bucket bucket = unpack(counters.history[period % HistoryBuckets].load(std::memory_order_relaxed));
        if (bucket.period == period) {
            counts.prefillTokensSince += bucket.tokens;
            counts.requestsSince += static_cast<std::uint32_t>(bucket.requests);
        }
    }
    return counts;
}

void InflightTable::onLoadReport(Slot slot, const LoadReport &report)
{
    if (slot.index >= m_size) {
        return;
    }
    UpstreamCounters &counters = m_counters[slot.index];
    const std::uint32_t limit = counters.limit.load(std::memory_order_relaxed);
    if (report.waiting > 0) {
        counters.limit.store(std::max(MinLimit, limit - std::max(1U, limit / 10)), std::memory_order_relaxed);
    } else if (counters.requests.load(std::memory_order_relaxed) * 4 >= limit * 3) {
        counters.limit.store(std::min(MaxLimit, limit + 1), std::memory_order_relaxed);
    }
}

void InflightTable::onIncarnation(Slot slot)
{
    if (slot.index < m_size) {
        m_counters[slot.index].limit.store(InitialLimit, std::memory_order_relaxed);
    }
}

std::uint32_t InflightTable::remainingCapacity(Slot slot) const
{
    if (slot.index >= m_size) {
        return 0;
    }
    const UpstreamCounters &counters = m_counters[slot.index];
    const std::uint32_t used = counters.requests.load(std::memory_order_relaxed);
    const std::uint32_t bound = counters.limit.load(std::memory_order_relaxed);
    return used < bound ? bound - used : 0;
}

std::uint32_t InflightTable::limit(Slot slot) const
{
    return slot.index < m_size ? m_counters[slot.index].limit.load(std::memory_order_relaxed) : 0;
}

} // namespace carawaylatch::upstreams
