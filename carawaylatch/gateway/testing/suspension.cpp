// The definition of clock_gettime() here precedes that of the C library.
#include "carawaylatch/gateway/testing/suspension.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace
{

constexpr std::int64_t NanosecondsInSecond = 1'000'000'000;

std::atomic<std::int64_t> suspendedNanoseconds = 0;
std::atomic<std::int64_t> steppedNanoseconds = 0; // zero: the clocks are the system's

void setTime(timespec &time, std::int64_t nanoseconds)
{
    time.tv_sec = nanoseconds / NanosecondsInSecond;
    time.tv_nsec = nanoseconds % NanosecondsInSecond;
}

} // namespace

extern "C" int clock_gettime(clockid_t id, timespec *time) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, id, time));
    if (result == 0 && steppedNanoseconds != 0 && (id == CLOCK_MONOTONIC || id == CLOCK_BOOTTIME)) {
        setTime(*time, steppedNanoseconds);
    } else if (result == 0 && id == CLOCK_MONOTONIC) {
        setTime(*time, time->tv_sec * NanosecondsInSecond + time->tv_nsec - suspendedNanoseconds);
    }
    return result;
}

namespace carawaylatch::gateway::testing
{

Suspension::Suspension(base::Duration time)
{
    suspendedNanoseconds = time.count();
}

Suspension::~Suspension()
{
    suspendedNanoseconds = 0;
}

SteppedClock::SteppedClock()
{
    steppedNanoseconds = base::SteadyClock().now().time_since_epoch().count();
}

SteppedClock::~SteppedClock()
{
    steppedNanoseconds = 0;
}

void SteppedClock::step(boost::asio::io_context &loop, base::Duration time)
{
    steppedNanoseconds += time.count();
    // The event loop waits for its earliest timer by the system's clock. One that is earlier than all others makes it look at
    // all of them.
    boost::asio::steady_timer earliest(loop, boost::asio::steady_timer::time_point::min());
    bool isLooked = false;
    earliest.async_wait([&isLooked](const boost::system::error_code &) {
        isLooked = true;
    });
    loop.restart();
    while (!isLooked) {
        loop.run_one();
    }
    loop.poll();
}

} // namespace carawaylatch::gateway::testing
