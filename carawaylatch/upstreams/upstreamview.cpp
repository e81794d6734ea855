// Lookups in the snapshot of upstreams.
#include "carawaylatch/upstreams/upstreamview.h"

#include <algorithm>
#include <bit>
#include <numeric>

namespace carawaylatch::upstreams
{

std::string_view upstreamStateName(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Unknown:
        return "unknown";
    case UpstreamState::Live:
        return "live";
    case UpstreamState::Loading:
        return "loading";
    case UpstreamState::Suspect:
        return "suspect";
    case UpstreamState::Dead:
        return "dead";
    case UpstreamState::Ejected:
        return "ejected";
    case UpstreamState::Leaving:
        return "leaving";
    }
    return "unknown";
}

void PoolView::indexEligible(const std::vector<UpstreamStatus> &upstreams)
{
    std::sort(eligible.begin(), eligible.end(), [&upstreams](std::uint32_t left, std::uint32_t right) {
        return upstreams[left].nodeHash < upstreams[right].nodeHash;
    });
    const std::size_t groups = std::bit_floor(std::max<std::size_t>(eligible.size() / HomeGroupSize, 1));
    const auto bits = static_cast<unsigned>(std::countr_zero(groups));
    groupEnds.assign(groups, 0);
    isEligible.assign(upstreams.size(), false);
    for (const std::uint32_t it : eligible) {
        isEligible[it] = true;
        ++groupEnds[bits == 0 ? 0 : upstreams[it].nodeHash >> (64U - bits)];
    }
    std::partial_sum(groupEnds.begin(), groupEnds.end(), groupEnds.begin());
}

const PoolView *UpstreamView::pool(const base::PoolName &name) const
{
    const auto it = std::lower_bound(pools.begin(), pools.end(), name, [](const PoolView &pool, const base::PoolName &wanted) {
        return pool.name < wanted;
    });
    return it != pools.end() && it->name == name ? &*it : nullptr;
}

const UpstreamStatus *UpstreamView::find(const base::UpstreamId &id) const
{
    const auto it = std::lower_bound(upstreams.begin(), upstreams.end(), id, [](const UpstreamStatus &status, const base::UpstreamId &wanted) {
        return status.id < wanted;
    });
    return it != upstreams.end() && it->id == id ? &*it : nullptr;
}

const UpstreamStatus *UpstreamView::find(Slot slot) const
{
    if (slot.index >= bySlot.size() || bySlot[slot.index] == NoUpstream) {
        return nullptr;
    }
    return &upstreams[bySlot[slot.index]];
}

bool UpstreamView::isUsable(base::TimePoint now) const
{
    return now >= usableFrom && now - builtAt <= MaxViewAge;
}

bool UpstreamView::maySend(const base::UpstreamId &id, base::Incarnation incarnation, base::TimePoint now) const
{
    const UpstreamStatus *status = find(id);
    return status != nullptr && isUsable(now) && status->incarnation == incarnation && status->acceptsRequests(now);
}

} // namespace carawaylatch::upstreams
