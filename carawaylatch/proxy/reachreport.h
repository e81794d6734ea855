// Reports in which a router tells others where its callers' endpoint is, and which pools it does not reach.
//
// A report replaces the one before. It has a message of its own, so that routers of a former version refuse
// nothing else with it. On the wire, integers little-endian:
//
//     version u8 (5), flags u8 (1: takes requests), sender u64, outstanding requests u32, pools u16,
//     length u8 and text of the failure domain, length u8 and text of the callers' endpoint,
//     each pool that is not reached: hash of its name u64
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"

namespace carawaylatch::proxy
{

struct ReachReport
{
    std::uint64_t sender = 0; // hash of the router's id
    bool takesRequests = false;
    std::uint32_t inflight = 0; // requests in progress
    base::FailureDomain domain;
    base::Endpoint callers;
    std::vector<std::uint64_t> unreachedPools; // hashes of their names; at most MaxReportedPools
};

constexpr std::uint8_t ReachReportVersion = 5;
constexpr std::size_t MaxReportedPools = 256;

[[nodiscard]] std::string encodeReachReport(const ReachReport &report);
// InvalidArgument if the bytes are not a report of this version.
[[nodiscard]] base::Result<ReachReport> decodeReachReport(std::string_view bytes);
// True if the bytes begin like a reach report.
[[nodiscard]] bool isReachReport(std::string_view bytes);

} // namespace carawaylatch::proxy
