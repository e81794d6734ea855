// What routers tell each other of their own work: requests under way at each
// upstream, and where they placed prompts.
//
// The load it answers: many routers in front of many engines, where each sees a
// small part of the requests and would place the next one nearly blind. A report
// holds absolute figures, so a lost one is made good by the next, and it only
// hints: no promise to callers depends on it.
//
// On the wire a report is a head of fixed size, then rows of fixed size, integers
// little-endian:
//
//     version u8, flags u8 (1: whole), loads u16, placements u16, sender u64, life u64
//     load:      upstream u64, requests u16, unread tokens u32, memory tokens u32
//     placement: prompt state u64, upstream u64
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

// One router's work at one upstream. Counts beyond their field's range are cut to it.
struct PeerUpstreamLoad
{
    std::uint64_t upstream = 0; // hash of its id
    std::uint32_t requests = 0; // sent and not ended
    std::uint32_t prefillTokens = 0; // prompt tokens of those without a first event
    std::uint32_t memoryTokens = 0; // that these requests may take
};

// A prompt's shared parts were sent to an upstream to be read.
struct PrefixPlacement
{
    std::uint64_t cacheKey = 0; // see kvCacheKey()
    std::uint64_t upstream = 0; // hash of its id

    auto operator<=>(const PrefixPlacement &) const = default;
};

struct LoadReport
{
    std::uint64_t sender = 0; // hash of the router's id
    std::uint64_t incarnation = 0; // of the sending process
    bool isFullReport = false; // upstreams that it does not name have no work of the sender
    std::vector<PeerUpstreamLoad> loads;
    std::vector<PrefixPlacement> placements;
};

// Rows of each kind in one report; more are left to the next one.
constexpr std::size_t MaxReportRows = 1500;
// Bytes of the largest report.
constexpr std::size_t MaxReportBytes = 22 + MaxReportRows * (18 + 16);

[[nodiscard]] std::string encodeLoadReport(const LoadReport &report);
// InvalidArgument for bytes that are no report of this version.
[[nodiscard]] base::Result<LoadReport> decodeLoadReport(std::string_view bytes);

} // namespace carawaylatch::proxy
