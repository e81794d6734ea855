// Reads what the process costs: processor time and resident memory.
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

// Returns the cost of this process; zeros where the kernel gives none.
[[nodiscard]] ProcessUsage readProcessUsage();

// Returns the processor time of the calling thread, so that the control thread can report its own.
[[nodiscard]] base::Duration readThreadProcessorTime();

} // namespace carawaylatch::telemetry
