// Client of the routers: streamed completions and orders over HTTP.
//
// Not thread-safe: each worker thread has a client of its own. Connections are kept alive.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "tools/load/streamverifier.h"

namespace carawaylatch::load
{

struct LoadClientOptions
{
    std::vector<base::Endpoint> targets;
    base::Duration timeout = base::seconds{60}; // read timeout, without any byte received
};

struct CompletionRequest
{
    std::string key; // bearer key
    std::string model;
    std::string_view prompt;
    std::uint32_t maxTokens = 0;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    base::Duration deadline{}; // zero: the route's default
    std::string requestId;
};

enum class CallOutcome {
    Streamed, // status 200; see the verdict
    Refused, // an error status; the body has the error type
    NotReached, // no connection; nothing was sent
};

struct CompletionResult
{
    CallOutcome outcome = CallOutcome::NotReached;
    StreamVerdict verdict = StreamVerdict::Aborted; // of a streamed response
    int status = 0;
    std::string errorType; // of a refusal or an explicit error
    std::optional<base::Duration> retryAfter; // of a refusal
    StreamUsage usage;
    base::Duration firstToken{}; // from sending to the first token
    std::vector<base::Duration> gaps; // between tokens
};

struct OrderRequest
{
    std::string bearerKey;
    std::string route;
    std::string orderKey; // Idempotency-Key
    std::string body;
};

// Response to an order. `outcome` is the header X-Order-Outcome or, without it, "refused",
// "unclear" (sent, but no response) or "not_reached".
struct OrderResponse
{
    std::string key;
    std::size_t target = 0;
    int status = 0;
    std::string outcome;
    std::string errorType;
    bool isReplayed = false;
    bool isForeign = false; // the body names another order
    base::TimePoint sentAt;
    base::TimePoint receivedAt;
};

class LoadClient
{
public:
    explicit LoadClient(const LoadClientOptions &options);
    ~LoadClient();
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    // These send a request to `targets[target]` and return after its response or failure.
    [[nodiscard]] CompletionResult complete(std::size_t target, const CompletionRequest &request);
    [[nodiscard]] OrderResponse order(std::size_t target, const OrderRequest &request);

private:
    class Connections;
    std::unique_ptr<Connections> m_connections;
};

} // namespace carawaylatch::load
