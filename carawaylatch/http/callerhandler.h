// What the callers' interface hands to the router: requests as typed values, and
// where their answers go.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/orders/serviceconnection.h"
#include "carawaylatch/relay/relaydriver.h"

namespace carawaylatch::http
{

// What every request of a caller carries.
struct RequestMetadata
{
    std::string bearerKey; // empty without one
    std::string requestId; // the caller's or a new one
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::optional<base::Duration> deadline; // from the arrival; the route's without one
    std::string path;
};

struct CompletionCall
{
    RequestMetadata metadata;
    base::ModelId model;
    std::string prompt; // chat messages joined as the engine reads them
    std::uint32_t maxTokens = 0;
};

struct ServiceCall
{
    RequestMetadata metadata;
    std::string method;
    std::string contentType;
    std::string body;
    std::string idempotencyKey; // empty without one
};

// What is known of a call that may run at most once.
enum class OrderOutcome {
    None, // the route's calls are idempotent
    Done,
    NotRun,
    Unknown,
    Running,
};

struct ServiceResult
{
    OrderOutcome outcome = OrderOutcome::None;
    bool isReplayed = false; // a stored answer of an earlier request
    orders::ServiceAnswer response; // set unless there is an error
    std::optional<base::Error> error;
};

// Implemented by the router; called from many threads.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    // Runs the request and gives the sink its whole answer or an error.
    virtual void complete(const CompletionCall &call, relay::CallerSink &sink) = 0;
    [[nodiscard]] virtual ServiceResult callService(const ServiceCall &call) = 0;
    [[nodiscard]] virtual base::Result<std::vector<base::ModelId>> models(const RequestMetadata &metadata) = 0;
};

} // namespace carawaylatch::http
