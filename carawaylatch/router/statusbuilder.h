// Makes the status report out of the router's snapshots.
#pragma once

#include "carawaylatch/admission/gate.h"
#include "carawaylatch/router/knowledge.h"
#include "carawaylatch/router/published.h"
#include "carawaylatch/telemetry/metrics.h"
#include "carawaylatch/telemetry/statusreport.h"

namespace carawaylatch::router
{

// Parts that the report is made of.
struct StatusSources
{
    const Published &published;
    const Knowledge &knowledge;
    const admission::Gate &gate;
    const telemetry::Metrics &metrics;
    telemetry::RouterStatus self; // without what the snapshot holds
    double controlCoreShare = 0;
};

// Safe from any thread.
[[nodiscard]] telemetry::StatusReport buildStatus(const StatusSources &sources, base::TimePoint now);

} // namespace carawaylatch::router
