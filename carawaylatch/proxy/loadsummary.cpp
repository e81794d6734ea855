// Encoding of loadsummary.h. Decoding checks the length against the row counts before it reads a row.
#include "carawaylatch/proxy/loadsummary.h"

#include <algorithm>

#include "carawaylatch/proxy/littleendian.h"
#include "carawaylatch/proxy/placementrows.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::uint8_t FullFlag = 1;
constexpr std::uint8_t FleetFlag = 2;
constexpr std::size_t HeaderBytes = 30;
constexpr std::size_t LoadRowBytes = 20;

base::Error malformedSummary(const std::string &problem)
{
    return base::fail(base::ErrorKind::InvalidArgument, "malformed load summary: " + problem + "; check the version of the router that sent it");
}

} // namespace

bool isLoadSummary(std::string_view bytes)
{
    return !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == LoadSummaryVersion;
}

std::string encodeLoadSummary(const LoadSummary &summary)
{
    const std::size_t loads = std::min(summary.loads.size(), MaxReportRows);
    const std::size_t placements = std::min(summary.placements.size(), MaxReportRows);
    std::string out;
    out.reserve(HeaderBytes + loads * LoadRowBytes + placements * PlacementRowBytes);
    appendInteger<std::uint8_t>(out, LoadSummaryVersion);
    appendInteger<std::uint8_t>(out, static_cast<std::uint8_t>((summary.isFull ? FullFlag : 0) | (summary.isFleet ? FleetFlag : 0)));
    appendInteger<std::uint16_t>(out, static_cast<std::uint16_t>(loads));
    appendInteger<std::uint16_t>(out, static_cast<std::uint16_t>(placements));
    appendInteger(out, summary.sender);
    appendInteger(out, summary.incarnation);
    appendInteger(out, summary.arc);
    appendInteger(out, summary.arcs);
    appendInteger(out, summary.coveredRouters);
    for (std::size_t i = 0; i < loads; ++i) {
        const PeerUpstreamLoad &it = summary.loads[i];
        appendInteger(out, it.upstream);
        appendInteger(out, it.requests);
        appendInteger(out, it.prefillTokens);
        appendInteger(out, it.memoryTokens);
    }
    appendPlacements(out, std::span(summary.placements).first(placements));
    return out;
}

base::Result<LoadSummary> decodeLoadSummary(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes) {
        return malformedSummary("shorter than the header");
    }
    if (takeInteger<std::uint8_t>(bytes) != LoadSummaryVersion) {
        return malformedSummary("unsupported version");
    }
    LoadSummary summary;
    const auto flags = takeInteger<std::uint8_t>(bytes);
    summary.isFull = (flags & FullFlag) != 0;
    summary.isFleet = (flags & FleetFlag) != 0;
    const std::size_t loads = takeInteger<std::uint16_t>(bytes);
    const std::size_t placements = takeInteger<std::uint16_t>(bytes);
    summary.sender = takeInteger<std::uint64_t>(bytes);
    summary.incarnation = takeInteger<std::uint64_t>(bytes);
    summary.arc = takeInteger<std::uint16_t>(bytes);
    summary.arcs = takeInteger<std::uint16_t>(bytes);
    summary.coveredRouters = takeInteger<std::uint32_t>(bytes);
    if (loads > MaxReportRows || placements > MaxReportRows) {
        return malformedSummary("too many rows");
    }
    if (bytes.size() != loads * LoadRowBytes + placements * PlacementRowBytes) {
        return malformedSummary("length does not match the row counts");
    }
    if (summary.arc >= summary.arcs) {
        return malformedSummary("no such arc");
    }
    summary.loads.reserve(loads);
    for (std::size_t i = 0; i < loads; ++i) {
        PeerUpstreamLoad it;
        it.upstream = takeInteger<std::uint64_t>(bytes);
        it.requests = takeInteger<std::uint32_t>(bytes);
        it.prefillTokens = takeInteger<std::uint32_t>(bytes);
        it.memoryTokens = takeInteger<std::uint32_t>(bytes);
        summary.loads.push_back(it);
    }
    summary.placements = takePlacements(bytes, placements);
    return summary;
}

} // namespace carawaylatch::proxy
