// Parses the request headers for the API key, traffic class, deadline and request id.
#include "carawaylatch/http/callerrequest.h"

#include <httplib.h>

#include <algorithm>
#include <cctype>
#include <charconv>

#include "carawaylatch/http/callerjson.h"

namespace carawaylatch::http
{

namespace
{

constexpr std::uint64_t MaxDeadlineMilliseconds = 3'600'000;
constexpr std::size_t MaxRequestIdLength = 128;

std::string parseBearerKey(const httplib::Request &request)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string value = request.get_header_value("Authorization");
    return value.starts_with(Scheme) ? value.substr(Scheme.size()) : std::string();
}

bool isValidRequestId(std::string_view text)
{
    return !text.empty() && text.size() <= MaxRequestIdLength && std::all_of(text.begin(), text.end(), [](char it) {
        return std::isalnum(static_cast<unsigned char>(it)) != 0 || it == '-' || it == '_' || it == '.';
    });
}

base::Result<base::TrafficClass> parseTrafficClass(const httplib::Request &request)
{
    const std::string name = request.get_header_value("X-Traffic-Class");
    if (name.empty() || name == "interactive") {
        return base::TrafficClass::Interactive;
    }
    if (name == "batch") {
        return base::TrafficClass::Batch;
    }
    return base::fail(base::ErrorKind::InvalidArgument, "X-Traffic-Class is '" + name + "'; write interactive or batch");
}

base::Result<std::optional<base::Duration>> parseDeadline(const httplib::Request &request)
{
    if (!request.has_header("X-Deadline-Ms")) {
        return std::optional<base::Duration>();
    }
    const std::string text = request.get_header_value("X-Deadline-Ms");
    std::uint64_t milliseconds = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (ec != std::errc{} || end != text.data() + text.size() || milliseconds == 0 || milliseconds > MaxDeadlineMilliseconds) {
        return base::fail(base::ErrorKind::InvalidArgument,
                          "X-Deadline-Ms is '" + text + "'; write whole milliseconds from 1 to " + std::to_string(MaxDeadlineMilliseconds));
    }
    return std::optional<base::Duration>(base::milliseconds{milliseconds});
}

} // namespace

base::Result<RequestMetadata> readRequestMetadata(const httplib::Request &request)
{
    RequestMetadata metadata;
    const std::string requestId = request.get_header_value("X-Request-Id");
    metadata.requestId = isValidRequestId(requestId) ? requestId : std::string();
    metadata.bearerKey = parseBearerKey(request);
    metadata.path = request.path;
    BOOST_OUTCOME_TRY(trafficClass, parseTrafficClass(request));
    BOOST_OUTCOME_TRY(deadline, parseDeadline(request));
    metadata.trafficClass = trafficClass;
    metadata.deadline = deadline;
    return metadata;
}

void respondWithError(httplib::Response &response, const base::Error &error)
{
    response.status = httpStatus(error.kind);
    if (error.retryAfter > base::Duration{}) {
        const auto wait = std::chrono::ceil<base::seconds>(error.retryAfter);
        response.set_header("Retry-After", std::to_string(wait.count()));
    }
    response.set_content(encodeError(error), "application/json");
}

} // namespace carawaylatch::http
