// An LRU cache: a list in order of use, and a hash map from keys to its entries.
#include "standin/enginecache.h"

#include <algorithm>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::standin
{

std::vector<std::uint64_t> blockKeys(std::string_view prompt, base::CacheSalt salt, std::uint32_t blockBytes)
{
    std::vector<std::uint64_t> keys;
    std::uint64_t previous = salt.value;
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        previous = base::hash64(prompt.substr(at, blockBytes), previous);
        keys.push_back(previous);
    }
    return keys;
}

EngineCache::EngineCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::size_t EngineCache::match(std::span<const std::uint64_t> keys, base::CacheSalt salt, base::WeightsVersion weights)
{
    std::size_t n = 0;
    for (const std::uint64_t key : keys) {
        const auto it = m_byKey.find(key);
        if (it == m_byKey.end()) {
            break;
        }
        if (it->second->salt != salt || it->second->weights != weights) {
            ++m_wrongHits;
        }
        m_blocks.splice(m_blocks.begin(), m_blocks, it->second);
        ++n;
    }
    return n;
}

void EngineCache::store(std::span<const std::uint64_t> keys, base::CacheSalt salt, base::WeightsVersion weights)
{
    for (const std::uint64_t key : keys) {
        if (const auto it = m_byKey.find(key); it != m_byKey.end()) {
            m_blocks.splice(m_blocks.begin(), m_blocks, it->second);
            continue;
        }
        m_blocks.push_front({key, salt, weights});
        m_byKey.emplace(key, m_blocks.begin());
        addEvent(CacheEvent::Op::Stored, key);
        if (m_blocks.size() > m_capacity) {
            const std::uint64_t oldest = m_blocks.back().key;
            m_byKey.erase(oldest);
            m_blocks.pop_back();
            addEvent(CacheEvent::Op::Evicted, oldest);
        }
    }
}

void EngineCache::clear()
{
    for (const auto &it : m_blocks) {
        addEvent(CacheEvent::Op::Evicted, it.key);
    }
    m_blocks.clear();
    m_byKey.clear();
}

std::size_t EngineCache::size() const
{
    return m_blocks.size();
}

std::size_t EngineCache::capacity() const
{
    return m_capacity;
}

std::uint64_t EngineCache::wrongHits() const
{
    return m_wrongHits;
}

std::uint64_t EngineCache::lastSequence() const
{
    return m_lastSequence;
}

std::vector<CacheEvent> EngineCache::eventsAfter(std::uint64_t sequence, std::size_t limit) const
{
    std::vector<CacheEvent> events;
    auto it = std::upper_bound(m_events.begin(), m_events.end(), sequence, [](std::uint64_t value, const CacheEvent &event) {
        return value < event.sequence;
    });
    for (; it != m_events.end() && events.size() < limit; ++it) {
        events.push_back(*it);
    }
    return events;
}

void EngineCache::addEvent(CacheEvent::Op op, std::uint64_t key)
{
    m_events.push_back({++m_lastSequence, op, key});
    if (m_events.size() > MaxEvents) {
        m_events.pop_front();
    }
}

} // namespace carawaylatch::standin
