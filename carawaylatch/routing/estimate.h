// Estimates how long a request would wait at an upstream, from delayed load reports.
#pragma once

#include <cstdint>

#include "carawaylatch/base/time.h"
#include "carawaylatch/upstreams/inflight.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::routing
{

struct QueueEstimate
{
    double tokens = 0; // prompt tokens to compute ahead of a new request
    double requests = 0; // requests at the upstream
    base::Duration wait{};
    double tokensPerSecond = 0; // never zero
};

// Parameters of an estimate. Interactive requests overtake waiting batch work.
struct QueueQuery
{
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::uint32_t routers = 1; // routers assumed to send as much as this one
    double prefillCorrection = 1; // ratio of prompt work that responses reported to the predicted work
    base::TimePoint now;
};

// Corrects the last load report by the elapsed time and the requests sent since.
[[nodiscard]] QueueEstimate estimateQueue(const upstreams::UpstreamStatus &status, const upstreams::InflightCounts &own, const QueueQuery &query);

// Returns the time to compute `tokens` prompt tokens.
[[nodiscard]] base::Duration prefillTime(double tokens, const QueueEstimate &queue);

} // namespace carawaylatch::routing
