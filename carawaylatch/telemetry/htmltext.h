// Text functions of the operators' page: HTML escaping and values with units.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "carawaylatch/base/time.h"

namespace carawaylatch::telemetry
{

// Returns the text with &, <, >, " and ' replaced by character references.
[[nodiscard]] std::string escapeHtml(std::string_view text);

// Format a value with its unit, such as "84 ms", "1.3 s", "2 h 5 min", "12.4k", "78 MB", "93%".
[[nodiscard]] std::string durationText(base::Duration duration);
[[nodiscard]] std::string uptimeText(base::Duration duration);
[[nodiscard]] std::string countText(double count);
[[nodiscard]] std::string bytesText(std::uint64_t bytes);
[[nodiscard]] std::string percentText(double share); // share is 0 to 1

} // namespace carawaylatch::telemetry
