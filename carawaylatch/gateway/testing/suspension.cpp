// The definition of clock_gettime() here precedes that of the C library.
#include "carawaylatch/gateway/testing/suspension.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace
{

std::atomic<std::int64_t> suspendedNanoseconds = 0;

} // namespace

extern "C" int clock_gettime(clockid_t id, timespec *time) noexcept
{
    constexpr std::int64_t NanosecondsInSecond = 1'000'000'000;
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, id, time));
    if (result == 0 && id == CLOCK_MONOTONIC) {
        const std::int64_t nanoseconds = time->tv_sec * NanosecondsInSecond + time->tv_nsec - suspendedNanoseconds;
        time->tv_sec = nanoseconds / NanosecondsInSecond;
        time->tv_nsec = nanoseconds % NanosecondsInSecond;
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

} // namespace carawaylatch::gateway::testing
