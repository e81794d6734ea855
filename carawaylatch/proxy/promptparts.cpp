// Formatting of promptparts.h.
#include "carawaylatch/proxy/promptparts.h"

#include <charconv>

namespace carawaylatch::proxy
{

std::string formatPartId(std::uint64_t id)
{
    constexpr int HexadecimalBase = 16;
    char digits[sizeof id * 2];
    const auto [end, ec] = std::to_chars(digits, digits + sizeof digits, id, HexadecimalBase);
    return {digits, end};
}

std::string formatSharedParts(std::span<const PromptPart> parts)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        out.append(i == 0 ? "" : ",").append(formatPartId(parts[i].id));
    }
    return out.empty() ? "-" : out;
}

} // namespace carawaylatch::proxy
