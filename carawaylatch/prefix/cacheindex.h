// Who caches what: a concurrent index of blocks and their holders, bounded in
// bytes, with 16 bytes for each (block, upstream).
//
// Knowledge comes from four sources, the most trusted first: cached-token counts
// in answers, the router's own placements, the engines' cache events, peers' hot
// placements. Entries belong to one incarnation; a new one voids them at once.
// Entries age out after the time in which the upstream was seen to evict.
//
// Traffic threads call the record and find functions, the control thread the
// others; all are safe together. When a bucket is full the entry that was touched
// longest ago is dropped; of one block at most MaxHoldersPerBlock holders are kept.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/prefix/hotstate.h"
#include "carawaylatch/upstreams/slot.h"

namespace carawaylatch::prefix
{

struct CacheIndexOptions
{
    std::size_t maxBytes = 64U << 20U; // of the table of entries; rounded down to a power of two
    std::size_t maxUpstreams = upstreams::MaxSlots;
    base::Duration initialLifetime = base::seconds{30}; // until evictions were measured
};

enum class CacheOperation {
    Stored,
    Evicted,
};

struct CacheEvent
{
    std::uint64_t sequence = 0;
    CacheOperation operation = CacheOperation::Stored;
    std::uint64_t block = 0;
};

// An upstream's answer to GET /v1/cache/events.
struct CacheEvents
{
    base::Incarnation incarnation;
    std::uint64_t next = 0; // the sequence number to ask for next
    std::vector<CacheEvent> events;
};

// An upstream that is believed to hold the start of a chain.
struct Holder
{
    upstreams::Slot slot;
    std::uint32_t blocks = 0; // leading blocks of the chain
};

// What one answer said about the cache.
struct CacheAnswer
{
    upstreams::Slot slot;
    base::Incarnation incarnation;
    std::span<const std::uint64_t> chain;
    std::uint32_t predictedBlocks = 0;
    std::uint32_t cachedBlocks = 0; // by the engine's count
};

class CacheIndex
{
public:
    static constexpr std::size_t MaxHoldersPerBlock = 32;

    explicit CacheIndex(const CacheIndexOptions &options = {});
    ~CacheIndex();
    CacheIndex(const CacheIndex &) = delete;
    CacheIndex &operator=(const CacheIndex &) = delete;

    // Begins a life of an upstream: what was known of the slot is void.
    void adopt(upstreams::Slot slot, const base::UpstreamId &id, base::Incarnation incarnation);
    // Voids all that is known of the slot, in constant time.
    void invalidate(upstreams::Slot slot);

    // The chain was sent to the upstream and will be cached there.
    void recordPlacement(upstreams::Slot slot, base::Incarnation incarnation, std::span<const std::uint64_t> chain, base::TimePoint now);
    // The upstream said how much of a chain it had cached.
    void recordAnswer(const CacheAnswer &answer, base::TimePoint now);
    // Events of the upstream; returns how many its sequence numbers show as lost.
    std::uint64_t applyEvents(upstreams::Slot slot, const CacheEvents &events, base::TimePoint now);
    // Returns the sequence number to ask the upstream for.
    [[nodiscard]] std::uint64_t nextEvent(upstreams::Slot slot) const;

    // Fills `holders` with the upstreams that hold the start of the chain, at most
    // one row each, ordered by slot.
    void findHolders(std::span<const std::uint64_t> chain, base::TimePoint now, std::vector<Holder> &holders) const;
    // Returns how many leading blocks of the chain one upstream holds.
    [[nodiscard]] std::uint32_t heldBlocks(upstreams::Slot slot, std::span<const std::uint64_t> chain, base::TimePoint now) const;
    // Share, in [0, 1], of predicted blocks that answers of the upstream confirm.
    [[nodiscard]] double confidence(upstreams::Slot slot) const;
    // How much more prompt work answers of the upstream turned out to need than was
    // predicted when they were placed: 1 where predictions hold, at most MaxPrefillCorrection.
    [[nodiscard]] double prefillCorrection(upstreams::Slot slot) const;
    static constexpr double MaxPrefillCorrection = 3;
    // The time after which the upstream evicts a block that nobody uses.
    [[nodiscard]] base::Duration lifetime(upstreams::Slot slot) const;

    // Returns the entries touched last, at most `maxEntries`.
    [[nodiscard]] HotPlacements exportHot(std::size_t maxEntries, base::TimePoint now) const;
    // Takes a peer's entries for lives that this router knows too; others are ignored.
    void importHot(const HotPlacements &placements, base::TimePoint now);

    // Counts the live entries of the whole table.
    [[nodiscard]] std::size_t size(base::TimePoint now) const;
    // Bytes that the table of entries and the table of upstreams occupy.
    [[nodiscard]] std::size_t bytes() const;

private:
    struct Tables;
    std::unique_ptr<Tables> m_tables;
};

} // namespace carawaylatch::prefix
