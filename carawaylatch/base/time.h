// Clocks, time points and durations.
//
// State machines read no clock; they take `now` as an argument. Only daemons,
// transports and event loops use a Clock; tests use a ManualClock. All times are
// monotonic. Wall time appears only in logs, stored records and incarnation
// numbers; no timeout or other decision is based on it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace carawaylatch::base
{

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Returns a duration in milliseconds, rounded up; zero for a negative duration.
[[nodiscard]] std::int64_t toMilliseconds(Duration duration);

// Returns a duration in seconds.
[[nodiscard]] double toSeconds(Duration duration);

// Return the duration of a number of seconds or milliseconds, truncated to nanoseconds.
[[nodiscard]] Duration fromSeconds(double count);
[[nodiscard]] Duration fromMilliseconds(double count);

// Format a duration without a unit: seconds with three decimals, milliseconds with one.
[[nodiscard]] std::string formatSeconds(Duration duration);
[[nodiscard]] std::string formatMilliseconds(Duration duration);

// A source of monotonic time.
class Clock
{
public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
};

// The system's monotonic clock; it includes time in which the system was suspended. Safe from any thread.
class SteadyClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
};

// A clock that advances only when told to, for tests and simulations. Not thread-safe.
class ManualClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
    void advance(Duration duration);
    void set(TimePoint now);

private:
    TimePoint m_now = TimePoint{hours{1}};
};

} // namespace carawaylatch::base
