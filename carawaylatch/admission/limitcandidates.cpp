// Rendezvous order of the routers for each group.
#include "carawaylatch/admission/limitcandidates.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::admission
{

LimitCandidates::LimitCandidates(std::span<const RouterKey> listed, std::uint32_t known, std::size_t candidatesPerGroup)
    : routers(listed.begin(), listed.end())
{
    std::sort(routers.begin(), routers.end());
    routers.erase(std::unique(routers.begin(), routers.end()), routers.end());
    count = std::max({known, static_cast<std::uint32_t>(routers.size()), 1U});
    for (std::uint32_t i = 0; i < LimitGroups; ++i) {
        std::vector<std::pair<std::uint64_t, RouterKey>> weights;
        weights.reserve(routers.size());
        for (const RouterKey it : routers) {
            weights.emplace_back(base::combineHashes(i, it), it);
        }
        const std::size_t n = std::min(weights.size(), candidatesPerGroup);
        std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(n), weights.end(), std::greater<>());
        for (std::size_t j = 0; j < n; ++j) {
            candidates[i].push_back(weights[j].second);
        }
    }
}

bool LimitCandidates::lists(RouterKey router) const
{
    return std::binary_search(routers.begin(), routers.end(), router);
}

bool LimitCandidates::isCandidate(RouterKey router, std::uint32_t group) const
{
    const auto &order = candidates[group];
    return std::find(order.begin(), order.end(), router) != order.end();
}

GroupMask LimitCandidates::groupsOf(RouterKey router) const
{
    GroupMask groups = 0;
    for (std::uint32_t i = 0; i < LimitGroups; ++i) {
        groups |= isCandidate(router, i) ? groupBit(i) : 0;
    }
    return groups;
}

} // namespace carawaylatch::admission
