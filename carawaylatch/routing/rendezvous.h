// Rendezvous order: the same home for the same key on every router, without talk.
#pragma once

#include <cstdint>
#include <vector>

#include "carawaylatch/prefix/heat.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::routing
{

// Returns the first `n` of the pool's eligible upstreams in the key's order, as
// indexes into view.upstreams. In pools of several groups these are members of the
// key's group.
[[nodiscard]] std::vector<std::uint32_t> homeOrder(const upstreams::UpstreamView &view, const upstreams::PoolView &pool, std::uint64_t key, std::size_t n);

// Returns the home of a chain: each level narrows the set to its replicas. More than
// one upstream remains only where the last level is too hot for one.
[[nodiscard]] std::vector<std::uint32_t> homeSet(const upstreams::UpstreamView &view, const upstreams::PoolView &pool, const prefix::HomePath &path);

} // namespace carawaylatch::routing
