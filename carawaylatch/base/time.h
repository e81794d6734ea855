// Time as every part sees it.
//
// State machines read no clock: they take `now` as an argument. Only daemons,
// transports and the control loop hold a Clock, and tests hold a ManualClock.
// All times are monotonic; wall time appears in logs and in stored records
// alone, never in a decision.
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

// Returns the whole milliseconds of a duration, rounded up, never negative.
[[nodiscard]] std::int64_t toMilliseconds(Duration duration);

// Returns a duration in seconds as a floating point number.
[[nodiscard]] double toSeconds(Duration duration);

// Returns the duration nearest to a count of seconds or milliseconds.
[[nodiscard]] Duration fromSeconds(double count);
[[nodiscard]] Duration fromMilliseconds(double count);

// Returns a duration as decimal text: seconds to a thousandth, milliseconds to a tenth.
[[nodiscard]] std::string formatSeconds(Duration duration);
[[nodiscard]] std::string formatMilliseconds(Duration duration);

// A source of monotonic time.
class Clock
{
public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
};

// The machine's monotonic clock. Safe for use from any thread.
class SteadyClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
};

// A clock that stands until it is moved, for tests and virtual time.
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
