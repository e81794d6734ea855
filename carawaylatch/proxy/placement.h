// Chooses the upstream of one attempt.
//
// The load it answers: prompts that share long parts, on engines that forget them
// when weights change, beside plain services with few places. Each candidate gets
// an expected cost in milliseconds: work queued before the request, prompt
// tokens it would have to read, distance, weights that are no longer the newest,
// and recent failures. The least cost wins. Without other knowledge the shared
// parts belong to the first upstream in rendezvous order, so routers agree
// without talking.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/upstreamtracker.h"

namespace carawaylatch::proxy
{

struct PlacementTuning
{
    double prefillMillisecondsPerToken = 0.022; // reading a prompt; a first estimate for engines of this size
    double fullServiceMilliseconds = 120; // a plain service whose slots are all taken: two calls of the longer kind
    double runningRequestMilliseconds = 1; // each request at an engine makes its steps longer
    double recomputeMillisecondsPerToken = 0.06; // what reading shared parts twice costs operators beside the time
    double ownerShare = 0.3; // of the cost of reading shared parts at their home when they were not placed there yet
    double otherDomainMilliseconds = 12; // transfers between failure domains cost operators more than callers
    double oldWeightsMilliseconds = 60; // answers of old weights are worth less
    double failureMilliseconds = 1500; // expected loss of a failed attempt
    std::uint32_t serviceQueueFactor = 2; // requests at a plain service for each of its slots
    base::Duration oldWeightsLimit = base::seconds{6}; // after a new version is named, older weights get no request
    base::Duration oldWeightsStart = base::milliseconds{7400}; // by then a request on older weights has begun, or is taken back
};

struct PlacementQuery
{
    base::TimePoint now;
    base::PoolName pool;
    base::ModelId model; // empty for plain services
    std::uint64_t prefixKey = 0; // hash of the shared parts; zero without any
    std::uint32_t sharedTokens = 0;
    std::uint32_t memoryTokens = 0; // prompt and longest answer
    base::FailureDomain domain; // of this router
    std::span<const base::UpstreamId> excluded; // tried before
};

enum class PlacementVerdict {
    Chosen,
    Full, // upstreams exist, but none has room now
    NoUpstream, // none may be used
};

struct PlacementResult
{
    PlacementVerdict verdict = PlacementVerdict::NoUpstream;
    UpstreamRecord *record = nullptr; // with Chosen
    bool hasCachedPrefix = false; // the shared parts are expected in its memory
    double cost = 0; // milliseconds
};

[[nodiscard]] PlacementResult place(const PlacementQuery &query, const FleetView &view, UpstreamTracker &tracker, const PlacementTuning &tuning);

} // namespace carawaylatch::proxy
