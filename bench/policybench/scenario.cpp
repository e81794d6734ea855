// The scenarios of the policy benchmark.
#include "bench/policybench/scenario.h"

namespace carawaylatch::bench
{

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> All{
        {.name = "calm"},
        {.name = "shift", .shiftsHotPrefixes = true},
        {.name = "crash", .crashesEngine = true},
        {.name = "event-loss", .losesEvents = true},
        {.name = "late-reports", .delaysReports = true},
        {.name = "router-restart", .restartsRouter = true},
        {.name = "domain-cut", .partitionsDomain = true},
        {.name = "overload", .overloads = true},
        {.name = "shift+late-reports", .shiftsHotPrefixes = true, .delaysReports = true, .isPair = true},
        {.name = "crash+event-loss", .crashesEngine = true, .losesEvents = true, .isPair = true},
        {.name = "domain-cut+router-restart", .restartsRouter = true, .partitionsDomain = true, .isPair = true},
        {.name = "overload+crash", .crashesEngine = true, .overloads = true, .isPair = true},
    };
    return All;
}

} // namespace carawaylatch::bench
