// Placements of a state are kept in order of their last use.
#include "carawaylatch/proxy/prefixplacements.h"

#include <algorithm>

namespace carawaylatch::proxy
{

void PromptPlacements::placed(std::uint64_t promptState, std::uint64_t upstream, base::TimePoint now)
{
    if (m_states.size() >= MaxStates && !m_states.contains(promptState)) {
        m_states.clear();
    }
    auto &placements = m_states[promptState];
    auto it = std::find_if(placements.begin(), placements.end(), [upstream](const Placement &placement) {
        return placement.upstream == upstream;
    });
    if (it == placements.end()) {
        it = placements.end() - 1; // the one not used for longest gives way
        *it = Placement{upstream, now, now};
    }
    it->lastAt = now;
    std::rotate(placements.begin(), it, it + 1);
}

bool PromptPlacements::isPlaced(std::uint64_t promptState, std::uint64_t upstream, base::TimePoint now) const
{
    const auto it = m_states.find(promptState);
    return it != m_states.end() && std::any_of(it->second.begin(), it->second.end(), [upstream, now](const Placement &placement) {
               return placement.upstream == upstream && now - placement.lastAt < KeptTime;
           });
}

bool PromptPlacements::isKnown(std::uint64_t promptState) const
{
    return m_states.contains(promptState);
}

std::optional<std::uint64_t> PromptPlacements::holder(std::uint64_t promptState, base::TimePoint now,
                                                      const std::function<bool(std::uint64_t upstream)> &isUsable) const
{
    const auto it = m_states.find(promptState);
    if (it == m_states.end()) {
        return std::nullopt;
    }
    for (const Placement &placement : it->second) {
        const bool isHeld = placement.upstream != 0 && now - placement.firstAt >= ReadingTime && now - placement.lastAt < KeptTime;
        if (isHeld && isUsable(placement.upstream)) {
            return placement.upstream;
        }
    }
    return std::nullopt;
}

} // namespace carawaylatch::proxy
