// CLOCK_BOOTTIME includes suspension, CLOCK_MONOTONIC omits it.
#include "carawaylatch/base/suspendedtime.h"

#include <ctime>

namespace carawaylatch::base
{

namespace
{

Duration readClock(clockid_t id)
{
    timespec time{};
    clock_gettime(id, &time);
    return seconds{time.tv_sec} + Duration{time.tv_nsec};
}

} // namespace

Duration suspendedTime()
{
    return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

} // namespace carawaylatch::base
