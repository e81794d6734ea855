// A cache of blocks with least-recently-used eviction, the end of a chain before
// its start.
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

    // Returns how many leading blocks of the chain are held.
    [[nodiscard]] std::uint32_t cachedPrefixBlocks(std::span<const std::uint64_t> chain) const;
    // Marks held blocks as used.
    void touch(std::span<const std::uint64_t> chain);
    // Stores and touches a chain.
    [[nodiscard]] Changes store(std::span<const std::uint64_t> chain);
    [[nodiscard]] std::size_t size() const;

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_blocks; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

} // namespace carawaylatch::bench
