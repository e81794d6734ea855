// Lookups in the snapshot of upstreams.
#include "carawaylatch/upstreams/upstreamview.h"

#include <algorithm>

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

bool UpstreamView::mayStart(const base::UpstreamId &id, base::Incarnation incarnation, base::TimePoint now) const
{
    const UpstreamStatus *status = find(id);
    return status != nullptr && isUsable(now) && status->incarnation == incarnation && status->takesWork(now);
}

} // namespace carawaylatch::upstreams
