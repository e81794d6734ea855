// Parts that a prompt shares with others, and their text forms for logs.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "carawaylatch/proxy/dialect.h"

namespace carawaylatch::proxy
{

// All parts but the last, which belongs to one request alone.
[[nodiscard]] std::span<const PromptPart> sharedParts(std::span<const PromptPart> parts);
// The id of a part in hexadecimal, as callers write it.
[[nodiscard]] std::string formatPartId(std::uint64_t id);
// Ids of the shared parts, separated by commas; "-" if there are none.
[[nodiscard]] std::string formatSharedParts(std::span<const PromptPart> parts);

} // namespace carawaylatch::proxy
