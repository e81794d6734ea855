// Highest-random-weight hashing (Thaler and Ravishankar 1998) in two steps.
//
// Ranking 10,000 upstreams for each request would take most of its time budget, so
// the pool is divided into groups by hash. The key first selects a group by weighted
// rendezvous hashing, with the group's size as the weight, and then ranks that
// group's members. Each upstream gets an equal part of the keys, and adding or
// removing one moves only the keys that its group gains or loses. A pool smaller
// than two groups is one group, and the order is plain rendezvous.
#include "carawaylatch/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::routing
{

namespace
{

struct Ranked
{
    std::uint64_t weight = 0;
    std::uint32_t index = 0;
};

// Reduces the set to its first n members in the key's order.
void keepHighestRanked(const upstreams::UpstreamView &view, std::uint64_t key, std::size_t n, std::vector<std::uint32_t> &set)
{
    std::vector<Ranked> ranked;
    ranked.reserve(set.size());
    for (const std::uint32_t it : set) {
        ranked.push_back(Ranked{base::combineHashes(key, view.upstreams[it].nodeHash), it});
    }
    const std::size_t kept = std::min(n, set.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return left.weight > right.weight;
    });
    set.resize(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        set[i] = ranked[i].index;
    }
}

// Returns the key's group by weighted rendezvous hashing: the maximum of size / -ln(u).
std::size_t chooseGroup(const upstreams::PoolView &pool, std::uint64_t key)
{
    constexpr double Scale = 1.0 / 18446744073709551616.0; // 2^-64
    std::size_t chosen = 0;
    double greatest = -1;
    std::uint32_t begin = 0;
    for (std::size_t i = 0; i < pool.groupEnds.size(); ++i) {
        const double u = (static_cast<double>(base::combineHashes(key, i)) + 0.5) * Scale;
        const double weight = (pool.groupEnds[i] - begin) / -std::log(u);
        if (weight > greatest) {
            greatest = weight;
            chosen = i;
        }
        begin = pool.groupEnds[i];
    }
    return chosen;
}

} // namespace

std::vector<std::uint32_t> homeOrder(const upstreams::UpstreamView &view, const upstreams::PoolView &pool, std::uint64_t key, std::size_t n)
{
    if (pool.eligible.empty()) {
        return {};
    }
    const std::size_t group = pool.groupEnds.size() == 1 ? 0 : chooseGroup(pool, key);
    const auto begin = static_cast<std::ptrdiff_t>(group == 0 ? 0 : pool.groupEnds[group - 1]);
    std::vector<std::uint32_t> set(pool.eligible.begin() + begin, pool.eligible.begin() + static_cast<std::ptrdiff_t>(pool.groupEnds[group]));
    keepHighestRanked(view, key, n, set);
    return set;
}

std::vector<std::uint32_t> homeSet(const upstreams::UpstreamView &view, const upstreams::PoolView &pool, const prefix::HomePath &path)
{
    if (path.size == 0 || pool.eligible.empty()) {
        return {};
    }
    std::vector<std::uint32_t> set = homeOrder(view, pool, path.levels[0].key, path.levels[0].replicas);
    for (std::size_t i = 1; i < path.size && set.size() > 1; ++i) {
        keepHighestRanked(view, path.levels[i].key, path.levels[i].replicas, set);
    }
    return set;
}

} // namespace carawaylatch::routing
