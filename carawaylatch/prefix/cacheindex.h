// A concurrent index of cached blocks and the upstreams that hold them, bounded in
// bytes, with 16 bytes per (block, upstream).
//
// Entries come from four sources, the most reliable first: cached-token counts in
// responses, the router's own placements, the engines' cache events, and hot
// placements of peers. Entries belong to one incarnation of an upstream; a new
// incarnation invalidates them at once. Entries expire after the time in which the
// upstream was observed to evict blocks.
//
// Traffic threads call the record and find functions, the control thread the others;
// all are safe to call concurrently. If a bucket is full, the least recently touched
// entry is replaced; at most MaxHoldersPerBlock holders are kept per block.
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
    base::Duration initialLifetime = base::seconds{30}; // until evictions have been observed
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

// Cache usage that one response reported.
struct CacheAnswer
{
    upstreams::Slot slot;
    base::Incarnation incarnation;
    std::span<const std::uint64_t> chain;
    std::uint32_t predictedBlocks = 0;
    std::uint32_t cachedBlocks = 0; // as counted by the engine
};

class CacheIndex
{
public:
    static constexpr std::size_t MaxHoldersPerBlock = 32;

    explicit CacheIndex(const CacheIndexOptions &options = {});
    ~CacheIndex();
    CacheIndex(const CacheIndex &) = delete;
    CacheIndex &operator=(const CacheIndex &) = delete;

    // Starts an incarnation of an upstream; invalidates earlier entries of the slot.
    void adopt(upstreams::Slot slot, const base::UpstreamId &id, base::Incarnation incarnation);
    // Invalidates all entries of the slot, in constant time.
    void invalidate(upstreams::Slot slot);

    // Records that the chain was sent to the upstream and will be cached there.
    void recordPlacement(upstreams::Slot slot, base::Incarnation incarnation, std::span<const std::uint64_t> chain, base::TimePoint now);
    // Records how much of a chain the upstream reported as cached.
    void recordAnswer(const CacheAnswer &answer, base::TimePoint now);
    // Applies cache events; returns the number of events lost, by gaps in their sequence numbers.
    std::uint64_t applyEvents(upstreams::Slot slot, const CacheEvents &events, base::TimePoint now);
    // Returns the sequence number to ask the upstream for.
    [[nodiscard]] std::uint64_t nextEvent(upstreams::Slot slot) const;

    // Sets `holders` to the upstreams that hold the start of the chain, each at most
    // once, ordered by slot.
    void findHolders(std::span<const std::uint64_t> chain, base::TimePoint now, std::vector<Holder> &holders) const;
    // Returns how many leading blocks of the chain the upstream holds.
    [[nodiscard]] std::uint32_t heldBlocks(upstreams::Slot slot, std::span<const std::uint64_t> chain, base::TimePoint now) const;
    // Returns the fraction of predicted blocks, in [0, 1], that the upstream's responses confirmed.
    [[nodiscard]] double confidence(upstreams::Slot slot) const;
    // Returns the ratio of actual to predicted prompt work of the upstream's responses:
    // 1 if predictions hold, at most MaxPrefillCorrection.
    [[nodiscard]] double prefillCorrection(upstreams::Slot slot) const;
    static constexpr double MaxPrefillCorrection = 3;
    // Returns the time after which the upstream evicts an unused block.
    [[nodiscard]] base::Duration lifetime(upstreams::Slot slot) const;

    // Returns the most recently touched entries, at most `maxEntries`.
    [[nodiscard]] HotPlacements exportHot(std::size_t maxEntries, base::TimePoint now) const;
    // Adds a peer's entries for incarnations that this router knows; others are ignored.
    void importHot(const HotPlacements &placements, base::TimePoint now);

    // Returns the number of valid entries in the whole table.
    [[nodiscard]] std::size_t size(base::TimePoint now) const;
    // Returns the memory used by the tables of entries and of upstreams, in bytes.
    [[nodiscard]] std::size_t bytes() const;

private:
    struct Tables;
    std::unique_ptr<Tables> m_tables;
};

} // namespace carawaylatch::prefix
