// CLOCK_BOOTTIME includes suspension. One atomic number is all that the threads share, so
// no lock is needed.
#include "carawaylatch/gateway/tableage.h"

#include <ctime>

namespace carawaylatch::gateway
{

base::Duration TableAge::bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return base::seconds{time.tv_sec} + base::Duration{time.tv_nsec};
}

void TableAge::confirm(base::Duration at)
{
    m_confirmedAt.store(at.count(), std::memory_order_relaxed);
}

base::Duration TableAge::age() const
{
    return bootTime() - base::Duration{m_confirmedAt.load(std::memory_order_relaxed)};
}

} // namespace carawaylatch::gateway
