// The operators' page: static HTML with inline SVG charts, rendered by the
// router.
//
// The page contains no script and loads no external resource. It refreshes with
// a meta tag every 5 seconds and its layout adapts to the width of a phone. All
// names are HTML-escaped, because they come from operators' tables and from
// other processes.
#pragma once

#include <string>

#include "carawaylatch/telemetry/dashboardseries.h"
#include "carawaylatch/telemetry/statusreport.h"

namespace carawaylatch::telemetry
{

// Returns the whole page as an HTML document.
[[nodiscard]] std::string renderDashboard(const StatusReport &report, const DashboardSeries &series);

} // namespace carawaylatch::telemetry
