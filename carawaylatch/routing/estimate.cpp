// Queue estimates.
//
//   queue = max( reported + routers * sentSince - rate * age,  ownWaiting )
//
// The report says what stood at the upstream `age` ago. Since then it computed at
// most rate * age, and got what the routers sent. This router knows its own part
// without lag; the others' part is taken to be like its own, since the balancer
// spreads callers evenly. Counting the others too is what keeps routers that all
// read "idle" from sending there together. Own requests that still wait for their
// first token are there for certain, whatever the report says.
#include "carawaylatch/routing/estimate.h"

#include <algorithm>

namespace carawaylatch::routing
{

namespace
{
constexpr double DefaultTokensPerSecond = 10'000; // until an upstream reported its own
} // namespace

QueueEstimate estimateQueue(const upstreams::UpstreamStatus &status, const upstreams::InflightCounts &own, std::uint32_t routers, base::TimePoint now)
{
    QueueEstimate queue;
    queue.tokensPerSecond = status.load.prefillTokensPerSecond > 0 ? status.load.prefillTokensPerSecond : DefaultTokensPerSecond;
    const double age = std::max(0.0, base::toSeconds(now - status.loadAt));
    const double sent = static_cast<double>(own.tokensSince) * std::max(1U, routers);
    const double corrected = static_cast<double>(status.load.queuedTokens) + sent - queue.tokensPerSecond * age;
    queue.tokens = std::max(corrected, static_cast<double>(own.tokensBeforeFirst));
    queue.requests = status.load.running + status.load.waiting + static_cast<double>(own.requestsSince) * std::max(1U, routers);
    queue.wait = prefillTime(queue.tokens, queue);
    return queue;
}

base::Duration prefillTime(double tokens, const QueueEstimate &queue)
{
    return base::fromSeconds(std::max(0.0, tokens) / queue.tokensPerSecond);
}

} // namespace carawaylatch::routing
