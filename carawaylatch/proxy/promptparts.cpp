// Parts and formatting of promptparts.h.
#include "carawaylatch/proxy/promptparts.h"

#include <charconv>

namespace carawaylatch::proxy
{

std::span<const PromptPart> sharedParts(std::span<const PromptPart> parts)
{
    return parts.first(parts.empty() ? 0 : parts.size() - 1);
}

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
    for (const PromptPart &part : sharedParts(parts)) {
        out.append(out.empty() ? "" : ",").append(formatPartId(part.id));
    }
    return out.empty() ? "-" : out;
}

} // namespace carawaylatch::proxy
