// The operators' page: plain HTML with SVG charts, made by the router itself.
//
// It holds no script and loads nothing; it refreshes by a meta tag and reads
// well at the width of a phone. All names are escaped.
#pragma once

#include <string>

#include "carawaylatch/telemetry/dashboardseries.h"
#include "carawaylatch/telemetry/statusreport.h"

namespace carawaylatch::telemetry
{

// Returns the whole page.
[[nodiscard]] std::string renderDashboard(const StatusReport &report, const DashboardSeries &series);

} // namespace carawaylatch::telemetry
