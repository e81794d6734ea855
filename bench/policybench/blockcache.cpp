// Least-recently-used cache: a list in order of use and a map into it.
#include "bench/policybench/blockcache.h"

namespace carawaylatch::bench
{

BlockCache::BlockCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::uint32_t BlockCache::cachedPrefixBlocks(std::span<const std::uint64_t> chain) const
{
    std::uint32_t n = 0;
    while (n < chain.size() && m_positions.contains(chain[n])) {
        ++n;
    }
    return n;
}

void BlockCache::touch(std::span<const std::uint64_t> chain)
{
    for (std::size_t i = chain.size(); i-- > 0;) {
        const auto it = m_positions.find(chain[i]);
        if (it != m_positions.end()) {
            m_blocks.splice(m_blocks.begin(), m_blocks, it->second);
        }
    }
}

BlockCache::Changes BlockCache::store(std::span<const std::uint64_t> chain)
{
    Changes changes;
    for (std::size_t i = chain.size(); i-- > 0;) {
        if (!m_positions.contains(chain[i])) {
            m_blocks.push_front(chain[i]);
            m_positions[chain[i]] = m_blocks.begin();
            changes.stored.push_back(chain[i]);
        }
    }
    touch(chain);
    while (m_blocks.size() > m_capacity) {
        changes.evicted.push_back(m_blocks.back());
        m_positions.erase(m_blocks.back());
        m_blocks.pop_back();
    }
    return changes;
}

std::size_t BlockCache::size() const
{
    return m_blocks.size();
}

} // namespace carawaylatch::bench
