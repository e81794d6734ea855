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

// Corrects the last report by the time that passed and by what was sent since.
// `routers` routers are taken to send as much as this one does.
[[nodiscard]] QueueEstimate estimateQueue(const upstreams::UpstreamStatus &status, const upstreams::InflightCounts &own, std::uint32_t routers,
                                          base::TimePoint now);

// Returns the time to compute that many prompt tokens.
[[nodiscard]] base::Duration prefillTime(double tokens, const QueueEstimate &queue);

} // namespace carawaylatch::routing
