// Rows of prompt placements, which load reports and load summaries have in common: cache key u64, upstream u64.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/proxy/littleendian.h"
#include "carawaylatch/proxy/loadreport.h"

namespace carawaylatch::proxy
{

constexpr std::size_t PlacementRowBytes = 16;

inline void appendPlacements(std::string &out, std::span<const PrefixPlacement> placements)
{
    for (const PrefixPlacement &it : placements) {
        appendInteger(out, it.cacheKey);
        appendInteger(out, it.upstream);
    }
}

// Takes so many rows from the front; `bytes` must have them.
[[nodiscard]] inline std::vector<PrefixPlacement> takePlacements(std::string_view &bytes, std::size_t rows)
{
    std::vector<PrefixPlacement> placements(rows);
    for (PrefixPlacement &it : placements) {
        it.cacheKey = takeInteger<std::uint64_t>(bytes);
        it.upstream = takeInteger<std::uint64_t>(bytes);
    }
    return placements;
}

} // namespace carawaylatch::proxy
