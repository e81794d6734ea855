// Text forms of prompt parts for logs.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "carawaylatch/proxy/dialect.h"

namespace carawaylatch::proxy
{

// The id of a part in hexadecimal, as callers write it.
[[nodiscard]] std::string formatPartId(std::uint64_t id);
// Ids of all parts but the last, separated by commas; "-" if there are none.
[[nodiscard]] std::string formatSharedParts(std::span<const PromptPart> parts);

} // namespace carawaylatch::proxy
