// Costs and eligibility of placement.h. One pass over the pool's members.
#include "carawaylatch/proxy/placement.h"

#include <algorithm>
#include <limits>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/kvtransfer.h"

namespace carawaylatch::proxy
{

namespace
{

// Share of an engine's memory that requests under way may take; the rest keeps shared parts.
constexpr double UsableMemoryShare = 0.9;

// What is the same for all candidates of one query.
struct Scene
{
    const PlacementQuery &query;
    const FleetView &view;
    const PlacementTuning &tuning;
    const Pool *pool = nullptr;
    const WeightsTarget *target = nullptr; // nothing if no version is named
    base::WeightsVersion oldestWeights; // that may still be used
    const UpstreamRecord *home = nullptr; // first in rendezvous order
};

bool hasOldWeights(const Scene &scene, const UpstreamRecord &record)
{
    return scene.target != nullptr && record.weights < scene.target->version;
}

bool isUsable(const Scene &scene, const UpstreamRecord &record)
{
    const auto &excluded = scene.query.excluded;
    const bool isChanging = hasOldWeights(scene, record) && scene.view.reloading.contains(record.upstream.id);
    return record.upstream.phase == UpstreamPhase::Ready && !isChanging && std::find(excluded.begin(), excluded.end(), record.upstream.id) == excluded.end();
}

bool areWeightsAllowed(const Scene &scene, const UpstreamRecord &record)
{
    return scene.target == nullptr || record.weights >= scene.oldestWeights;
}

bool hasRoom(const Scene &scene, const UpstreamRecord &record, const TotalWork &work)
{
    const double slots = record.upstream.slots > 0 ? record.upstream.slots : std::numeric_limits<double>::max();
    if (!scene.pool->engine) {
        return work.requests < slots * scene.tuning.serviceQueueFactor;
    }
    if (work.requests >= slots || record.isBackedUp(scene.query.now)) {
        return false;
    }
    const auto memory = static_cast<double>(scene.pool->engine->cacheTokens);
    // A request that is larger than the share runs alone.
    return memory == 0 || work.memoryTokens == 0 || work.memoryTokens + scene.query.memoryTokens <= memory * UsableMemoryShare;
}

bool holdsSharedParts(const Scene &scene, const UpstreamRecord &record, const UpstreamBook &book)
{
    return scene.query.promptKey == 0 || book.placements().isPlaced(promptStateKey(scene.query.promptKey, record.weights), record.key, scene.query.now);
}

double costOf(const Scene &scene, const UpstreamRecord &record, const TotalWork &work, bool holdsParts)
{
    const PlacementTuning &tuning = scene.tuning;
    double cost = record.failureShare * record.failureShare * tuning.failureMilliseconds;
    if (record.upstream.domain != scene.query.domain) {
        cost += tuning.otherDomainMilliseconds;
    }
    if (!scene.pool->engine) {
        const double slots = std::max<std::uint32_t>(record.upstream.slots, 1);
        return cost + tuning.fullServiceMilliseconds * work.requests / slots;
    }
    cost += work.unreadTokens * tuning.millisecondsPerToken;
    cost += work.requests * tuning.runningRequestMilliseconds;
    if (!holdsParts) {
        const double homeShare = scene.home == &record ? tuning.homeShare : 1.0;
        cost += scene.query.sharedTokens * (tuning.millisecondsPerToken + tuning.rereadMillisecondsPerToken) * homeShare;
    }
    if (hasOldWeights(scene, record)) {
        cost += tuning.oldWeightsMilliseconds;
    }
    return cost;
}

const UpstreamRecord *homeOf(const PlacementQuery &query, const std::vector<UpstreamRecord *> &members)
{
    const UpstreamRecord *home = nullptr;
    std::uint64_t best = 0;
    for (const UpstreamRecord *record : members) {
        const std::uint64_t weight = base::rendezvousWeight(query.promptKey, record->upstream.id.value());
        if (home == nullptr || weight > best) {
            home = record;
            best = weight;
        }
    }
    return home;
}

} // namespace

PlacementResult place(const PlacementQuery &query, const FleetView &view, UpstreamBook &book, const PlacementTuning &tuning)
{
    Scene scene{query, view, tuning, nullptr, nullptr, {}, nullptr};
    scene.pool = view.table->pool(query.pool);
    if (scene.pool == nullptr) {
        return {};
    }
    if (const auto it = view.targets.find(query.model); it != view.targets.end()) {
        scene.target = &it->second;
        scene.oldestWeights = scene.target->oldestAllowed(query.now, tuning.oldWeightsLimit);
    }
    const auto &members = book.members(query.pool);
    if (query.promptKey != 0) {
        scene.home = homeOf(query, members);
    }
    PlacementResult result;
    bool isAvoided = false; // the best so far is one to be avoided
    for (UpstreamRecord *record : members) {
        if (!isUsable(scene, *record) || !areWeightsAllowed(scene, *record)) {
            continue;
        }
        const TotalWork work = book.workAt(*record, view.routers, query.now);
        if (!hasRoom(scene, *record, work)) {
            result.verdict = result.record == nullptr ? PlacementVerdict::Full : result.verdict;
            continue;
        }
        const bool isToAvoid = query.now < record->avoidUntil || record->isSilent(query.now, tuning.millisecondsPerToken);
        const bool holdsParts = holdsSharedParts(scene, *record, book);
        const double cost = costOf(scene, *record, work, holdsParts);
        const bool isBetter = result.record == nullptr || (isAvoided && !isToAvoid) || (isAvoided == isToAvoid && cost < result.cost);
        if (isBetter) {
            result = PlacementResult{PlacementVerdict::Chosen, record, holdsParts, cost};
            isAvoided = isToAvoid;
        }
    }
    if (isAvoided) {
        // All that have room failed a moment ago: the request waits for one to come back.
        return PlacementResult{PlacementVerdict::Full, nullptr, false, 0};
    }
    return result;
}

} // namespace carawaylatch::proxy
