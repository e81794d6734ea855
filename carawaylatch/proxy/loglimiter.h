// Limits a log line to one for each subject and interval.
//
// Handles a subject, for example an upstream, whose every response causes the same line.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

class LogLimiter
{
public:
    static constexpr base::Duration Interval = base::minutes{1};
    // Far more than the upstreams of a fleet. Further subjects are not logged until others are older than Interval.
    static constexpr std::size_t MaxSubjects = 1024;

    // True if the subject's line may be written now; it then counts as written.
    [[nodiscard]] bool mayLog(std::uint64_t subject, base::TimePoint now);

private:
    std::unordered_map<std::uint64_t, base::TimePoint> m_loggedAt; // at most MaxSubjects
};

} // namespace carawaylatch::proxy
