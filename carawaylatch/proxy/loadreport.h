// Load reports that routers exchange: a router's own outstanding requests at each
// upstream, and the upstreams to which it sent prompts.
//
// With many routers in front of many engines, each router sees only a small part of
// the requests and could not balance the load on its own. Reports hold absolute
// values, so the next report makes up for a lost one. They are hints: correctness
// does not depend on them.
//
// On the wire a report is a header of fixed size, then rows of fixed size, integers
// little-endian:
//
//     version u8, flags u8 (1: full), loads u16, placements u16, sender u64, incarnation u64
//     load:      upstream u64, requests u16, prefill tokens u32, memory tokens u32
//     placement: cache key u64, upstream u64
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"

namespace carawaylatch::proxy
{

// One router's load at one upstream. Encoding clamps values to the range of their field.
struct PeerUpstreamLoad
{
    std::uint64_t upstream = 0; // hash of its id
    std::uint32_t requests = 0; // outstanding
    std::uint32_t prefillTokens = 0; // prompt tokens that the upstream has yet to process
    std::uint32_t memoryTokens = 0; // upper bound of the KV cache that these requests use
};

// A prompt with this shared prefix was sent to an upstream.
struct PrefixPlacement
{
    std::uint64_t cacheKey = 0; // see kvCacheKey()
    std::uint64_t upstream = 0; // hash of its id

    auto operator<=>(const PrefixPlacement &) const = default;
};

struct LoadReport
{
    std::uint64_t sender = 0; // hash of the router's id
    std::uint64_t incarnation = 0; // of the sending router process
    bool isFullReport = false; // the sender has no load at upstreams that the report does not list
    std::vector<PeerUpstreamLoad> loads;
    std::vector<PrefixPlacement> placements;
};

// Maximum rows of each kind in one report; the rest goes into the next one.
constexpr std::size_t MaxReportRows = 1500;
// Size of the largest report.
constexpr std::size_t MaxReportBytes = 22 + MaxReportRows * (18 + 16);

[[nodiscard]] std::string encodeLoadReport(const LoadReport &report);
// InvalidArgument if the bytes are not a report of this version.
[[nodiscard]] base::Result<LoadReport> decodeLoadReport(std::string_view bytes);

} // namespace carawaylatch::proxy
