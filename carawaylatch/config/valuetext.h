// Parsers and formatters for the values in settings and tables.
//
// Parsers return InvalidArgument with a message that describes the valid form; the
// caller prepends file, line and key. Formatters return text that parses back to
// the same value.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::config
{

// "250ms", "3s", "2m", "1h"; the unit is required, also for zero.
[[nodiscard]] base::Result<base::Duration> parseDuration(std::string_view text);
[[nodiscard]] std::string formatDuration(base::Duration duration);

// A whole decimal number.
[[nodiscard]] base::Result<std::uint64_t> parseNumber(std::string_view text);

// A decimal fraction without exponent, zero or more.
[[nodiscard]] base::Result<double> parseFraction(std::string_view text);
[[nodiscard]] std::string formatFraction(double value);

// "10.0.0.1:8080" or "[::1]:8080"; host names are not resolved.
[[nodiscard]] base::Result<base::Endpoint> parseEndpoint(std::string_view text);
[[nodiscard]] std::string formatEndpoint(const base::Endpoint &endpoint);

// An IPv4 or IPv6 address.
[[nodiscard]] base::Result<std::string> parseAddress(std::string_view text);

// A name: letters, digits, '.', '_' and '-', at most 40 bytes.
[[nodiscard]] base::Result<std::string> parseName(std::string_view text);

// Returns the items between commas, trimmed; none for an empty text.
[[nodiscard]] std::vector<std::string_view> splitList(std::string_view text);
// Returns the words between spaces and tabs.
[[nodiscard]] std::vector<std::string_view> splitWords(std::string_view text);
// Returns the text without leading and trailing spaces and tabs.
[[nodiscard]] std::string_view trimmed(std::string_view text);

} // namespace carawaylatch::config
