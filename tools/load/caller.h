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

struct CallerOptions
{
    std::vector<base::Endpoint> targets;
    base::Duration timeout = base::seconds{60}; // of a connection without any byte
};

struct CompletionCall
{
    std::string key; // bearer key
    std::string model;
    std::string_view prompt;
    std::uint32_t maxTokens = 0;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    base::Duration deadline{}; // zero leaves it to the route
    std::string requestId;
};

enum class CallEnd {
    Streamed, // status 200; the verdict tells more
    Refused, // an error status; the body names the code
    NotReached, // no connection: nothing was sent
};

struct CompletionResult
{
    CallEnd end = CallEnd::NotReached;
    StreamVerdict verdict = StreamVerdict::Aborted; // of a streamed answer
    int status = 0;
    std::string errorType; // of a refusal or an explicit error
    std::optional<base::Duration> retryAfter; // of a refusal
    StreamUsage usage;
    base::Duration firstToken{}; // from sending to the first token
    std::vector<base::Duration> gaps; // between tokens
};

struct OrderCall
{
    std::string bearerKey;
    std::string route;
    std::string orderKey; // Idempotency-Key
    std::string body;
};

// One answer to an order; `outcome` is X-Order-Outcome, or "refused", "unclear"
// (sent without an answer) or "not_reached" where there is none.
struct OrderAnswer
{
    std::string key;
    std::size_t target = 0;
    int status = 0;
    std::string outcome;
    std::string errorType;
    bool isReplayed = false;
    bool isForeign = false; // the body names another order
    base::TimePoint sentAt;
    base::TimePoint answeredAt;
};

class Caller
{
public:
    explicit Caller(const CallerOptions &options);
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    [[nodiscard]] CompletionResult complete(std::size_t target, const CompletionCall &call);
    [[nodiscard]] OrderAnswer order(std::size_t target, const OrderCall &call);

private:
    class Clients;
    std::unique_ptr<Clients> m_clients;
};

} // namespace carawaylatch::load
