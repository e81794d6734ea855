// Orders to one engine, and its report. http/ implements it over the wire of
// docs/design/wire.md (`POST /v1/orders`, `GET /v1/load`), tests with fakes.
// Orders are absolute ("serve version 7"), so repeating one is harmless. Calls
// block; they are made from a platform thread.
#pragma once

#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::fleet
{

enum class EngineOrderKind {
    LoadWeights,
    LoadAdapter,
    SetRole,
};

struct EngineOrder
{
    EngineOrderKind kind = EngineOrderKind::LoadWeights;
    base::FenceToken fence;
    base::WeightsVersion weightsVersion;
    std::string adapter;
    std::string role;
};

enum class EngineState {
    Live,
    Loading,
    Leaving,
};

// What an engine reports, with the lag `age`.
struct EngineReport
{
    base::Incarnation incarnation;
    base::WeightsVersion weightsVersion;
    std::string adapter;
    std::string role;
    EngineState state = EngineState::Live;
    base::Duration age{};
};

class EngineControl
{
public:
    virtual ~EngineControl() = default;
    // Gives the order. StaleState: the engine refused an old fencing number.
    // Unavailable: not sent. Any other error: it may have been obeyed.
    [[nodiscard]] virtual base::Result<void> order(const base::UpstreamId &upstream, const base::Endpoint &endpoint, const EngineOrder &order) = 0;
    [[nodiscard]] virtual base::Result<EngineReport> report(const base::UpstreamId &upstream, const base::Endpoint &endpoint) = 0;
};

} // namespace carawaylatch::fleet
