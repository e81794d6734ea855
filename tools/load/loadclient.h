// A caller of the routers: streamed completions and orders over HTTP.
//
// Each worker thread has a Caller of its own; connections are kept open.
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
    base::Duration timeout = base::seconds{60}; // of a connection without any byte
};

struct CompletionRequest
{
    std::string key; // bearer key
    std::string model;
    std::string_view prompt;
    std::uint32_t maxTokens = 0;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    base::Duration deadline{}; // zero leaves it to the route
    std::string requestId;
};

enum class CallOutcome {
    Streamed, // status 200; the verdict tells more
    Refused, // an error status; the body names the code
    NotReached, // no connection: nothing was sent
};

struct CompletionResult
{
    CallOutcome outcome = CallOutcome::NotReached;
    StreamVerdict verdict = StreamVerdict::Aborted; // of a streamed answer
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

// One answer to an order; `outcome` is X-Order-Outcome, or "refused", "unclear"
// (sent without an answer) or "not_reached" where there is none.
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

    [[nodiscard]] CompletionResult complete(std::size_t target, const CompletionRequest &call);
    [[nodiscard]] OrderResponse order(std::size_t target, const OrderRequest &call);

private:
    class Connections;
    std::unique_ptr<Connections> m_connections;
};

} // namespace carawaylatch::load
