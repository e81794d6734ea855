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
//
// Both parts count prompt tokens that were missing when a request was sent. Under
// pressure some of its prefix is evicted before its turn comes, so the sum is
// multiplied by what answers needed over what was predicted.
//
// Reports don't tell classes apart. Interactive requests pass batch work, so the
// part of the queue that is batch, taken from this router's own waiting requests,
// doesn't count for them; else a long batch queue would refuse all interactive ones.
#include "carawaylatch/routing/estimate.h"

#include <algorithm>

namespace carawaylatch::routing
{

namespace
{
constexpr double DefaultTokensPerSecond = 10'000; // until an upstream reported its own
} // namespace

QueueEstimate estimateQueue(const upstreams::UpstreamStatus &status, const upstreams::InflightCounts &own, const QueueQuestion &question)
{
    QueueEstimate queue;
    queue.tokensPerSecond = status.load.prefillTokensPerSecond > 0 ? status.load.prefillTokensPerSecond : DefaultTokensPerSecond;
    const double age = std::max(0.0, base::toSeconds(question.now - status.loadAt));
    const double routers = std::max(1U, question.routers);
    const auto ownWaiting = static_cast<double>(own.pendingPrefillTokens);
    const double corrected =
        static_cast<double>(status.load.queuedTokens) + static_cast<double>(own.prefillTokensSince) * routers - queue.tokensPerSecond * age;
    queue.tokens = std::max(corrected, ownWaiting) * question.workRatio;
    if (question.trafficClass == base::TrafficClass::Interactive && ownWaiting > 0) {
        queue.tokens *= 1 - static_cast<double>(std::min(own.pendingBatchPrefillTokens, own.pendingPrefillTokens)) / ownWaiting;
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
