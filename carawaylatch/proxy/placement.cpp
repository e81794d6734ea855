// Eligibility and cost of the candidates, in one pass over the pool's members.
#include "carawaylatch/proxy/placement.h"

#include <algorithm>
#include <limits>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/kvtransfer.h"

namespace carawaylatch::proxy
{

namespace
{

// Share of an engine's memory for running requests; the rest holds cached prefixes.
constexpr double UsableMemoryShare = 0.9;

// Candidates of a lower rank come first, whatever their cost.
enum class CandidateRank {
    Certain,
    Risky, // may reject the request
    Unhealthy, // backed off or silent
};

// Inputs that are the same for all candidates of one query.
struct PlacementContext
{
    const PlacementQuery &query;
    const FleetView &view;
    const PlacementTuning &tuning;
    const Pool *pool = nullptr;
    const WeightsTarget *target = nullptr; // nullptr if no version was announced
    base::WeightsVersion oldestWeights; // oldest version that may still be used
    const UpstreamRecord *owner = nullptr; // first in rendezvous order
};

bool hasOldWeights(const PlacementContext &context, const UpstreamRecord &record)
{
    return context.target != nullptr && record.weights < context.target->version;
}

bool isUsable(const PlacementContext &context, const UpstreamRecord &record, const UpstreamTracker &tracker)
{
    const auto &excluded = context.query.excluded;
    const bool isChanging = hasOldWeights(context, record) && context.view.reloading.contains(record.upstream.id);
    return tracker.mayStart(record, context.query.now) && !isChanging && record.runsOneOf(context.query.software)
           && std::find(excluded.begin(), excluded.end(), record.upstream.id) == excluded.end();
}

bool areWeightsAllowed(const PlacementContext &context, const UpstreamRecord &record)
{
    return context.target == nullptr || record.weights >= context.oldestWeights;
}

// Slots that may be used now; zero if their number is unknown.
double usableSlots(const PlacementContext &context, const UpstreamRecord &record)
{
    return record.upstream.slots > 0 ? std::max(1.0, record.upstream.slots * record.resumedShare(context.query.now)) : 0;
}

Room brittleRoom(const PlacementContext &context, const UpstreamRecord &record, const TotalLoad &load, const UpstreamTracker &tracker)
{
    RoomQuery room;
    room.slots = usableSlots(context, record);
    if (context.pool->engine) {
        room.memoryTokens = static_cast<double>(context.pool->engine->cacheTokens) * UsableMemoryShare;
        room.neededMemoryTokens = context.query.memoryTokens;
    }
    return tracker.room(record, room, load, context.query.now);
}

bool hasRoom(const PlacementContext &context, const UpstreamRecord &record, const TotalLoad &load)
{
    const double known = usableSlots(context, record);
    const double slots = known > 0 ? known : std::numeric_limits<double>::max();
    if (!context.pool->engine) {
        return load.requests < slots * context.tuning.serviceQueueFactor;
    }
    if (load.requests >= slots || record.isBackedUp(context.query.now)) {
        return false;
    }
    const auto memory = static_cast<double>(context.pool->engine->cacheTokens);
    // A request that exceeds the share by itself runs alone.
    return memory == 0 || load.memoryTokens == 0 || load.memoryTokens + context.query.memoryTokens <= memory * UsableMemoryShare;
}

bool isPrefixCached(const PlacementContext &context, const UpstreamRecord &record, const UpstreamTracker &tracker)
{
    return context.query.prefixKey == 0
           || tracker.placements().isLikelyCached(kvCacheKey(context.query.prefixKey, record.weights), record.idHash, context.query.now);
}

// Work at an upstream of this pace, relative to the request's own work at one of the usual pace; exactly
// `queued` at the usual pace. The own work counts, since a slow upstream is slow for the request also while idle.
double pacedWork(double queued, double own, double factor)
{
    return queued * factor + own * (factor - 1);
}

double costOf(const PlacementContext &context, const UpstreamRecord &record, const TotalLoad &load, bool hasCachedPrefix)
{
    const PlacementTuning &tuning = context.tuning;
    double cost = record.failureShare * record.failureShare * tuning.failureMilliseconds;
    if (record.upstream.domain != context.query.domain) {
        cost += tuning.otherDomainMilliseconds;
    }
    const double factor = record.pace.factor(context.query.now, tuning.pace);
    const double requests = pacedWork(load.requests, 1, factor);
    if (!context.pool->engine) {
        const double slots = std::max<std::uint32_t>(record.upstream.slots, 1);
        return cost + tuning.fullServiceMilliseconds * requests / slots;
    }
    cost += pacedWork(load.prefillTokens, context.query.ownTokens, factor) * tuning.prefillMillisecondsPerToken;
    cost += requests * tuning.runningRequestMilliseconds;
    if (!hasCachedPrefix) {
        const double ownerShare = context.owner == &record ? tuning.ownerShare : 1.0;
        cost += context.query.sharedTokens * (tuning.prefillMillisecondsPerToken * factor + tuning.recomputeMillisecondsPerToken) * ownerShare;
    }
    if (hasOldWeights(context, record)) {
        cost += tuning.oldWeightsMilliseconds;
    }
    return cost;
}

const UpstreamRecord *rendezvousOwner(const PlacementQuery &query, const std::vector<UpstreamRecord *> &members)
{
    const UpstreamRecord *owner = nullptr;
    std::uint64_t best = 0;
    for (const UpstreamRecord *record : members) {
        if (!record->runsOneOf(query.software)) {
            continue;
        }
        const std::uint64_t weight = base::rendezvousWeight(query.prefixKey, record->upstream.id.value());
        if (owner == nullptr || weight > best) {
            owner = record;
            best = weight;
        }
    }
    return owner;
}

} // namespace

PlacementResult place(const PlacementQuery &query, const FleetView &view, UpstreamTracker &tracker, const PlacementTuning &tuning)
{
    PlacementContext context{query, view, tuning, nullptr, nullptr, {}, nullptr};
    context.pool = view.table->pool(query.pool);
    if (context.pool == nullptr) {
        return {};
    }
    if (const auto it = view.targets.find(query.model); it != view.targets.end()) {
        context.target = &it->second;
        context.oldestWeights = context.target->oldestAllowed(query.now, tuning.oldWeightsLimit);
    }
    const auto &members = tracker.members(query.pool);
    if (query.prefixKey != 0) {
        context.owner = rendezvousOwner(query, members);
    }
    PlacementResult result;
    CandidateRank bestRank = CandidateRank::Certain;
    for (UpstreamRecord *record : members) {
        if (!isUsable(context, *record, tracker) || !areWeightsAllowed(context, *record)) {
            continue;
        }
        const TotalLoad load = tracker.totalLoad(*record, view.routers, query.now);
        const Room room = brittleRoom(context, *record, load, tracker);
        if (room == Room::None || !hasRoom(context, *record, load)) {
            result.verdict = result.record == nullptr ? PlacementVerdict::Full : result.verdict;
            continue;
        }
        const bool isUnhealthy = query.now < record->backoffUntil || record->isSilent(query.now, tuning.prefillMillisecondsPerToken);
        const CandidateRank rank = isUnhealthy ? CandidateRank::Unhealthy : (room == Room::Risk ? CandidateRank::Risky : CandidateRank::Certain);
        const bool hasCachedPrefix = isPrefixCached(context, *record, tracker);
        const double cost = costOf(context, *record, load, hasCachedPrefix);
        const bool isBetter = result.record == nullptr || rank < bestRank || (rank == bestRank && cost < result.cost);
        if (isBetter) {
            result = PlacementResult{PlacementVerdict::Chosen, record, hasCachedPrefix, cost, room};
            bestRank = rank;
        }
    }
    if (bestRank == CandidateRank::Unhealthy) {
        // All upstreams with capacity are backed off or silent; the request waits until one recovers.
        return PlacementResult{PlacementVerdict::Full, nullptr, false, 0, Room::Free};
    }
    return result;
}

} // namespace carawaylatch::proxy
