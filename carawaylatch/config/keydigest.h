// Digests of bearer keys. Tables and logs contain digests, never the keys.
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
