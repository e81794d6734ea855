// Hash keys of a prompt's blocks.
//
// Key 0 is the hash of the first block seeded with the salt; key i is the hash of block
// i seeded with key i-1. A key thus identifies the whole prefix up to its block, and
// engines compute the same keys (docs/design/wire.md).
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::prefix
{

// Prompt bytes per token.
constexpr std::uint32_t BytesPerToken = 4;

// Returns the keys of all complete blocks, in order.
[[nodiscard]] std::vector<std::uint64_t> blockHashChain(std::string_view prompt, base::CacheSalt salt, std::uint32_t blockBytes);

// Returns the number of tokens of a prompt.
[[nodiscard]] std::uint32_t promptTokens(std::string_view prompt);

} // namespace carawaylatch::prefix
