// Why a request would go where it would go: the answer of POST /v1/explain.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::telemetry
{

// One upstream that the placement weighed.
struct ExplainCandidate
{
    base::UpstreamId upstream;
    base::Duration expectedWait{}; // in the upstream's queue
    std::uint64_t missingTokens = 0; // prompt tokens it would have to compute
    std::uint64_t cachedTokens = 0; // prompt tokens it is believed to hold
    base::Duration score{}; // expected time to the first token; the least wins
    std::string excluded; // why it can't be chosen, empty for a candidate
};

struct ExplainReport
{
    base::CustomerId customer;
    base::RouteName route;
    base::PoolName pool;
    base::Revision revision{};
    std::string strategy;
    std::uint64_t promptTokens = 0;
    std::optional<base::UpstreamId> chosen;
    std::string refusal; // error kind and remedy where nothing was chosen
    std::vector<ExplainCandidate> candidates; // least score first
};

// Returns the report as JSON; docs/API.md gives its fields and units.
[[nodiscard]] std::string renderExplainJson(const ExplainReport &report);

} // namespace carawaylatch::telemetry
