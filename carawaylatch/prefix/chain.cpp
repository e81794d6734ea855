// Hash chain over a prompt's blocks; see docs/design/wire.md.
#include "carawaylatch/prefix/chain.h"

#include "carawaylatch/base/hash.h"

namespace carawaylatch::prefix
{

std::vector<std::uint64_t> blockHashChain(std::string_view prompt, base::CacheSalt salt, std::uint32_t blockBytes)
{
    std::vector<std::uint64_t> keys;
    if (blockBytes == 0) {
        return keys;
    }
    keys.reserve(prompt.size() / blockBytes);
    std::uint64_t previous = salt.value;
    while (prompt.size() >= blockBytes) {
        previous = base::hash64(prompt.substr(0, blockBytes), previous);
        keys.push_back(previous);
        prompt.remove_prefix(blockBytes);
    }
    return keys;
}

std::uint32_t promptTokens(std::string_view prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + BytesPerToken - 1) / BytesPerToken);
}

} // namespace carawaylatch::prefix
