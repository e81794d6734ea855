// Parts and formatting of promptparts.h.
#include "carawaylatch/proxy/promptparts.h"

#include <algorithm>
#include <charconv>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::proxy
{

std::span<const PromptPart> sharedParts(std::span<const PromptPart> parts)
{
    return parts.first(parts.empty() ? 0 : parts.size() - 1);
}

std::uint64_t requestFingerprint(const HttpRequestHead &head, const CallerRequest &request, const base::CustomerId &customer, std::string_view body)
{
    std::uint64_t hash = base::hash64(body);
    for (const std::string_view text : {std::string_view(head.method), std::string_view(request.host), std::string_view(head.target),
                                        std::string_view(customer.value()), std::string_view(request.model.value())}) {
        hash = base::combineHashes(hash, base::hash64(text));
    }
    for (const PromptPart &part : request.parts) {
        hash = base::combineHashes(hash, part.id);
    }
    return std::max<std::uint64_t>(hash, 1);
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
