// Orders to engines and their reports, from the control thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"

namespace carawaylatch::gateway
{

// What becomes of the runs that are under way when new weights are loaded.
enum class RunningRequestPolicy {
    Finish, // the load waits for them
    Continue, // they go on with the new weights
};

struct WeightsOrder
{
    base::UpstreamId engine;
    base::Endpoint endpoint;
    base::ModelId model;
    base::WeightsVersion version;
    std::string holder; // of the lease; one name for each VM
    base::FenceToken fence;
    RunningRequestPolicy runningRequests = RunningRequestPolicy::Finish;
    std::optional<std::uint64_t> expectedOrders; // orders that the engine has accepted so far; void if it differs
};

struct EngineStatus
{
    base::WeightsVersion weights; // of the model asked for; zero if it has none
    bool isChanging = false;
    std::uint64_t acceptedOrders = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

enum class OrderResponse {
    Accepted, // is carried out
    AlreadyLoaded,
    Busy, // another order is in progress, or the number of accepted orders differs
};

class EngineClient
{
public:
    virtual ~EngineClient() = default;
    // StaleState: the fence is too low. Unavailable: not sent. Any other error: it may be obeyed, also later.
    [[nodiscard]] virtual Awaitable<base::Result<OrderResponse>> order(WeightsOrder order) = 0;
    // Tells whether a store of kept prompt state answers.
    [[nodiscard]] virtual Awaitable<base::Result<void>> probeCacheStore(base::Endpoint endpoint) = 0;
    [[nodiscard]] virtual Awaitable<base::Result<EngineStatus>> status(base::UpstreamId engine, base::Endpoint endpoint, base::ModelId model) = 0;
};

} // namespace carawaylatch::gateway
