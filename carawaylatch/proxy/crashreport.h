// Reports that routers exchange about prompt parts that may crash upstreams.
//
// A report holds the state of each part that has changed, see CrashAttribution. States
// merge to the same result in any order, so that routers forward what is new to them,
// and a lost report is made up for by a later one.
//
// On the wire, integers little-endian:
//
//     version u8 (2; load reports have 1), parts u16
//     part:  key u64, id u64, generation u32, blocks u8, blocked for ms u32, depth u8, crashes u8
//     crash: id u64, age in ms u32
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

// What a router knows of one part. A greater generation replaces a lower one.
struct PartState
{
    std::uint64_t key = 0; // hash of model and part
    std::uint64_t id = 0; // of the part, as callers write it
    std::uint32_t generation = 0; // how often the part was cleared
    std::uint8_t blocks = 0; // how often it was blocked since
    base::Duration blockedFor{}; // left of the current block
    std::uint8_t depth = 0; // position in the prompt
    std::vector<CrashSample> crashes; // at most MaxCrashesPerPart
};

struct CrashReport
{
    std::vector<PartState> parts; // at most MaxReportedParts
};

constexpr std::uint8_t CrashReportVersion = 2;
constexpr std::size_t MaxReportedParts = 256;
constexpr std::size_t MaxCrashesPerPart = 8;

[[nodiscard]] std::string encodeCrashReport(const CrashReport &report);
// InvalidArgument if the bytes are not a report of this version.
[[nodiscard]] base::Result<CrashReport> decodeCrashReport(std::string_view bytes);
// True if the bytes begin like a crash report.
[[nodiscard]] bool isCrashReport(std::string_view bytes);

} // namespace carawaylatch::proxy
