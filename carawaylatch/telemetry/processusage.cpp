// Resource usage from getrusage(2), the thread clock and /proc/self/statm.
//
// The control plane's share of a core is computed from the processor time of the
// control thread, which is read on that thread. Resident memory is the second
// field of statm, in pages.
#include "carawaylatch/telemetry/processusage.h"

#include <ctime>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace carawaylatch::telemetry
{

namespace
{

base::Duration fromTimeval(const timeval &value)
{
    return base::seconds{value.tv_sec} + base::microseconds{value.tv_usec};
}

} // namespace

ProcessUsage readProcessUsage()
{
    ProcessUsage cost;
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        cost.processorTime = fromTimeval(usage.ru_utime) + fromTimeval(usage.ru_stime);
    }
    std::ifstream in("/proc/self/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    if (in >> size >> resident) {
        cost.residentBytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }
    return cost;
}

base::Duration readThreadProcessorTime()
{
    timespec time{};
    if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time) != 0) {
        return {};
    }
    return base::seconds{time.tv_sec} + base::Duration{time.tv_nsec};
}

} // namespace carawaylatch::telemetry
