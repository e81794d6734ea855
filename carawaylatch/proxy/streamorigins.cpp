// Records of streams, and the admitted software of each pool.
#include "carawaylatch/proxy/streamorigins.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::proxy
{

void StreamOrigins::adopt(const FleetView &view)
{
    std::map<base::PoolName, SoftwareSet> listed;
    for (const Upstream &upstream : view.upstreams) {
        listed[upstream.pool].insert(upstream.software);
    }
    for (const auto &[pool, software] : view.software) {
        listed.try_emplace(pool);
    }
    std::erase_if(m_pools, [&listed](const auto &it) {
        return !listed.contains(it.first);
    });
    for (const auto &[pool, versions] : listed) {
        const auto stored = view.software.find(pool);
        PoolState &state = m_pools[pool];
        state.admitted = stored != view.software.end() ? stored->second : SoftwareSet{};
        state.isLimited = !std::includes(state.admitted.begin(), state.admitted.end(), versions.begin(), versions.end());
        SoftwareSet all = state.admitted;
        all.insert(versions.begin(), versions.end());
        const bool hadSeveral = std::exchange(state.hasSeveral, all.size() > 1);
        if (!state.hasSeveral || hadSeveral) {
            continue;
        }
        // Streams that began while there was one version.
        for (const auto &[stream, value] : m_streams) {
            if (value.pool == pool && !value.isFixed) {
                m_due.push_back(stream);
            }
        }
    }
}

void StreamOrigins::record(std::uint64_t stream, const base::PoolName &pool, const base::SoftwareVersion &software, bool isFixed, base::TimePoint now)
{
    removeOutdated(now);
    const auto [it, isNew] = m_streams.try_emplace(stream);
    if (isNew) {
        it->second.order = m_order.insert(m_order.end(), stream);
    } else {
        m_order.splice(m_order.end(), m_order, it->second.order);
    }
    it->second.pool = pool;
    it->second.software = software;
    it->second.sentAt = now;
    it->second.isFixed = isFixed;
    if (m_streams.size() > MaxStreams) {
        removeOldest();
    }
}

void StreamOrigins::onSent(std::uint64_t stream, const base::PoolName &pool, const base::SoftwareVersion &software, base::TimePoint now)
{
    const bool isFixed = findFixed(stream, now) == software;
    record(stream, pool, software, isFixed, now);
    const auto state = m_pools.find(pool);
    if (!isFixed && state != m_pools.end() && state->second.hasSeveral) {
        m_due.push_back(stream);
    }
}

void StreamOrigins::onForwarded(std::uint64_t stream)
{
    const auto it = m_streams.find(stream);
    if (it != m_streams.end() && !it->second.isFixed) {
        remove(stream);
    }
}

void StreamOrigins::onLearned(std::uint64_t stream, const base::PoolName &pool, const base::SoftwareVersion &software, base::TimePoint now)
{
    record(stream, pool, software, true, now);
}

std::optional<base::SoftwareVersion> StreamOrigins::find(std::uint64_t stream, base::TimePoint now) const
{
    const auto it = m_streams.find(stream);
    const bool isKnown = it != m_streams.end() && now - it->second.sentAt < MaxStreamTime;
    return isKnown ? std::optional(it->second.software) : std::nullopt;
}

std::optional<base::SoftwareVersion> StreamOrigins::findFixed(std::uint64_t stream, base::TimePoint now) const
{
    const auto it = m_streams.find(stream);
    return it != m_streams.end() && it->second.isFixed ? find(stream, now) : std::nullopt;
}

std::vector<StreamOrigin> StreamOrigins::takeDue(base::TimePoint now)
{
    removeOutdated(now);
    std::vector<StreamOrigin> out;
    for (const std::uint64_t stream : std::exchange(m_due, {})) {
        const auto it = m_streams.find(stream);
        if (it != m_streams.end() && !it->second.isFixed) {
            it->second.isFixed = true;
            out.push_back({stream, it->second.software});
        }
    }
    return out;
}

const SoftwareSet *StreamOrigins::admittedOnly(const base::PoolName &pool) const
{
    const auto it = m_pools.find(pool);
    return it != m_pools.end() && it->second.isLimited ? &it->second.admitted : nullptr;
}

std::size_t StreamOrigins::size() const
{
    return m_streams.size();
}

void StreamOrigins::removeOutdated(base::TimePoint now)
{
    while (!m_order.empty() && now - m_streams.at(m_order.front()).sentAt >= MaxStreamTime) {
        removeOldest();
    }
}

void StreamOrigins::removeOldest()
{
    remove(m_order.front());
}

void StreamOrigins::remove(std::uint64_t stream)
{
    const auto it = m_streams.find(stream);
    m_order.erase(it->second.order);
    m_streams.erase(it);
}

} // namespace carawaylatch::proxy
