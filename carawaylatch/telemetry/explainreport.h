// The explanation of a placement decision: the response of POST /v1/explain.
//
// It lists the considered upstreams with their scores, so that an operator can
// see why a request would be sent to one of them or refused.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::telemetry
{

// An upstream that the placement considered.
struct ExplainCandidate
{
    base::UpstreamId upstream;
    base::Duration expectedWait{}; // in the upstream's queue
    std::uint64_t missingTokens = 0; // prompt tokens to compute
    std::uint64_t cachedTokens = 0; // prompt tokens expected in its cache
    base::Duration score{}; // expected time to the first token; the lowest is chosen
    std::string excluded; // why it is not eligible; empty if it is
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
    std::string refusal; // error kind and remedy if no upstream was chosen
    std::vector<ExplainCandidate> candidates; // in ascending order of score
};

// Returns the report as JSON; docs/API.md gives its fields and units.
[[nodiscard]] std::string renderExplainJson(const ExplainReport &report);

} // namespace carawaylatch::telemetry
