// Clocks, and conversions between durations and numbers.
#include "carawaylatch/base/time.h"

#include <cstdio>
#include <ctime>

#include <algorithm>

namespace carawaylatch::base
{

std::int64_t toMilliseconds(Duration duration)
{
    return std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(duration).count());
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

Duration fromMilliseconds(double count)
{
    return fromSeconds(count / 1000);
}

std::string formatSeconds(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", toSeconds(duration));
    return text;
}

std::string formatMilliseconds(Duration duration)
{
    constexpr double MillisecondsInSecond = 1000;
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", toSeconds(duration) * MillisecondsInSecond);
    return text;
}

// CLOCK_MONOTONIC omits the time for which the system is suspended. A lease or a deadline ends meanwhile all the same.
TimePoint SteadyClock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint{seconds{time.tv_sec} + Duration{time.tv_nsec}};
}

TimePoint ManualClock::now() const
{
    return m_now;
}

void ManualClock::advance(Duration duration)
{
    m_now += duration;
}

void ManualClock::set(TimePoint now)
{
    m_now = now;
}

} // namespace carawaylatch::base
