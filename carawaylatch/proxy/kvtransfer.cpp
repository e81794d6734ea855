// Key computation and choice of source and store for kvtransfer.h.
#include "carawaylatch/proxy/kvtransfer.h"

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/promptparts.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::uint32_t MinTransferTokens = 512; // shorter prefixes are recomputed faster than they are fetched

} // namespace

std::uint64_t kvCacheKey(std::uint64_t prefixKey, base::WeightsVersion weights)
{
    return base::combineHashes(prefixKey, weights.value);
}

std::string cacheNamespace(const base::ModelId &model, base::WeightsVersion weights, std::uint64_t scope)
{
    return model.value() + '.' + std::to_string(weights.value) + '.' + formatPartId(scope);
}

std::uint64_t sharedPrefixKey(std::span<const PromptPart> parts)
{
    const auto shared = sharedParts(parts);
    if (shared.empty()) {
        return 0;
    }
    std::uint64_t key = 1;
    for (const PromptPart &part : shared) {
        key = base::combineHashes(key, part.id);
    }
    return key;
}

std::uint32_t sharedPrefixTokens(std::span<const PromptPart> parts)
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : sharedParts(parts)) {
        tokens += part.tokens;
    }
    return tokens;
}

const CacheStore *selectCacheStore(std::uint64_t prefixKey, const FleetView &view)
{
    const CacheStore *chosen = nullptr;
    std::uint64_t best = 0;
    for (const CacheStore &store : view.table->cacheStores) {
        const std::uint64_t weight = base::rendezvousWeight(prefixKey, store.endpoint.address);
        if (!view.unavailableCacheStores.contains(store.endpoint) && (chosen == nullptr || weight > best)) {
            chosen = &store;
            best = weight;
        }
    }
    return chosen;
}

KvTransferPlan planKvTransfer(std::uint64_t prefixKey, std::uint32_t sharedTokens, const UpstreamRecord &destination, const FleetView &view,
                              const UpstreamTracker &tracker, base::TimePoint now)
{
    KvTransferPlan plan;
    if (sharedTokens < MinTransferTokens || destination.weights.value == 0) {
        return plan;
    }
    const std::uint64_t state = kvCacheKey(prefixKey, destination.weights);
    const CacheStore *store = selectCacheStore(prefixKey, view);
    if (const UpstreamRecord *holder = tracker.findKvSource(state, destination, now)) {
        plan.fetchFrom = holder->upstream.endpoint;
    } else if (store != nullptr) {
        plan.fetchFrom = store->endpoint;
    }
    if (store != nullptr && !tracker.placements().contains(state)) {
        plan.saveTo = store->endpoint;
    }
    return plan;
}

} // namespace carawaylatch::proxy
