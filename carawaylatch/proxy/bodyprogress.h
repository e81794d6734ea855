// The pace at which the body of a response arrives, and whether it is fast enough.
//
// Only recent bytes count, so that neither a quick beginning nor a byte now and then passes for progress.
#pragma once

#include <cstdint>
#include <optional>

#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

class BodyProgress
{
public:
    void onBytes(std::uint64_t n, base::TimePoint now);
    // True if the body makes progress: one of a known length ends within `timeLeft` at its pace, any other one
    // arrives at MinBytesPerSecond.
    [[nodiscard]] bool isInTime(std::optional<std::uint64_t> length, base::Duration timeLeft, base::TimePoint now) const;

    static constexpr double MinBytesPerSecond = 8'192;

private:
    struct Mark
    {
        base::TimePoint at;
        std::uint64_t bytes = 0; // received before
    };
    // The pace is that of the last one to two intervals.
    static constexpr base::Duration Interval = base::milliseconds{600};

    std::uint64_t m_received = 0;
    Mark m_from; // the pace counts from here
    Mark m_next; // at least an interval after it, or the same
};

} // namespace carawaylatch::proxy
