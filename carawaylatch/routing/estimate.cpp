// Queue estimates.
//
//   queue = max( reported + routers * sentSince - rate * age,  ownWaitingTokens )
//
// The load report states the upstream's queue `age` ago. Since then the upstream
// computed at most rate * age and received what the routers sent. This router knows
// its own requests without delay; the other routers are assumed to send as much,
// since the load balancer spreads callers evenly. Without counting them, all routers
// that see an idle upstream would send to it at the same time. Own requests that wait
// for their first token are certainly queued, whatever the report states.
//
// Both terms count the prompt tokens that were missing when a request was sent. Under
// load some of its prefix is evicted before it is processed, so the sum is multiplied
// by the ratio of actual to predicted prompt work.
//
// Load reports do not distinguish traffic classes. Interactive requests overtake batch
// work, so the batch part of the queue, taken from this router's own waiting requests,
// is not counted for them; otherwise a long batch queue would cause all interactive
// requests to be refused.
#include "carawaylatch/routing/estimate.h"

#include <algorithm>

namespace carawaylatch::routing
{

namespace
{
constexpr double DefaultTokensPerSecond = 10'000; // until the upstream reports its own rate
} // namespace

QueueEstimate estimateQueue(const upstreams::UpstreamStatus &status, const upstreams::InflightCounts &own, const QueueQuery &query)
{
    QueueEstimate queue;
    queue.tokensPerSecond = status.load.prefillTokensPerSecond > 0 ? status.load.prefillTokensPerSecond : DefaultTokensPerSecond;
    const double age = std::max(0.0, base::toSeconds(query.now - status.loadAt));
    const double routers = std::max(1U, query.routers);
    const auto ownWaitingTokens = static_cast<double>(own.pendingPrefillTokens);
    const double corrected =
        static_cast<double>(status.load.queuedTokens) + static_cast<double>(own.prefillTokensSince) * routers - queue.tokensPerSecond * age;
    queue.tokens = std::max(corrected, ownWaitingTokens) * query.prefillCorrection;
    if (query.trafficClass == base::TrafficClass::Interactive && ownWaitingTokens > 0) {
        queue.tokens *= 1 - static_cast<double>(std::min(own.pendingBatchPrefillTokens, own.pendingPrefillTokens)) / ownWaitingTokens;
    }
    queue.requests = status.load.running + status.load.waiting + static_cast<double>(own.requestsSince) * routers;
    queue.wait = prefillTime(queue.tokens, queue);
    return queue;
}

base::Duration prefillTime(double tokens, const QueueEstimate &queue)
{
    return base::fromSeconds(std::max(0.0, tokens) / queue.tokensPerSecond);
}

} // namespace carawaylatch::routing
