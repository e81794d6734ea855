// Highest-random-weight hashing (Thaler and Ravishankar 1998) for pools of today's
// size; for large pools multi-probe consistent hashing (Appleton and O'Reilly
// 2015): of several probes the one that lands closest before an upstream wins,
// which evens out the arcs of a ring with one point for each upstream.
#include "carawaylatch/routing/rendezvous.h"

#include <algorithm>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::routing
{

namespace
{

constexpr std::uint64_t ProbesPerHome = 5;
constexpr std::uint64_t MaxProbes = 1000; // ends the search where few distinct upstreams remain

// Keeps the first n of the set in the key's order.
void narrow(const upstreams::UpstreamView &view, std::uint64_t key, std::size_t n, std::vector<std::uint32_t> &set)
{
    const std::size_t kept = std::min(n, set.size());
    const auto weighsMore = [&](std::uint32_t left, std::uint32_t right) {
        return base::combineHashes(key, view.upstreams[left].nodeHash) > base::combineHashes(key, view.upstreams[right].nodeHash);
    };
    std::partial_sort(set.begin(), set.begin() + static_cast<std::ptrdiff_t>(kept), set.end(), weighsMore);
    set.resize(kept);
}

// Returns the eligible upstream that follows a point of the ring.
std::size_t successor(const upstreams::UpstreamView &view, const upstreams::PoolView &pool, std::uint64_t point)
{
    const auto it = std::lower_bound(pool.eligible.begin(), pool.eligible.end(), point, [&view](std::uint32_t index, std::uint64_t wanted) {
        return view.upstreams[index].nodeHash < wanted;
    });
    return it == pool.eligible.end() ? 0 : static_cast<std::size_t>(it - pool.eligible.begin());
}

} // namespace

std::vector<std::uint32_t> homeOrder(const upstreams::UpstreamView &view, const upstreams::PoolView &pool, std::uint64_t key, std::size_t n)
{
    if (pool.eligible.size() <= ExactLimit) {
        std::vector<std::uint32_t> set = pool.eligible;
        narrow(view, key, n, set);
        return set;
    }
    std::vector<std::uint32_t> homes;
    const std::size_t wanted = std::min(n, ExactLimit);
    for (std::uint64_t probe = 0; homes.size() < wanted && probe < MaxProbes; probe += ProbesPerHome) {
        std::uint32_t best = 0;
        std::uint64_t shortest = UINT64_MAX;
        for (std::uint64_t i = 0; i < ProbesPerHome; ++i) {
            const std::uint64_t point = base::combineHashes(key, probe + i);
            const std::uint32_t index = pool.eligible[successor(view, pool, point)];
            const std::uint64_t distance = view.upstreams[index].nodeHash - point;
            if (distance < shortest) {
                shortest = distance;
                best = index;
            }
        }
        if (std::find(homes.begin(), homes.end(), best) == homes.end()) {
            homes.push_back(best);
        }
    }
    return homes;
}

std::vector<std::uint32_t> homeSet(const upstreams::UpstreamView &view, const upstreams::PoolView &pool, const prefix::HomePath &path)
{
    if (path.size == 0 || pool.eligible.empty()) {
        return {};
    }
    std::vector<std::uint32_t> set = homeOrder(view, pool, path.levels[0].key, path.levels[0].replicas);
    for (std::size_t i = 1; i < path.size && set.size() > 1; ++i) {
        narrow(view, path.levels[i].key, path.levels[i].replicas, set);
    }
    return set;
}

} // namespace carawaylatch::routing
