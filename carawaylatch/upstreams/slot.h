// Dense index of an upstream inside one router process.
//
// The registry assigns slots; tables that traffic threads access for every request
// (cache index, in-flight counters) are arrays over slots. A slot has no meaning
// outside its process: snapshots and messages carry UpstreamId and Incarnation.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace carawaylatch::upstreams
{

struct Slot
{
    std::uint16_t index = 0;

    auto operator<=>(const Slot &) const = default;
    bool operator==(const Slot &) const = default;
};

// Maximum number of slots in one process.
constexpr std::size_t MaxSlots = 16'384;

} // namespace carawaylatch::upstreams
