// Snapshots of hot prefixes, which routers exchange at a restart.
#pragma once

#include <cstdint>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::prefix
{

struct HotBlock
{
    std::uint64_t key = 0;
    std::uint32_t ageMilliseconds = 0; // time from the last touch to the snapshot
};

// Blocks that one incarnation of an upstream holds.
struct HotUpstream
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;
    std::uint32_t lifetimeMilliseconds = 0; // time until eviction
    std::vector<HotBlock> blocks;
};

struct HotPlacements
{
    std::vector<HotUpstream> upstreams;
};

struct HotLevel
{
    std::uint64_t key = 0;
    float heat = 0; // tokens per second
    std::uint8_t spread = 0; // binary logarithm of the replicas, see HeatTable
};

struct HotLevels
{
    std::vector<HotLevel> levels;
};

} // namespace carawaylatch::prefix
