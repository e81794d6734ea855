// Digests of bearer keys, so that tables and logs never hold a key.
#pragma once

#include <string>
#include <string_view>

namespace carawaylatch::config
{

// Hex digits of a digest.
constexpr std::size_t KeyDigestDigits = 32;

// Returns the first KeyDigestDigits hex digits of the key's SHA-256.
[[nodiscard]] std::string keyDigest(std::string_view key);

} // namespace carawaylatch::config
