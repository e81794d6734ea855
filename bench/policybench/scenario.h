// The faults that a run injects. Any of them can be combined.
#pragma once

#include <string_view>
#include <vector>

namespace carawaylatch::bench
{

struct Scenario
{
    std::string_view name;
    bool shiftsHotPrefixes = false;
    bool crashesEngine = false;
    bool losesEvents = false; // one of eight cache events
    bool delaysReports = false; // load reports, by 2 s
    bool restartsRouter = false;
    bool partitionsDomain = false;
    bool overloads = false; // multiplies the request rate by Workload::overload
    bool isPair = false;
};

// Calm, each fault alone, and pairs of faults.
[[nodiscard]] const std::vector<Scenario> &scenarios();

} // namespace carawaylatch::bench
