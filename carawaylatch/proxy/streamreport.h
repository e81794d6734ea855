// Reports in which a router tells others at which software the streams that it sent began.
//
// What is told does not change any more. A stream that is told with two versions is doubtful; see
// PeerStreams. It has a message of its own, so that routers of a former version, which refuse it, refuse
// nothing else with it. On the wire, integers little-endian:
//
//     version u8 (6), versions u8
//     each version: length u8 and text of its name, streams u16
//     each stream of it: hash of the id u64, time since it was sent in ms u32
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

struct ToldStream
{
    std::uint64_t stream = 0; // base::hash64 of the id of the request that began it
    base::SoftwareVersion software;
    base::Duration age{}; // since it was sent, at the time of the report

    bool operator==(const ToldStream &) const = default;
};

struct StreamReport
{
    std::vector<ToldStream> streams; // at most MaxReportedStreams
};

constexpr std::uint8_t StreamReportVersion = 6;
constexpr std::size_t MaxReportedStreams = 3'000;
constexpr std::size_t MaxReportedVersions = 64; // streams of further ones are left out
constexpr std::size_t MaxReportedNameBytes = 128; // of a version; streams of a longer one are left out

// Returns the report with its streams sorted by version.
[[nodiscard]] std::string encodeStreamReport(const StreamReport &report);
// InvalidArgument if the bytes are not a report of this version.
[[nodiscard]] base::Result<StreamReport> decodeStreamReport(std::string_view bytes);
// True if the bytes begin like a stream report.
[[nodiscard]] bool isStreamReport(std::string_view bytes);

} // namespace carawaylatch::proxy
