// What requests have in common with others: the shared parts of their prompts, or all of it. Text forms for logs.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "carawaylatch/proxy/dialect.h"

namespace carawaylatch::proxy
{

// All parts but the last, which belongs to one request alone.
[[nodiscard]] std::span<const PromptPart> sharedParts(std::span<const PromptPart> parts);
// Equal for requests with the same method, host, path, customer, prompt and body, whatever their ids and deadlines
// are; never zero.
[[nodiscard]] std::uint64_t requestFingerprint(const HttpRequestHead &head, const CallerRequest &request, const base::CustomerId &customer,
                                               std::string_view body);
// The id of a part in hexadecimal, as callers write it; also used for fingerprints.
[[nodiscard]] std::string formatPartId(std::uint64_t id);
// Ids of the shared parts, separated by commas; "-" if there are none.
[[nodiscard]] std::string formatSharedParts(std::span<const PromptPart> parts);

} // namespace carawaylatch::proxy
