// Formats values for the operators' page.
//
// Numbers get a unit that keeps them short, and one decimal place if they are
// below 100 and not whole.
#include "carawaylatch/telemetry/htmltext.h"

#include <array>
#include <cstdio>

namespace carawaylatch::telemetry
{

namespace
{

std::string formatNumber(double value, const char *unit)
{
    std::array<char, 64> buf{};
    const char *format = value >= 100 || value == static_cast<double>(static_cast<std::int64_t>(value)) ? "%.0f%s" : "%.1f%s";
    std::snprintf(buf.data(), buf.size(), format, value, unit);
    return buf.data();
}

} // namespace

std::string escapeHtml(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (const char it : text) {
        switch (it) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        case '\'':
            out += "&#39;";
            break;
        default:
            out += it;
        }
    }
    return out;
}

std::string durationText(base::Duration duration)
{
    const auto ms = base::toMilliseconds(duration);
    return ms < 1000 ? std::to_string(ms) + " ms" : formatNumber(base::toSeconds(duration), " s");
}

std::string uptimeText(base::Duration duration)
{
    const auto minutes = std::chrono::duration_cast<base::minutes>(duration).count();
    if (minutes == 0) {
        return std::to_string(std::chrono::duration_cast<base::seconds>(duration).count()) + " s";
    }
    if (minutes < 60) {
        return std::to_string(minutes) + " min";
    }
    const auto hours = minutes / 60;
    return hours < 48 ? std::to_string(hours) + " h " + std::to_string(minutes % 60) + " min" : std::to_string(hours / 24) + " d";
}

std::string countText(double count)
{
    if (count >= 1e9) {
        return formatNumber(count / 1e9, "G");
    }
    if (count >= 1e6) {
        return formatNumber(count / 1e6, "M");
    }
    return count >= 1e4 ? formatNumber(count / 1e3, "k") : formatNumber(count, "");
}

std::string bytesText(std::uint64_t bytes)
{
    const auto value = static_cast<double>(bytes);
    if (value >= 1e9) {
        return formatNumber(value / 1e9, " GB");
    }
    return value >= 1e6 ? formatNumber(value / 1e6, " MB") : formatNumber(value / 1e3, " kB");
}

std::string percentText(double share)
{
    return formatNumber(share * 100, "%");
}

} // namespace carawaylatch::telemetry
