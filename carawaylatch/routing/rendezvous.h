// Rendezvous hashing: every router maps a key to the same home upstreams, without
// communication.
#pragma once

#include <cstdint>
#include <vector>

#include "carawaylatch/prefix/heat.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::routing
{

// Returns the first `n` of the pool's eligible upstreams in the key's rendezvous order,
// as indexes into view.upstreams. In a pool of several groups these are members of the
// key's group.
[[nodiscard]] std::vector<std::uint32_t> homeOrder(const upstreams::UpstreamView &view, const upstreams::PoolView &pool, std::uint64_t key, std::size_t n);

// Returns the home upstreams of a chain: each level restricts the set to its replicas.
// More than one upstream remains only if the last level's load exceeds one upstream's
// share.
[[nodiscard]] std::vector<std::uint32_t> homeSet(const upstreams::UpstreamView &view, const upstreams::PoolView &pool, const prefix::HomePath &path);

} // namespace carawaylatch::routing
