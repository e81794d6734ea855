// Encoding of streamreport.h. Decoding checks the length before it reads each field.
#include "carawaylatch/proxy/streamreport.h"

#include <algorithm>
#include <limits>
#include <map>

#include "carawaylatch/proxy/littleendian.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::size_t HeaderBytes = 2;
constexpr std::size_t CountBytes = 2;
constexpr std::size_t StreamBytes = 12;

base::Error malformedReport(const std::string &problem)
{
    return base::fail(base::ErrorKind::InvalidArgument, "malformed stream report: " + problem + "; check the version of the router that sent it");
}

std::uint32_t encodeAge(base::Duration age)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(base::toMilliseconds(age), 0, std::numeric_limits<std::uint32_t>::max()));
}

// Takes the streams of one version; returns false if they are cut off or too many.
bool takeVersion(std::string_view &bytes, StreamReport &report)
{
    const std::size_t nameBytes = bytes.empty() ? 0 : takeInteger<std::uint8_t>(bytes);
    if (nameBytes > MaxReportedNameBytes || bytes.size() < nameBytes + CountBytes) {
        return false;
    }
    const base::SoftwareVersion software{std::string(bytes.substr(0, nameBytes))};
    bytes.remove_prefix(nameBytes);
    const std::size_t streams = takeInteger<std::uint16_t>(bytes);
    if (report.streams.size() + streams > MaxReportedStreams || bytes.size() < streams * StreamBytes) {
        return false;
    }
    for (std::size_t i = 0; i < streams; ++i) {
        ToldStream &it = report.streams.emplace_back();
        it.stream = takeInteger<std::uint64_t>(bytes);
        it.software = software;
        it.age = base::milliseconds{takeInteger<std::uint32_t>(bytes)};
    }
    return true;
}

} // namespace

std::string encodeStreamReport(const StreamReport &report)
{
    const std::size_t streams = std::min(report.streams.size(), MaxReportedStreams);
    std::map<base::SoftwareVersion, std::vector<const ToldStream *>> versions;
    for (std::size_t i = 0; i < streams; ++i) {
        const ToldStream &it = report.streams[i];
        const bool hasRoom = versions.size() < MaxReportedVersions || versions.contains(it.software);
        if (hasRoom && it.software.value().size() <= MaxReportedNameBytes) {
            versions[it.software].push_back(&it);
        }
    }
    std::string out;
    appendInteger(out, StreamReportVersion);
    appendInteger(out, static_cast<std::uint8_t>(versions.size()));
    for (const auto &[software, members] : versions) {
        appendInteger(out, static_cast<std::uint8_t>(software.value().size()));
        out.append(software.value());
        appendInteger(out, static_cast<std::uint16_t>(members.size()));
        for (const ToldStream *it : members) {
            appendInteger(out, it->stream);
            appendInteger(out, encodeAge(it->age));
        }
    }
    return out;
}

base::Result<StreamReport> decodeStreamReport(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes || !isStreamReport(bytes)) {
        return malformedReport("no header of this version");
    }
    bytes.remove_prefix(1);
    const std::size_t versions = takeInteger<std::uint8_t>(bytes);
    if (versions > MaxReportedVersions) {
        return malformedReport("too many software versions");
    }
    StreamReport report;
    for (std::size_t i = 0; i < versions; ++i) {
        if (!takeVersion(bytes, report)) {
            return malformedReport("the streams of a software version are cut off or too many");
        }
    }
    if (!bytes.empty()) {
        return malformedReport("bytes after the last stream");
    }
    return report;
}

bool isStreamReport(std::string_view bytes)
{
    return !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == StreamReportVersion;
}

} // namespace carawaylatch::proxy
