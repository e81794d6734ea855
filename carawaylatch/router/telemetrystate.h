// Maps upstream states to those of metrics and status pages.
#pragma once

#include "carawaylatch/telemetry/metrics.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::router
{

// Returns the state that metrics and the status report show.
[[nodiscard]] telemetry::UpstreamState toTelemetryState(upstreams::UpstreamState state);

} // namespace carawaylatch::router
