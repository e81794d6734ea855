// Clocks and conversions between durations and plain numbers.
#include "carawaylatch/base/time.h"

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

TimePoint SteadyClock::now() const
{
    return std::chrono::steady_clock::now();
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
