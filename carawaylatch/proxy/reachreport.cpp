// Encoding of reachreport.h. Decoding checks the length before it reads each field.
#include "carawaylatch/proxy/reachreport.h"

#include <algorithm>
#include <limits>

#include "carawaylatch/config/valuetext.h"
#include "carawaylatch/proxy/littleendian.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::size_t HeaderBytes = 16;
constexpr std::uint8_t TakesRequestsFlag = 1;

base::Error malformedReport(const std::string &problem)
{
    return base::fail(base::ErrorKind::InvalidArgument, "malformed reach report: " + problem + "; check the version of the router that sent it");
}

void appendText(std::string &out, std::string_view text)
{
    const std::string_view kept = text.substr(0, std::numeric_limits<std::uint8_t>::max());
    appendInteger(out, static_cast<std::uint8_t>(kept.size()));
    out.append(kept);
}

// Takes a text; returns false if it is cut off.
bool takeText(std::string_view &bytes, std::string &text)
{
    if (bytes.empty()) {
        return false;
    }
    const std::size_t size = takeInteger<std::uint8_t>(bytes);
    if (bytes.size() < size) {
        return false;
    }
    text = bytes.substr(0, size);
    bytes.remove_prefix(size);
    return true;
}

} // namespace

std::string encodeReachReport(const ReachReport &report)
{
    const std::size_t pools = std::min(report.unreachedPools.size(), MaxReportedPools);
    std::string out;
    appendInteger(out, ReachReportVersion);
    appendInteger(out, report.takesRequests ? TakesRequestsFlag : std::uint8_t{0});
    appendInteger(out, report.sender);
    appendInteger(out, report.inflight);
    appendInteger(out, static_cast<std::uint16_t>(pools));
    appendText(out, report.domain.value());
    appendText(out, config::formatEndpoint(report.callers));
    for (std::size_t i = 0; i < pools; ++i) {
        appendInteger(out, report.unreachedPools[i]);
    }
    return out;
}

base::Result<ReachReport> decodeReachReport(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes || !isReachReport(bytes)) {
        return malformedReport("no header of this version");
    }
    bytes.remove_prefix(1);
    ReachReport report;
    report.takesRequests = (takeInteger<std::uint8_t>(bytes) & TakesRequestsFlag) != 0;
    report.sender = takeInteger<std::uint64_t>(bytes);
    report.inflight = takeInteger<std::uint32_t>(bytes);
    const std::size_t pools = takeInteger<std::uint16_t>(bytes);
    std::string domain;
    std::string callers;
    if (pools > MaxReportedPools || !takeText(bytes, domain) || !takeText(bytes, callers) || bytes.size() != pools * sizeof(std::uint64_t)) {
        return malformedReport("a text or a pool is cut off, or there are too many");
    }
    const auto endpoint = config::parseEndpoint(callers);
    if (!endpoint) {
        return malformedReport("the callers' endpoint is not one");
    }
    report.domain = base::FailureDomain(domain);
    report.callers = endpoint.value();
    for (std::size_t i = 0; i < pools; ++i) {
        report.unreachedPools.push_back(takeInteger<std::uint64_t>(bytes));
    }
    return report;
}

bool isReachReport(std::string_view bytes)
{
    return !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == ReachReportVersion;
}

} // namespace carawaylatch::proxy
