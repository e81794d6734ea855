// Keys of a prompt's blocks.
//
// Key 0 is the hash of the first block under the salt, key i the hash of block i
// under key i-1. A key so names the whole prefix up to its block, and engines
// compute the same keys (docs/design/wire.md).
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::prefix
{

// Bytes of prompt in one token.
constexpr std::uint32_t BytesPerToken = 4;

// Returns the keys of all complete blocks in order.
[[nodiscard]] std::vector<std::uint64_t> blockHashChain(std::string_view prompt, base::CacheSalt salt, std::uint32_t blockBytes);

// Returns the number of tokens in a prompt.
[[nodiscard]] std::uint32_t promptTokens(std::string_view prompt);

} // namespace carawaylatch::prefix
