// The placements of a key are kept in order of last use.
#include "carawaylatch/proxy/prefixplacements.h"

#include <algorithm>

namespace carawaylatch::proxy
{

void PrefixPlacements::onPromptSent(std::uint64_t cacheKey, std::uint64_t upstream, base::TimePoint now)
{
    if (m_placements.size() >= MaxKeys && !m_placements.contains(cacheKey)) {
        m_placements.clear();
    }
    auto &placements = m_placements[cacheKey];
    auto it = std::find_if(placements.begin(), placements.end(), [upstream](const Placement &placement) {
        return placement.upstream == upstream;
    });
    if (it == placements.end()) {
        it = placements.end() - 1; // replaces the least recently used one
        *it = Placement{upstream, now, now};
    }
    it->lastAt = now;
    std::rotate(placements.begin(), it, it + 1);
}

bool PrefixPlacements::isLikelyCached(std::uint64_t cacheKey, std::uint64_t upstream, base::TimePoint now) const
{
    const auto it = m_placements.find(cacheKey);
    return it != m_placements.end() && std::any_of(it->second.begin(), it->second.end(), [upstream, now](const Placement &placement) {
               return placement.upstream == upstream && now - placement.lastAt < RetentionTime;
           });
}

bool PrefixPlacements::contains(std::uint64_t cacheKey) const
{
    return m_placements.contains(cacheKey);
}

std::optional<std::uint64_t> PrefixPlacements::findHolder(std::uint64_t cacheKey, base::TimePoint now,
                                                          const std::function<bool(std::uint64_t upstream)> &isUsable) const
{
    const auto it = m_placements.find(cacheKey);
    if (it == m_placements.end()) {
        return std::nullopt;
    }
    for (const Placement &placement : it->second) {
        const bool isHeld = placement.upstream != 0 && now - placement.firstAt >= PrefillTime && now - placement.lastAt < RetentionTime;
        if (isHeld && isUsable(placement.upstream)) {
            return placement.upstream;
        }
    }
    return std::nullopt;
}

} // namespace carawaylatch::proxy
