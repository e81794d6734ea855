// One atomic number is all that the threads share, so no lock is needed.
#include "carawaylatch/gateway/tableage.h"

namespace carawaylatch::gateway
{

base::Duration TableAge::bootTime()
{
    return base::SteadyClock().now().time_since_epoch();
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
