// This router's own requests at each upstream, counted by traffic threads.
//
// Load reports arrive late. Requests that this router sent after a report's figures
// were true are counted here without delay, so a routing decision adds them to the
// report; the same counters tell how much of this router's work still waits for its
// first token.
//
// The table also holds an adaptive limit for each upstream: how many requests this
// router may have there at once. It grows while the upstream answers without a queue
// and shrinks when the upstream reports waiting requests, so that requests are
// queued in the router, which orders them by priority and by customers' shares.
//
// All counters are atomic; all functions are thread-safe.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/upstreams/loadreport.h"
#include "carawaylatch/upstreams/slot.h"

namespace carawaylatch::upstreams
{

struct InflightCounts
{
    std::uint32_t requests = 0; // sent and not finished
    std::uint64_t pendingPrefillTokens = 0; // prompt tokens to compute, of requests without a first token
    std::uint64_t pendingBatchPrefillTokens = 0; // the part of these in traffic class batch
    std::uint64_t prefillTokensSince = 0; // prompt tokens to compute, of requests sent since the given time
    std::uint32_t requestsSince = 0;
};

class InflightTable
{
public:
    // Counts one request as in flight for as long as the ticket exists.
    class Ticket
    {
    public:
        Ticket() = default;
        Ticket(InflightTable *table, Slot slot, std::uint32_t tokens, base::TrafficClass trafficClass);
        Ticket(Ticket &&other) noexcept;
        Ticket &operator=(Ticket &&other) noexcept;
        Ticket(const Ticket &) = delete;
        Ticket &operator=(const Ticket &) = delete;
        ~Ticket();
        // Called when the first token has arrived, so the prompt is computed.
        void onFirstToken();
        void finish();

    private:
        InflightTable *m_table = nullptr;
        Slot m_slot;
        std::uint32_t m_tokens = 0; // zero after the first token
        base::TrafficClass m_trafficClass = base::TrafficClass::Interactive;
    };

    explicit InflightTable(std::size_t maxUpstreams = MaxSlots);

    // Counts a request sent now, for which the upstream has to compute `tokens` prompt tokens.
    [[nodiscard]] Ticket begin(Slot slot, std::uint32_t tokens, base::TimePoint now, base::TrafficClass trafficClass = base::TrafficClass::Interactive);
    // Returns the counts; `since` reaches back at most HistorySpan.
    [[nodiscard]] InflightCounts counts(Slot slot, base::TimePoint since, base::TimePoint now) const;
    // Adapts the limit to a report. Called on the control thread only.
    void onLoadReport(Slot slot, const LoadReport &report);
    // Resets the limit for a new incarnation of the upstream; open tickets stay counted.
    void onIncarnation(Slot slot);
    // Returns how many more requests this router may send now.
    [[nodiscard]] std::uint32_t remainingCapacity(Slot slot) const;
    [[nodiscard]] std::uint32_t limit(Slot slot) const;

private:
    static constexpr std::size_t HistoryBuckets = 64;
    static constexpr base::Duration BucketWidth = base::milliseconds{50};

    struct UpstreamCounters
    {
        std::atomic<std::uint32_t> requests{0};
        std::atomic<std::uint32_t> limit{0};
        std::atomic<std::uint64_t> pendingPrefillTokens{0};
        std::atomic<std::uint64_t> pendingBatchPrefillTokens{0};
        // Sums over one BucketWidth each. A bucket's period and sums are packed into one
        // word, so that it is never read half updated.
        std::array<std::atomic<std::uint64_t>, HistoryBuckets> history{};
    };

    std::size_t m_size;
    std::unique_ptr<UpstreamCounters[]> m_counters;

public:
    static constexpr base::Duration HistorySpan = BucketWidth * (HistoryBuckets - 1);
};

} // namespace carawaylatch::upstreams
