// An upstream's response to GET /v1/load (docs/design/wire.md).
#pragma once

#include <cstdint>
#include <string>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::upstreams
{

enum class ReportedState {
    Live,
    Leaving,
    Loading,
};

struct LoadReport
{
    base::Incarnation incarnation;
    base::ModelId model;
    base::WeightsVersion weightsVersion;
    std::string adapter;
    ReportedState state = ReportedState::Live;
    std::uint32_t running = 0; // requests
    std::uint32_t waiting = 0; // requests
    std::uint64_t queuedTokens = 0; // prompt tokens not yet computed, running prefill included
    std::uint64_t usedBlocks = 0;
    std::uint64_t capacityBlocks = 0;
    double prefillTokensPerSecond = 0;
    double decodeMsPerToken = 0;
    base::Duration age{}; // age of the figures when the report was sent
};

} // namespace carawaylatch::upstreams
