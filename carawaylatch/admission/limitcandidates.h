// The routers of the fleet, and which of them may coordinate each group of customers:
// the first few in the group's rendezvous order. Routers with equal lists agree on it.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "carawaylatch/admission/limitmessages.h"

namespace carawaylatch::admission
{

[[nodiscard]] constexpr GroupMask groupBit(std::uint32_t group)
{
    return GroupMask{1} << group;
}
[[nodiscard]] constexpr bool hasGroup(GroupMask groups, std::uint32_t group)
{
    return (groups & groupBit(group)) != 0;
}

struct LimitCandidates
{
    std::vector<RouterKey> routers; // sorted, without repetitions
    std::uint32_t count = 1; // of routers; at least those listed
    std::array<std::vector<RouterKey>, LimitGroups> candidates; // the best first

    LimitCandidates() = default;
    LimitCandidates(std::span<const RouterKey> listed, std::uint32_t count, std::size_t candidatesPerGroup);

    [[nodiscard]] bool lists(RouterKey router) const;
    [[nodiscard]] bool isCandidate(RouterKey router, std::uint32_t group) const;
    // The groups of which the router is a candidate.
    [[nodiscard]] GroupMask groupsOf(RouterKey router) const;
};

} // namespace carawaylatch::admission
