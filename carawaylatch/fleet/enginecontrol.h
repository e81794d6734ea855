// Interface that sends orders to an engine and reads its report. http/ implements it
// with the protocol of docs/design/wire.md (`POST /v1/orders`, `GET /v1/load`); tests
// use fakes. An order names the desired state ("serve version 7"), so repeating it is
// harmless. Calls block, so they are made on a worker thread.
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
    base::FencingToken fence;
    base::WeightsVersion weightsVersion;
    std::string adapter;
    std::string role;
};

enum class EngineState {
    Live,
    Loading,
    Leaving,
};

// State of an engine as it was `age` ago.
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
    // Sends the order. StaleState: the engine rejected it because its fencing token is
    // outdated. Unavailable: not sent. After any other error the order may have been
    // executed.
    [[nodiscard]] virtual base::Result<void> order(const base::UpstreamId &upstream, const base::Endpoint &endpoint, const EngineOrder &order) = 0;
    [[nodiscard]] virtual base::Result<EngineReport> report(const base::UpstreamId &upstream, const base::Endpoint &endpoint) = 0;
};

} // namespace carawaylatch::fleet
