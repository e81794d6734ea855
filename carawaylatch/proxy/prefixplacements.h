// Which upstreams were sent a prompt's shared parts, by this router or another.
//
// The load it answers: prompts that share long parts, on engines that read them
// slowly and pass them on quickly. A state machine of the traffic thread without
// I/O; bounded by MaxKeys, beyond which all are forgotten.
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
    static constexpr std::size_t MaxKeys = 16'384; // about two megabytes
    static constexpr std::size_t MaxUpstreamsPerKey = 4; // upstreams remembered for each state
    // A prompt that was sent this long ago has been read: twice the reading of a long one.
    static constexpr base::Duration PrefillTime = base::milliseconds{350};
    // Engines under load evict what was not used for longer.
    static constexpr base::Duration RetentionTime = base::seconds{2};

    // A prompt of this state (see kvCacheKey()) was sent to the upstream of this key.
    void onPromptSent(std::uint64_t cacheKey, std::uint64_t upstream, base::TimePoint now);
    // True if the upstream was sent the prompt of late: it holds the parts, or reads them now.
    [[nodiscard]] bool isLikelyCached(std::uint64_t cacheKey, std::uint64_t upstream, base::TimePoint now) const;
    // True if any upstream was sent the prompt.
    [[nodiscard]] bool contains(std::uint64_t cacheKey) const;
    // The upstream among those that pass `isUsable` which was sent the prompt last and
    // is likely to hold it now.
    [[nodiscard]] std::optional<std::uint64_t> findHolder(std::uint64_t cacheKey, base::TimePoint now,
                                                          const std::function<bool(std::uint64_t upstream)> &isUsable) const;

private:
    struct Placement
    {
        std::uint64_t upstream = 0; // its key; zero: none
        base::TimePoint firstAt;
        base::TimePoint lastAt;
    };

    std::unordered_map<std::uint64_t, std::array<Placement, MaxUpstreamsPerKey>> m_placements; // latest first
};

} // namespace carawaylatch::proxy
