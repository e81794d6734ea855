// Load summaries: sums of load reports (loadreport.h) in fleets in which a router hears less than half of the others.
//
// A router that sums up the reports of its part of the ring, its arc, sends an arc summary to other such routers, and
// a fleet summary, the sum over all arcs that it knows, to the routers of its arc; see loadsummaries.h. Rows hold
// absolute values. Summaries are hints, like reports.
//
// On the wire a summary is a header of fixed size, then rows of fixed size, integers little-endian:
//
//     version u8 (8), flags u8 (1: full, 2: fleet summary, else arc summary), loads u16, placements u16, sender u64,
//     incarnation u64, arc u16, arcs u16, covered routers u32
//     load:      upstream u64, requests u32, prefill tokens u32, memory tokens u32
//     placement: cache key u64, upstream u64
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/proxy/loadreport.h"

namespace carawaylatch::proxy
{

struct LoadSummary
{
    std::uint64_t sender = 0; // hash of the router's id
    std::uint64_t incarnation = 0; // of the sending router process
    bool isFull = false; // there is no load at upstreams that are not listed, or none before the last one if MaxReportRows are
    bool isFleet = false; // else an arc summary
    std::uint16_t arc = 0; // of the sender; less than arcs
    std::uint16_t arcs = 0; // into which the sender's list of routers is divided
    std::uint32_t coveredRouters = 0; // whose load is in the sums
    std::vector<PeerUpstreamLoad> loads; // at most MaxReportRows are sent
    std::vector<PrefixPlacement> placements; // at most MaxReportRows are sent
};

constexpr std::uint8_t LoadSummaryVersion = 8;
// Size of the largest summary.
constexpr std::size_t MaxLoadSummaryBytes = 30 + MaxReportRows * (20 + 16);

[[nodiscard]] std::string encodeLoadSummary(const LoadSummary &summary);
// InvalidArgument if the bytes are not a summary of this version.
[[nodiscard]] base::Result<LoadSummary> decodeLoadSummary(std::string_view bytes);
// True if the bytes begin like a load summary.
[[nodiscard]] bool isLoadSummary(std::string_view bytes);

} // namespace carawaylatch::proxy
