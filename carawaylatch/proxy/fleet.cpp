// Lookups in a route table. Tables hold tens of routes, for which a linear scan is as fast as an index.
#include "carawaylatch/proxy/fleet.h"

#include <algorithm>

namespace carawaylatch::proxy
{

std::string_view callKindName(CallKind kind)
{
    switch (kind) {
    case CallKind::Idempotent:
        return "idempotent";
    case CallKind::AtMostOnce:
        return "at_most_once";
    case CallKind::Stream:
        return "stream";
    }
    return "";
}

const Route *RouteTable::match(std::string_view host, std::string_view target) const
{
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    const Route *best = nullptr;
    for (const Route &route : routes) {
        const bool isMatch = route.host == host && path.starts_with(route.pathPrefix);
        if (isMatch && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

void WeightsTarget::announce(base::WeightsVersion newest, base::TimePoint since)
{
    version = newest;
    announcements.push_back({newest, since});
    if (announcements.size() > MaxAnnouncements) {
        announcements.erase(announcements.begin());
    }
}

base::WeightsVersion WeightsTarget::oldestAllowed(base::TimePoint now, base::Duration limit) const
{
    base::WeightsVersion oldest;
    for (const Announcement &announcement : announcements) {
        if (now - announcement.since >= limit) {
            oldest = std::max(oldest, announcement.version);
        }
    }
    return oldest;
}

std::optional<base::TimePoint> WeightsTarget::supersededAt(base::WeightsVersion weights) const
{
    const auto it = std::find_if(announcements.begin(), announcements.end(), [weights](const Announcement &announcement) {
        return announcement.version > weights;
    });
    return it == announcements.end() ? std::nullopt : std::optional(it->since);
}

const Pool *RouteTable::pool(const base::PoolName &name) const
{
    const auto it = std::find_if(pools.begin(), pools.end(), [&name](const Pool &pool) {
        return pool.name == name;
    });
    return it == pools.end() ? nullptr : &*it;
}

} // namespace carawaylatch::proxy
