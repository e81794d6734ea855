// Reads the resource usage of the process: processor time and resident memory.
#pragma once

#include <cstdint>

#include "carawaylatch/base/time.h"

namespace carawaylatch::telemetry
{

struct ProcessUsage
{
    base::Duration processorTime{}; // user and system time of all threads since the start
    std::uint64_t residentBytes = 0;
};

// Returns the usage of this process; a value that can't be read is zero.
[[nodiscard]] ProcessUsage readProcessUsage();

// Returns the processor time of the calling thread, with which the control thread
// reports its own; zero if it can't be read.
[[nodiscard]] base::Duration readThreadProcessorTime();

} // namespace carawaylatch::telemetry
