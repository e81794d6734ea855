// Interface for orders to engines and for their status, used on the control thread.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"

namespace carawaylatch::gateway
{

// What happens to running requests when new weights are loaded.
enum class RunningRequestPolicy {
    Finish, // the load waits until they have finished
    Continue, // they continue with the new weights
};

struct WeightsOrder
{
    base::UpstreamId engine;
    base::Endpoint endpoint;
    base::ModelId model;
    base::WeightsVersion version;
    std::string holder; // router id of the lease holder
    base::FencingToken fence;
    RunningRequestPolicy runningRequests = RunningRequestPolicy::Finish;
    std::optional<std::uint64_t> expectedOrders; // the engine rejects the order unless it has accepted exactly so many before
};

struct EngineStatus
{
    base::WeightsVersion weights; // version of the requested model; zero if not loaded
    bool isChanging = false; // an order is in progress
    std::uint64_t acceptedOrders = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool isLeaving = false; // it has said that it leaves
    std::optional<std::uint32_t> brittle; // rejections a second that it takes; nothing if it doesn't say that it is brittle
};

enum class OrderResponse {
    Accepted, // the engine executes the order
    AlreadyLoaded, // the engine has this version
    Busy, // another order is in progress, or expectedOrders differs
};

class EngineClient
{
public:
    virtual ~EngineClient() = default;
    // Time from the first byte of an order to the end of the call. None of its bytes arrives later.
    static constexpr base::Duration MaxOrderTime = base::milliseconds{800};

    // Asks `currentFence` right before the order's first byte is sent, and sends nothing if it
    // returns none: the lease may end while the connection is opened.
    // StaleState: the fencing token is outdated. Unavailable: not sent. After any other
    // error the order may be executed, even later.
    [[nodiscard]] virtual Awaitable<base::Result<OrderResponse>> order(WeightsOrder order, std::function<std::optional<base::FencingToken>()> currentFence) = 0;
    // Resets the connections of all orders in progress, so that no byte of them arrives any more.
    virtual void abandonOrders() = 0;
    // Checks that a store for cached prompt state (KV cache) responds.
    [[nodiscard]] virtual Awaitable<base::Result<void>> probeCacheStore(base::Endpoint endpoint) = 0;
    [[nodiscard]] virtual Awaitable<base::Result<EngineStatus>> status(base::UpstreamId engine, base::Endpoint endpoint, base::ModelId model) = 0;
};

} // namespace carawaylatch::gateway
