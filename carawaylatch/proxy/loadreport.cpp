// Encoding of loadreport.h. Decoding checks the length against the row counts before
// it reads a row.
#include "carawaylatch/proxy/loadreport.h"

#include <algorithm>
#include <limits>

#include "carawaylatch/proxy/littleendian.h"
#include "carawaylatch/proxy/placementrows.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::uint8_t Version = 1;
constexpr std::uint8_t FullFlag = 1;
constexpr std::size_t HeaderBytes = 22;
constexpr std::size_t LoadRowBytes = 18;

base::Error malformedReport(const std::string &problem)
{
    return base::fail(base::ErrorKind::InvalidArgument, "malformed load report: " + problem + "; check the version of the router that sent it");
}

} // namespace

std::string encodeLoadReport(const LoadReport &report)
{
    const std::size_t loads = std::min(report.loads.size(), MaxReportRows);
    const std::size_t placements = std::min(report.placements.size(), MaxReportRows);
    std::string out;
    out.reserve(HeaderBytes + loads * LoadRowBytes + placements * PlacementRowBytes);
    appendInteger<std::uint8_t>(out, Version);
    appendInteger<std::uint8_t>(out, report.isFullReport ? FullFlag : 0);
    appendInteger<std::uint16_t>(out, static_cast<std::uint16_t>(loads));
    appendInteger<std::uint16_t>(out, static_cast<std::uint16_t>(placements));
    appendInteger(out, report.sender);
    appendInteger(out, report.incarnation);
    for (std::size_t i = 0; i < loads; ++i) {
        const PeerUpstreamLoad &it = report.loads[i];
        appendInteger(out, it.upstream);
        appendInteger<std::uint16_t>(out, static_cast<std::uint16_t>(std::min<std::uint32_t>(it.requests, std::numeric_limits<std::uint16_t>::max())));
        appendInteger(out, it.prefillTokens);
        appendInteger(out, it.memoryTokens);
    }
    appendPlacements(out, std::span(report.placements).first(placements));
    return out;
}

base::Result<LoadReport> decodeLoadReport(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes) {
        return malformedReport("shorter than the header");
    }
    if (takeInteger<std::uint8_t>(bytes) != Version) {
        return malformedReport("unsupported version");
    }
    LoadReport report;
    report.isFullReport = (takeInteger<std::uint8_t>(bytes) & FullFlag) != 0;
    const std::size_t loads = takeInteger<std::uint16_t>(bytes);
    const std::size_t placements = takeInteger<std::uint16_t>(bytes);
    report.sender = takeInteger<std::uint64_t>(bytes);
    report.incarnation = takeInteger<std::uint64_t>(bytes);
    if (loads > MaxReportRows || placements > MaxReportRows) {
        return malformedReport("too many rows");
    }
    if (bytes.size() != loads * LoadRowBytes + placements * PlacementRowBytes) {
        return malformedReport("length does not match the row counts");
    }
    report.loads.reserve(loads);
    for (std::size_t i = 0; i < loads; ++i) {
        PeerUpstreamLoad it;
        it.upstream = takeInteger<std::uint64_t>(bytes);
        it.requests = takeInteger<std::uint16_t>(bytes);
        it.prefillTokens = takeInteger<std::uint32_t>(bytes);
        it.memoryTokens = takeInteger<std::uint32_t>(bytes);
        report.loads.push_back(it);
    }
    report.placements = takePlacements(bytes, placements);
    return report;
}

} // namespace carawaylatch::proxy
