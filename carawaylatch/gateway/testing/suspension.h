// Clocks of a VM that was suspended, and clocks that only a test moves. The test program replaces
// clock_gettime() for both.
#pragma once

#include <boost/asio/io_context.hpp>

#include "carawaylatch/base/time.h"

namespace carawaylatch::gateway::testing
{

// While it exists, the clocks are those of a VM that was suspended for `time` in all: CLOCK_MONOTONIC omits
// that time, CLOCK_BOOTTIME and the time of day include it.
class Suspension
{
public:
    explicit Suspension(base::Duration time);
    ~Suspension();
    Suspension(const Suspension &) = delete;
    Suspension &operator=(const Suspension &) = delete;
};

// While it exists, CLOCK_MONOTONIC and CLOCK_BOOTTIME stand still until the test moves them, so that a verdict does not
// depend on the speed of the machine.
class SteppedClock
{
public:
    SteppedClock();
    ~SteppedClock();
    SteppedClock(const SteppedClock &) = delete;
    SteppedClock &operator=(const SteppedClock &) = delete;

    // Moves the clocks, and then runs what is due in the event loop.
    void step(boost::asio::io_context &loop, base::Duration time);
};

} // namespace carawaylatch::gateway::testing
