// The prefix cache of the engine stand-in: an LRU cache of block keys and a
// bounded log of the blocks that were stored and evicted.
//
// Each block records the cache salt and the weights version that it was computed
// with. A hit on a block of another salt or version must never happen; it would
// return another customer's state or a result of old weights. Such hits are
// counted, so that tests can assert that there are none.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::standin
{

// Returns the keys of a prompt's complete blocks (docs/design/wire.md).
[[nodiscard]] std::vector<std::uint64_t> blockKeys(std::string_view prompt, base::CacheSalt salt, std::uint32_t blockBytes);

struct CacheEvent
{
    enum class Op {
        Stored,
        Evicted,
    };
    std::uint64_t sequence = 0;
    Op op = Op::Stored;
    std::uint64_t block = 0;
};

class EngineCache
{
public:
    // Keeps at most `capacity` blocks and the last MaxEvents events.
    explicit EngineCache(std::size_t capacity);

    static constexpr std::size_t MaxEvents = 20'000;

    // Returns the number of leading keys that are cached and marks them as used.
    // Counts hits on blocks of another salt or weights version.
    [[nodiscard]] std::size_t match(std::span<const std::uint64_t> keys, base::CacheSalt salt, base::WeightsVersion weights);
    void store(std::span<const std::uint64_t> keys, base::CacheSalt salt, base::WeightsVersion weights);
    void clear();

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t capacity() const;
    // Returns the number of hits on blocks of another salt or weights version.
    [[nodiscard]] std::uint64_t wrongHits() const;
    [[nodiscard]] std::uint64_t lastSequence() const;
    // Returns the events after a sequence number, at most `limit`.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter(std::uint64_t sequence, std::size_t limit) const;

private:
    struct Block
    {
        std::uint64_t key = 0;
        base::CacheSalt salt;
        base::WeightsVersion weights;
    };

    void addEvent(CacheEvent::Op op, std::uint64_t key);

    const std::size_t m_capacity;
    std::list<Block> m_blocks; // most recently used first
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_byKey; // same blocks as m_blocks
    std::deque<CacheEvent> m_events; // consecutive sequence numbers
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_wrongHits = 0;
};

} // namespace carawaylatch::standin
