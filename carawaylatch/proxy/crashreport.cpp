// Encoding of crashreport.h. Decoding checks the length before it reads each row.
#include "carawaylatch/proxy/crashreport.h"

#include <algorithm>
#include <limits>

#include "carawaylatch/proxy/littleendian.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::size_t HeaderBytes = 3;
constexpr std::size_t PartBytes = 27;
constexpr std::size_t CrashBytes = 12;

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
    return base::fail(base::ErrorKind::InvalidArgument, "malformed crash report: " + problem + "; check the version of the router that sent it");
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

} // namespace

std::string encodeCrashReport(const CrashReport &report)
{
    const std::size_t parts = std::min(report.parts.size(), MaxReportedParts);
    std::string out;
    out.reserve(HeaderBytes + parts * (PartBytes + CrashBytes));
    appendInteger(out, CrashReportVersion);
    appendInteger(out, static_cast<std::uint16_t>(parts));
    for (std::size_t i = 0; i < parts; ++i) {
        appendPart(out, report.parts[i]);
    }
    return out;
}

base::Result<CrashReport> decodeCrashReport(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes || takeInteger<std::uint8_t>(bytes) != CrashReportVersion) {
        return malformedReport("no header of this version");
    }
    const std::size_t parts = takeInteger<std::uint16_t>(bytes);
    if (parts > MaxReportedParts) {
        return malformedReport("too many parts");
    }
    CrashReport report;
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
    if (!bytes.empty()) {
        return malformedReport("bytes after the last part");
    }
    return report;
}

bool isCrashReport(std::string_view bytes)
{
    return !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == CrashReportVersion;
}

} // namespace carawaylatch::proxy
