// Reports that routers exchange about prompt parts and requests that may crash upstreams, and about
// upstreams that have said that they leave, named a limit of requests or are brittle.
//
// A report holds the state of each part that has changed, see CrashAttribution, each
// upstream newly known to leave, and each changed limit and brittle state, see UpstreamNotices. They merge to the same
// result in any order, so that routers forward what is new to them, and a lost report is made up for by a later one.
//
// On the wire, integers little-endian:
//
//     version u8 (2, 3 or 4; load reports have 1), parts u16, leaving u16, from version 3 on limits u16, in 4 brittle u16
//     part:  key u64, id u64, generation u32, blocks u8, blocked for ms u32, depth u8, crashes u8
//     crash: id u64, age in ms u32
//     leaving: upstream u64, start time u64
//     limit: upstream u64, start time u64, generation u32, thousandths of requests a second u32
//
//     brittle: upstream u64, start time u64, generation u32, rejections a second that it takes and one u32
//
// Versions 3 and 4 are used only for reports with limits and brittle upstreams: routers that don't know them refuse the
// whole report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

struct CrashSample
{
    std::uint64_t crash = 0; // hash of the upstream's id and start time
    base::Duration age{}; // since the crash, at the time of the report
};

// What a router knows of one part, or of one whole request. A greater generation replaces a lower one.
struct PartState
{
    std::uint64_t key = 0; // hash of model and part; fingerprint of a request
    std::uint64_t id = 0; // of the part, as callers write it; fingerprint of a request
    std::uint32_t generation = 0; // how often the part was cleared
    std::uint8_t blocks = 0; // how often it was blocked since
    base::Duration blockedFor{}; // left of the current block
    std::uint8_t depth = 0; // position in the prompt; 255: a whole request
    std::vector<CrashSample> crashes; // at most MaxCrashesPerPart
};

// An upstream that has said that it leaves.
struct LeavingUpstream
{
    std::uint64_t upstream = 0; // hash of its id
    std::uint64_t startTimeMs = 0; // its incarnation

    bool operator==(const LeavingUpstream &) const = default;
};

// A number that an upstream has named. A greater generation replaces a lower one.
struct UpstreamNotice
{
    std::uint64_t upstream = 0; // hash of its id
    std::uint64_t startTimeMs = 0; // its incarnation
    std::uint32_t generation = 0;
    std::uint32_t value = 0; // zero: the upstream names none any more

    bool operator==(const UpstreamNotice &) const = default;
};

struct FaultReport
{
    std::vector<PartState> parts; // at most MaxReportedParts
    std::vector<LeavingUpstream> leaving; // at most MaxReportedLeaving
    std::vector<UpstreamNotice> limits; // thousandths of requests a second from all routers; at most MaxReportedNotices
    std::vector<UpstreamNotice> brittle; // rejections a second that the upstream takes, and one; at most MaxReportedNotices

    [[nodiscard]] bool isEmpty() const
    {
        return parts.empty() && leaving.empty() && limits.empty() && brittle.empty();
    }
};

constexpr std::uint8_t FaultReportVersion = 2;
constexpr std::uint8_t FaultReportWithLimitsVersion = 3;
constexpr std::uint8_t FaultReportWithBrittleVersion = 4;
constexpr std::size_t MaxReportedParts = 256;
constexpr std::size_t MaxReportedLeaving = 1024;
constexpr std::size_t MaxReportedNotices = 1024;
constexpr std::size_t MaxCrashesPerPart = 8;

[[nodiscard]] std::string encodeFaultReport(const FaultReport &report);
// InvalidArgument if the bytes are not a report of this version.
[[nodiscard]] base::Result<FaultReport> decodeFaultReport(std::string_view bytes);
// True if the bytes begin like a fault report.
[[nodiscard]] bool isFaultReport(std::string_view bytes);

} // namespace carawaylatch::proxy
