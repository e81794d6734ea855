// Keys and sources of promptstate.h.
#include "carawaylatch/proxy/kvtransfer.h"

#include "carawaylatch/base/hash.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::uint32_t MinSharedTokensMoved = 512; // shorter parts are read faster than they are fetched

} // namespace

std::uint64_t promptStateKey(std::uint64_t promptKey, base::WeightsVersion weights)
{
    return base::combineHashes(promptKey, weights.value);
}

std::uint64_t sharedPromptKey(std::span<const PromptPart> parts)
{
    if (parts.size() < 2) {
        return 0;
    }
    std::uint64_t key = 1;
    for (const PromptPart &part : parts.first(parts.size() - 1)) {
        key = base::combineHashes(key, part.id);
    }
    return key;
}

std::uint32_t sharedPromptTokens(std::span<const PromptPart> parts)
{
    std::uint32_t tokens = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        tokens += parts[i].tokens;
    }
    return tokens;
}

const CacheStore *cacheStoreOf(std::uint64_t promptKey, const FleetView &view)
{
    const CacheStore *chosen = nullptr;
    std::uint64_t best = 0;
    for (const CacheStore &store : view.table->cacheStores) {
        const std::uint64_t weight = base::rendezvousWeight(promptKey, store.endpoint.address);
        if (!view.deadCacheStores.contains(store.endpoint) && (chosen == nullptr || weight > best)) {
            chosen = &store;
            best = weight;
        }
    }
    return chosen;
}

PromptStatePlan planPromptState(std::uint64_t promptKey, std::uint32_t sharedTokens, const UpstreamRecord &taker, const FleetView &view,
                                const UpstreamBook &book, base::TimePoint now)
{
    PromptStatePlan plan;
    if (sharedTokens < MinSharedTokensMoved || taker.weights.value == 0) {
        return plan;
    }
    const std::uint64_t state = promptStateKey(promptKey, taker.weights);
    const CacheStore *store = cacheStoreOf(promptKey, view);
    if (const UpstreamRecord *holder = book.holderOf(state, taker, now)) {
        plan.fetchFrom = holder->upstream.endpoint;
    } else if (store != nullptr) {
        plan.fetchFrom = store->endpoint;
    }
    if (store != nullptr && !book.placements().isKnown(state)) {
        plan.saveTo = store->endpoint;
    }
    return plan;
}

} // namespace carawaylatch::proxy
