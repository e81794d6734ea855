// Simulates a VM that was suspended: CLOCK_MONOTONIC omits that time, CLOCK_BOOTTIME and
// the time of day include it. The test program replaces clock_gettime() for this.
#pragma once

#include "carawaylatch/base/time.h"

namespace carawaylatch::gateway::testing
{

// While it exists, the clocks are those of a VM that was suspended for `time` in all.
class Suspension
{
public:
    explicit Suspension(base::Duration time);
    ~Suspension();
    Suspension(const Suspension &) = delete;
    Suspension &operator=(const Suspension &) = delete;
};

} // namespace carawaylatch::gateway::testing
