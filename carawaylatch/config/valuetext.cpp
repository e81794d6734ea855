// Parsing and formatting of single values. Numbers use std::from_chars, which doesn't
// depend on the locale; trailing characters are an error.
#include "carawaylatch/config/valuetext.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace carawaylatch::config
{

using base::Duration;
using base::Result;

namespace
{

constexpr std::size_t MaxNameBytes = 40;

struct DurationUnit
{
    std::string_view name;
    Duration length;
};

// In descending order, so that formatDuration() uses the largest unit that divides the value.
constexpr std::array DurationUnits{
    DurationUnit{"h", base::hours{1}},         DurationUnit{"m", base::minutes{1}},       DurationUnit{"s", base::seconds{1}},
    DurationUnit{"ms", base::milliseconds{1}}, DurationUnit{"us", base::microseconds{1}},
};

base::Error invalid(std::string message)
{
    return base::fail(base::ErrorKind::InvalidArgument, std::move(message));
}

} // namespace

std::string_view trimmed(std::string_view text)
{
    const auto start = text.find_first_not_of(" \t");
    if (start == std::string_view::npos) {
        return {};
    }
    return text.substr(start, text.find_last_not_of(" \t") - start + 1);
}

std::vector<std::string_view> splitList(std::string_view text)
{
    std::vector<std::string_view> parts;
    if (trimmed(text).empty()) {
        return parts;
    }
    for (std::size_t start = 0; start <= text.size();) {
        const auto end = std::min(text.find(',', start), text.size());
        parts.push_back(trimmed(text.substr(start, end - start)));
        start = end + 1;
    }
    return parts;
}

std::vector<std::string_view> splitWords(std::string_view text)
{
    std::vector<std::string_view> words;
    for (std::size_t start = text.find_first_not_of(" \t"); start != std::string_view::npos;) {
        const auto end = std::min(text.find_first_of(" \t", start), text.size());
        words.push_back(text.substr(start, end - start));
        start = text.find_first_not_of(" \t", end);
    }
    return words;
}

Result<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) {
        return invalid("'" + std::string(text) + "' is not a whole number; write digits only, such as 512");
    }
    return value;
}

Result<double> parseFraction(std::string_view text)
{
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (text.empty() || ec != std::errc{} || end != text.data() + text.size() || !std::isfinite(value) || std::signbit(value)) {
        return invalid("'" + std::string(text) + "' is not a number of zero or more; write one such as 2.5");
    }
    return value;
}

std::string formatFraction(double value)
{
    std::array<char, 400> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value, std::chars_format::fixed);
    return ec == std::errc{} ? std::string(buf.data(), end) : std::string("0");
}

Result<Duration> parseDuration(std::string_view text)
{
    std::uint64_t count = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
    const std::string_view unit(end, text.data() + text.size() - end);
    const auto it = std::find_if(DurationUnits.begin(), DurationUnits.end(), [unit](const DurationUnit &candidate) {
        return candidate.name == unit;
    });
    if (ec != std::errc{} || it == DurationUnits.end()) {
        return invalid("'" + std::string(text) + "' is not a duration; write a whole number and a unit of us, ms, s, m or h, such as 250ms");
    }
    if (count > static_cast<std::uint64_t>(Duration::max() / it->length)) {
        return invalid("'" + std::string(text) + "' is too long; write a duration below 100 years");
    }
    return it->length * static_cast<std::int64_t>(count);
}

std::string formatDuration(Duration duration)
{
    if (duration == Duration::zero()) {
        return "0s";
    }
    for (const auto &it : DurationUnits) {
        if (duration % it.length == Duration::zero()) {
            return std::to_string(duration / it.length) + std::string(it.name);
        }
    }
    return std::to_string(duration / base::microseconds{1}) + "us";
}

Result<std::string> parseAddress(std::string_view text)
{
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    const std::string address(text);
    if (inet_pton(AF_INET, address.c_str(), buf.data()) != 1 && inet_pton(AF_INET6, address.c_str(), buf.data()) != 1) {
        return invalid("'" + address + "' is not an IP address; write one such as 10.0.0.1");
    }
    return address;
}

Result<base::Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    } else if (address.find(':') != std::string_view::npos) {
        return invalid("'" + std::string(text) + "' is not an endpoint; write an IPv6 address in brackets, such as [::1]:8080");
    }
    const auto port = colon == std::string_view::npos ? Result<std::uint64_t>(std::uint64_t{0}) : parseNumber(text.substr(colon + 1));
    const auto checked = parseAddress(address);
    if (!port || !checked || port.value() == 0 || port.value() > UINT16_MAX) {
        return invalid("'" + std::string(text) + "' is not an endpoint; write IP address and port, such as 10.0.0.1:8080");
    }
    return base::Endpoint{checked.value(), static_cast<std::uint16_t>(port.value())};
}

std::string formatEndpoint(const base::Endpoint &endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    return (isV6 ? '[' + endpoint.address + ']' : endpoint.address) + ':' + std::to_string(endpoint.port);
}

Result<std::string> parseName(std::string_view text)
{
    const bool isPlain = std::all_of(text.begin(), text.end(), [](char it) {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') || it == '.' || it == '_' || it == '-';
    });
    if (text.empty() || text.size() > MaxNameBytes || !isPlain) {
        return invalid("'" + std::string(text.substr(0, MaxNameBytes)) + "' is not a name; write 1 to 40 letters, digits, '.', '_' or '-'");
    }
    return std::string(text);
}

} // namespace carawaylatch::config
