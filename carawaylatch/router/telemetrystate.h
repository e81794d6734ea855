// The state of an upstream in the words of metrics and status pages.
#pragma once

#include "carawaylatch/telemetry/metrics.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::router
{

// Returns the state that operators are shown.
[[nodiscard]] telemetry::UpstreamState toTelemetryState(upstreams::UpstreamState state);

} // namespace carawaylatch::router
