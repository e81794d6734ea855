// A block cache with least-recently-used eviction. Blocks at the end of a chain are
// evicted before those at its start.
#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace carawaylatch::bench
{

class BlockCache
{
public:
    struct Changes
    {
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> evicted;
    };

    explicit BlockCache(std::size_t capacity);

    // Returns the number of leading blocks of the chain that are cached.
    [[nodiscard]] std::uint32_t cachedPrefixBlocks(std::span<const std::uint64_t> chain) const;
    // Marks the cached blocks of the chain as used.
    void touch(std::span<const std::uint64_t> chain);
    // Stores the chain and marks it as used. Returns the blocks that were added and evicted.
    [[nodiscard]] Changes store(std::span<const std::uint64_t> chain);
    [[nodiscard]] std::size_t size() const;

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_blocks; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

} // namespace carawaylatch::bench
