// Names of prompt state, and where an engine gets it from.
//
// The load it answers: engines whose memory holds a few prompts' shared parts, and
// links that carry them ten times as fast as an engine reads them. An engine that
// has not read a prompt fetches it from another one that has of late; the links of
// many engines carry more than those of the few cache stores, which are asked only
// where no engine is known. What is read first is saved to a store once.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/dialect.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/upstreamtracker.h"

namespace carawaylatch::proxy
{

// Key of a prompt's state as one version of weights makes it.
[[nodiscard]] std::uint64_t kvCacheKey(std::uint64_t prefixKey, base::WeightsVersion weights);
// Hash of a prompt's shared parts (all but the last), zero if there are none.
[[nodiscard]] std::uint64_t sharedPrefixKey(std::span<const PromptPart> parts);
// Tokens of a prompt's shared parts.
[[nodiscard]] std::uint32_t sharedPrefixTokens(std::span<const PromptPart> parts);

// Returns the cache store that keeps a prompt's shared parts: the first in rendezvous
// order of those that answer, so that routers agree and each store keeps and carries
// its part. Nothing if none answers.
[[nodiscard]] const CacheStore *selectCacheStore(std::uint64_t prefixKey, const FleetView &view);

struct KvTransferPlan
{
    std::optional<base::Endpoint> fetchFrom; // costs nothing where the engine keeps the parts itself
    std::optional<base::Endpoint> saveTo;
};

// Where the engine `taker` fetches the shared parts of a prompt and saves them, before
// it is sent the prompt. Nothing for parts that are read faster than they are fetched.
[[nodiscard]] KvTransferPlan planKvTransfer(std::uint64_t prefixKey, std::uint32_t sharedTokens, const UpstreamRecord &destination, const FleetView &view,
                                            const UpstreamTracker &tracker, base::TimePoint now);

} // namespace carawaylatch::proxy
