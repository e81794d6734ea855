// Upstreams to which prompts with a shared prefix were sent, by this or another router.
//
// Engines compute the KV cache of a long prefix slowly, but transfer it quickly to each
// other. A state machine of the traffic thread without I/O; when a new key would exceed
// MaxKeys, all entries are dropped.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

class PrefixPlacements
{
public:
    static constexpr std::size_t MaxKeys = 16'384; // about 2 MB
    static constexpr std::size_t MaxUpstreamsPerKey = 4; // the least recently used one is replaced
    // A prompt sent this long ago has been processed: twice the prefill time of a long one.
    static constexpr base::Duration PrefillTime = base::milliseconds{350};
    // Engines under load evict entries that have not been used for longer.
    static constexpr base::Duration RetentionTime = base::seconds{2};

    // A prompt with this key (see kvCacheKey()) was sent to the upstream with this id hash.
    void onPromptSent(std::uint64_t cacheKey, std::uint64_t upstream, base::TimePoint now);
    // True if a prompt with this key was sent to the upstream recently: it holds the prefix or is computing it.
    [[nodiscard]] bool isLikelyCached(std::uint64_t cacheKey, std::uint64_t upstream, base::TimePoint now) const;
    // True if a prompt with this key was sent to any upstream.
    [[nodiscard]] bool contains(std::uint64_t cacheKey) const;
    // The most recently used upstream that is likely to hold the prefix now and for
    // which `isUsable` returns true.
    [[nodiscard]] std::optional<std::uint64_t> findHolder(std::uint64_t cacheKey, base::TimePoint now,
                                                          const std::function<bool(std::uint64_t upstream)> &isUsable) const;

private:
    struct Placement
    {
        std::uint64_t upstream = 0; // hash of its id; zero: none
        base::TimePoint firstAt;
        base::TimePoint lastAt;
    };

    std::unordered_map<std::uint64_t, std::array<Placement, MaxUpstreamsPerKey>> m_placements; // most recently used first
};

} // namespace carawaylatch::proxy
