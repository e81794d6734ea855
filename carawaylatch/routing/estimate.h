// What a request would wait for at an upstream, from lagging knowledge.
#pragma once

#include <cstdint>

#include "carawaylatch/base/time.h"
#include "carawaylatch/upstreams/inflight.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::routing
{

struct QueueEstimate
{
    double tokens = 0; // prompt tokens to compute before a new request
    double requests = 0; // requests at the upstream
    base::Duration wait{};
    double tokensPerSecond = 0; // never zero
};

// Who asks: interactive requests pass waiting batch work.
struct QueueQuery
{
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::uint32_t routers = 1; // that are taken to send as much as this one does
    double prefillCorrection = 1; // prompt work that answers needed over what was predicted
    base::TimePoint now;
};

// Corrects the last report by the time that passed and by what was sent since.
[[nodiscard]] QueueEstimate estimateQueue(const upstreams::UpstreamStatus &status, const upstreams::InflightCounts &own, const QueueQuery &query);

// Returns the time to compute that many prompt tokens.
[[nodiscard]] base::Duration prefillTime(double tokens, const QueueEstimate &queue);

} // namespace carawaylatch::routing
