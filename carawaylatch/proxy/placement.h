// Chooses the upstream of one attempt.
//
// Handles prompts with long shared prefixes on engines that lose their KV cache when
// weights change, and plain services with few slots. Each candidate gets an expected
// cost in milliseconds: queued load, prompt tokens to prefill, another failure domain,
// outdated weights and recent failures. The candidate with the lowest cost is chosen.
// The pace that an upstream reports multiplies the time of work: what is queued there and
// the request itself. The time of the request is the same at all upstreams of the usual
// pace and is left out there.
// A prefix that no engine is known to hold belongs to the first upstream in rendezvous
// order, so that routers agree without communicating; for a request that is bound to some
// software, the first that runs it.
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
    double prefillMillisecondsPerToken = 0.022; // prefill time of engines of this size
    double fullServiceMilliseconds = 120; // a plain service with all slots in use: the duration of two long calls
    double runningRequestMilliseconds = 1; // each running request lengthens an engine's decode steps
    double recomputeMillisecondsPerToken = 0.06; // cost to operators, beyond the latency, of computing a shared prefix again
    double ownerShare = 0.3; // share of the prefill cost charged at the prefix's rendezvous owner
    double otherDomainMilliseconds = 12; // traffic between failure domains, a cost to operators more than to callers
    double oldWeightsMilliseconds = 60; // penalty, because responses of old weights have less value
    double failureMilliseconds = 1500; // expected loss of a failed attempt
    PaceBounds pace;
    std::uint32_t serviceQueueFactor = 2; // maximum requests per slot of a plain service
    base::Duration oldWeightsLimit = base::seconds{6}; // older weights get no requests this long after a new version is announced
    base::Duration oldWeightsStart = base::milliseconds{7400}; // a request on older weights is aborted if it has not started this long after the announcement
};

struct PlacementQuery
{
    base::TimePoint now;
    base::PoolName pool;
    base::ModelId model; // empty for plain services
    std::uint64_t prefixKey = 0; // hash of the shared prefix; zero if there is none
    std::uint32_t sharedTokens = 0;
    std::uint32_t ownTokens = 0; // of the prompt behind the shared prefix
    std::uint32_t memoryTokens = 0; // prompt and maximum output
    base::FailureDomain domain; // of this router
    std::span<const base::UpstreamId> excluded; // already tried
    const SoftwareSet *software = nullptr; // only upstreams that run one of these; nullptr: any
};

enum class PlacementVerdict {
    Chosen,
    Full, // usable upstreams exist, but none has capacity now
    NoUpstream, // no upstream may be used
};

struct PlacementResult
{
    PlacementVerdict verdict = PlacementVerdict::NoUpstream;
    UpstreamRecord *record = nullptr; // set if the verdict is Chosen
    bool hasCachedPrefix = false; // the upstream is expected to hold the shared prefix
    double cost = 0; // milliseconds
    Room room = Room::Free; // at the upstream
};

[[nodiscard]] PlacementResult place(const PlacementQuery &query, const FleetView &view, UpstreamTracker &tracker, const PlacementTuning &tuning);

} // namespace carawaylatch::proxy
