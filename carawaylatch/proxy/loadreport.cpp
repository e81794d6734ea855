// Encoding of loadreport.h. Decoding checks the length against the row counts before
// it reads a row.
#include "carawaylatch/proxy/loadreport.h"

#include <algorithm>
#include <limits>

namespace carawaylatch::proxy
{

namespace
{

constexpr std::uint8_t Version = 1;
constexpr std::uint8_t FullFlag = 1;
constexpr std::size_t HeaderBytes = 22;
constexpr std::size_t LoadRowBytes = 18;
constexpr std::size_t PlacementRowBytes = 16;

template <typename T>
void append(std::string &out, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xFFU));
    }
}

// Removes an integer from the front; the caller has checked the length.
template <typename T>
T take(std::string_view &bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    bytes.remove_prefix(sizeof(T));
    return static_cast<T>(value);
}

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
    append<std::uint8_t>(out, Version);
    append<std::uint8_t>(out, report.isFullReport ? FullFlag : 0);
    append<std::uint16_t>(out, static_cast<std::uint16_t>(loads));
    append<std::uint16_t>(out, static_cast<std::uint16_t>(placements));
    append(out, report.sender);
    append(out, report.incarnation);
    for (std::size_t i = 0; i < loads; ++i) {
        const PeerUpstreamLoad &it = report.loads[i];
        append(out, it.upstream);
        append<std::uint16_t>(out, static_cast<std::uint16_t>(std::min<std::uint32_t>(it.requests, std::numeric_limits<std::uint16_t>::max())));
        append(out, it.prefillTokens);
        append(out, it.memoryTokens);
    }
    for (std::size_t i = 0; i < placements; ++i) {
        append(out, report.placements[i].cacheKey);
        append(out, report.placements[i].upstream);
    }
    return out;
}

base::Result<LoadReport> decodeLoadReport(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes) {
        return malformedReport("shorter than the header");
    }
    if (take<std::uint8_t>(bytes) != Version) {
        return malformedReport("unsupported version");
    }
    LoadReport report;
    report.isFullReport = (take<std::uint8_t>(bytes) & FullFlag) != 0;
    const std::size_t loads = take<std::uint16_t>(bytes);
    const std::size_t placements = take<std::uint16_t>(bytes);
    report.sender = take<std::uint64_t>(bytes);
    report.incarnation = take<std::uint64_t>(bytes);
    if (loads > MaxReportRows || placements > MaxReportRows) {
        return malformedReport("too many rows");
    }
    if (bytes.size() != loads * LoadRowBytes + placements * PlacementRowBytes) {
        return malformedReport("length does not match the row counts");
    }
    report.loads.reserve(loads);
    for (std::size_t i = 0; i < loads; ++i) {
        PeerUpstreamLoad it;
        it.upstream = take<std::uint64_t>(bytes);
        it.requests = take<std::uint16_t>(bytes);
        it.prefillTokens = take<std::uint32_t>(bytes);
        it.memoryTokens = take<std::uint32_t>(bytes);
        report.loads.push_back(it);
    }
    report.placements.reserve(placements);
    for (std::size_t i = 0; i < placements; ++i) {
        PrefixPlacement it;
        it.cacheKey = take<std::uint64_t>(bytes);
        it.upstream = take<std::uint64_t>(bytes);
        report.placements.push_back(it);
    }
    return report;
}

} // namespace carawaylatch::proxy
