// Names and keys of KV cache, and from where an engine fetches their KV cache.
//
// An engine's memory holds the KV cache of only a few shared prefixes, and fetching
// one over the network is ten times as fast as recomputing it. An engine without the
// prefix fetches it from another engine that processed it recently. The engines have
// more total bandwidth than the few cache stores, which are used only if no such
// engine is known. A prefix that is computed for the first time is saved to a store
// once.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/dialect.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/upstreamtracker.h"

namespace carawaylatch::proxy
{

// Key of a prefix's KV cache, which depends on the weights version that computed it.
[[nodiscard]] std::uint64_t kvCacheKey(std::uint64_t prefixKey, base::WeightsVersion weights);
// The text under which engines keep KV cache of a model. Equal only for the same model, weights and cache scope
// (see customers.h).
[[nodiscard]] std::string cacheNamespace(const base::ModelId &model, base::WeightsVersion weights, std::uint64_t scope);
// Hash of a prompt's shared prefix (all parts but the last), zero if there is none.
[[nodiscard]] std::uint64_t sharedPrefixKey(std::span<const PromptPart> parts);
// Number of tokens of a prompt's shared prefix.
[[nodiscard]] std::uint32_t sharedPrefixTokens(std::span<const PromptPart> parts);

// Returns the cache store of a shared prefix: the first available one in rendezvous
// order, so that all routers choose the same one and the prefixes are spread over the
// stores. Returns nullptr if none is available.
[[nodiscard]] const CacheStore *selectCacheStore(std::uint64_t prefixKey, const FleetView &view);

struct KvTransferPlan
{
    std::optional<base::Endpoint> fetchFrom; // ignored at no cost by an engine that already holds the prefix
    std::optional<base::Endpoint> saveTo;
};

// Returns from where the engine `destination` fetches the KV cache of a prefix, and where
// it saves it. Called before the prompt is recorded as sent to the engine. Empty for
// prefixes that are recomputed faster than they are fetched.
[[nodiscard]] KvTransferPlan planKvTransfer(std::uint64_t prefixKey, std::uint32_t sharedTokens, const UpstreamRecord &destination, const FleetView &view,
                                            const UpstreamTracker &tracker, base::TimePoint now);

} // namespace carawaylatch::proxy
