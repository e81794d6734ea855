// Encoding of faultreport.h. Decoding checks the length before it reads each row.
#include "carawaylatch/proxy/faultreport.h"

#include <algorithm>
#include <limits>

#include "carawaylatch/proxy/littleendian.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::size_t HeaderBytes = 5;
constexpr std::size_t CountBytes = 2; // of limits, then of brittle upstreams; follow the header in the versions that have them
constexpr std::size_t PartBytes = 27;
constexpr std::size_t CrashBytes = 12;
constexpr std::size_t LeavingBytes = 16;
constexpr std::size_t NoticeBytes = 24;

std::uint32_t encodeDuration(base::Duration duration)
{
    const std::int64_t ms = base::toMilliseconds(duration);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

base::Duration takeDuration(std::string_view &bytes)
{
    return base::milliseconds{takeInteger<std::uint32_t>(bytes)};
}

base::Error malformedReport(const std::string &problem)
{
    return base::fail(base::ErrorKind::InvalidArgument, "malformed fault report: " + problem + "; check the version of the router that sent it");
}

void appendPart(std::string &out, const PartState &part)
{
    const std::size_t crashes = std::min(part.crashes.size(), MaxCrashesPerPart);
    appendInteger(out, part.key);
    appendInteger(out, part.id);
    appendInteger(out, part.generation);
    appendInteger(out, part.blocks);
    appendInteger(out, encodeDuration(part.blockedFor));
    appendInteger(out, part.depth);
    appendInteger(out, static_cast<std::uint8_t>(crashes));
    for (std::size_t i = 0; i < crashes; ++i) {
        appendInteger(out, part.crashes[i].crash);
        appendInteger(out, encodeDuration(part.crashes[i].age));
    }
}

// Takes a part without its crashes; returns their number.
std::size_t takePart(std::string_view &bytes, PartState &part)
{
    part.key = takeInteger<std::uint64_t>(bytes);
    part.id = takeInteger<std::uint64_t>(bytes);
    part.generation = takeInteger<std::uint32_t>(bytes);
    part.blocks = takeInteger<std::uint8_t>(bytes);
    part.blockedFor = takeDuration(bytes);
    part.depth = takeInteger<std::uint8_t>(bytes);
    return takeInteger<std::uint8_t>(bytes);
}

void appendNotices(std::string &out, const std::vector<UpstreamNotice> &notices, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        appendInteger(out, notices[i].upstream);
        appendInteger(out, notices[i].startTimeMs);
        appendInteger(out, notices[i].generation);
        appendInteger(out, notices[i].value);
    }
}

void takeNotices(std::string_view &bytes, std::vector<UpstreamNotice> &notices, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        UpstreamNotice &it = notices.emplace_back();
        it.upstream = takeInteger<std::uint64_t>(bytes);
        it.startTimeMs = takeInteger<std::uint64_t>(bytes);
        it.generation = takeInteger<std::uint32_t>(bytes);
        it.value = takeInteger<std::uint32_t>(bytes);
    }
}

std::uint8_t versionOf(const FaultReport &report)
{
    if (!report.brittle.empty()) {
        return FaultReportWithBrittleVersion;
    }
    return report.limits.empty() ? FaultReportVersion : FaultReportWithLimitsVersion;
}

} // namespace

std::string encodeFaultReport(const FaultReport &report)
{
    const std::size_t parts = std::min(report.parts.size(), MaxReportedParts);
    const std::size_t leaving = std::min(report.leaving.size(), MaxReportedLeaving);
    const std::size_t limits = std::min(report.limits.size(), MaxReportedNotices);
    const std::size_t brittle = std::min(report.brittle.size(), MaxReportedNotices);
    const std::uint8_t version = versionOf(report);
    std::string out;
    out.reserve(HeaderBytes + 2 * CountBytes + parts * (PartBytes + CrashBytes) + leaving * LeavingBytes + (limits + brittle) * NoticeBytes);
    appendInteger(out, version);
    appendInteger(out, static_cast<std::uint16_t>(parts));
    appendInteger(out, static_cast<std::uint16_t>(leaving));
    if (version >= FaultReportWithLimitsVersion) {
        appendInteger(out, static_cast<std::uint16_t>(limits));
    }
    if (version >= FaultReportWithBrittleVersion) {
        appendInteger(out, static_cast<std::uint16_t>(brittle));
    }
    for (std::size_t i = 0; i < parts; ++i) {
        appendPart(out, report.parts[i]);
    }
    for (std::size_t i = 0; i < leaving; ++i) {
        appendInteger(out, report.leaving[i].upstream);
        appendInteger(out, report.leaving[i].startTimeMs);
    }
    appendNotices(out, report.limits, limits);
    appendNotices(out, report.brittle, brittle);
    return out;
}

base::Result<FaultReport> decodeFaultReport(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes || !isFaultReport(bytes)) {
        return malformedReport("no header of this version");
    }
    const auto version = takeInteger<std::uint8_t>(bytes);
    const std::size_t parts = takeInteger<std::uint16_t>(bytes);
    const std::size_t leaving = takeInteger<std::uint16_t>(bytes);
    const std::size_t counts = static_cast<std::size_t>(version) - FaultReportVersion;
    if (bytes.size() < counts * CountBytes) {
        return malformedReport("the header is cut off");
    }
    const std::size_t limits = counts > 0 ? takeInteger<std::uint16_t>(bytes) : 0;
    const std::size_t brittle = counts > 1 ? takeInteger<std::uint16_t>(bytes) : 0;
    if (parts > MaxReportedParts || leaving > MaxReportedLeaving || limits > MaxReportedNotices || brittle > MaxReportedNotices) {
        return malformedReport("too many rows");
    }
    FaultReport report;
    for (std::size_t i = 0; i < parts; ++i) {
        if (bytes.size() < PartBytes) {
            return malformedReport("a part is cut off");
        }
        PartState &part = report.parts.emplace_back();
        const std::size_t crashes = takePart(bytes, part);
        if (crashes > MaxCrashesPerPart || bytes.size() < crashes * CrashBytes) {
            return malformedReport("the crashes of a part are cut off or too many");
        }
        for (std::size_t j = 0; j < crashes; ++j) {
            CrashSample &crash = part.crashes.emplace_back();
            crash.crash = takeInteger<std::uint64_t>(bytes);
            crash.age = takeDuration(bytes);
        }
    }
    if (bytes.size() != leaving * LeavingBytes + (limits + brittle) * NoticeBytes) {
        return malformedReport("length does not match the row counts");
    }
    for (std::size_t i = 0; i < leaving; ++i) {
        LeavingUpstream &it = report.leaving.emplace_back();
        it.upstream = takeInteger<std::uint64_t>(bytes);
        it.startTimeMs = takeInteger<std::uint64_t>(bytes);
    }
    takeNotices(bytes, report.limits, limits);
    takeNotices(bytes, report.brittle, brittle);
    return report;
}

bool isFaultReport(std::string_view bytes)
{
    const auto version = bytes.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(bytes.front());
    return version >= FaultReportVersion && version <= FaultReportWithBrittleVersion;
}

} // namespace carawaylatch::proxy
