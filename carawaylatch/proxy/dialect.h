// Maps HTTP fields of callers and upstreams to the values that routing depends on.
//
// The traffic plane works on CallerRequest, AttemptPlan and UpstreamResponse. A
// Dialect translates them from and to HTTP fields; no other part of the plane
// depends on the names of these fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/httpmessage.h"

namespace carawaylatch::proxy
{

// One segment of a prompt. Requests whose leading parts are equal can share KV cache.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

// The properties of a caller's request that routing depends on.
struct CallerRequest
{
    std::string id; // empty if the caller sent none
    std::string host;
    std::string key; // empty if the caller sent none
    std::optional<base::Duration> callerTimeout; // how long the caller waits for the response
    std::optional<std::uint64_t> lastEventId; // resumes a stream after this event
    std::string resumes; // id of the request that began the stream that this one resumes; empty if the caller sent none
    base::ModelId model; // empty for plain services
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> parts; // the last one is specific to this request
    // Another router forwards the request, which may be sent so often here; it is not forwarded again.
    std::optional<std::uint32_t> forwardedAttempts;
};

// The router's decisions about one attempt.
struct AttemptPlan
{
    base::UpstreamId upstream;
    base::Duration timeLeft{}; // until the request's deadline
    base::CustomerId customer; // empty on public routes
    std::uint32_t urgency = 0; // zero is the most urgent
    std::string cacheNamespace; // empty for plain services
    base::WeightsVersion weights; // version that the upstream must have loaded; zero: any
    std::optional<std::uint64_t> lastEventId; // resumes the stream after this event
    std::optional<base::Endpoint> fetchFrom; // where to fetch the KV cache of the shared prefix
    std::optional<base::Endpoint> saveTo; // cache store to which to save it
};

// The router's decisions about a request that it forwards to another router.
struct ForwardPlan
{
    base::Duration timeLeft{}; // until the request's deadline
    std::uint32_t attempts = 1; // that the other router may make
    std::optional<std::uint64_t> lastEventId; // resumes the stream after this event
    std::string resumes; // id of the request that began the stream; empty: as the caller's
};

// Load that an upstream reports in a response.
struct LoadSample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::optional<std::uint32_t> pace; // how long work takes there now; 100: the usual time, 200: twice as long
};

// The properties of an upstream's response head that routing depends on.
struct UpstreamResponse
{
    std::string requestId; // empty if not echoed
    bool isSigned = false; // the response carries the upstream's signature
    bool isNotExecuted = false; // the upstream guarantees that the request did not and will not run
    bool isEncoded = false; // a content coding was applied to the body
    bool isLeaving = false; // the upstream will end; it wants no new requests
    std::optional<base::Duration> pause; // with a refusal: the upstream wants no requests from this router for so long
    std::optional<double> requestLimit; // requests a second that the upstream takes from all routers together; positive
    bool isFull = false; // the upstream has rejected the request because it has no room
    std::optional<std::uint32_t> brittle; // the upstream crashes if it rejects more requests in a second
    std::optional<LoadSample> load;
    bool isLoadUnreadable = false; // the upstream reports its load in a form that is not known
    std::optional<base::WeightsVersion> weights;
    std::optional<base::Duration> keepAlive; // idle time after which the upstream closes the connection
};

class Dialect
{
public:
    virtual ~Dialect() = default;

    [[nodiscard]] virtual CallerRequest parseRequest(const HttpRequestHead &head) const = 0;
    // Returns the serialized request head without Content-Length and without the final empty line.
    [[nodiscard]] virtual std::string formatAttemptHead(const HttpRequestHead &head, const AttemptPlan &plan) const = 0;
    // The same for a request to another router, which decides about it like about a caller's.
    [[nodiscard]] virtual std::string formatForwardHead(const HttpRequestHead &head, const ForwardPlan &plan) const = 0;
    [[nodiscard]] virtual UpstreamResponse parseResponse(const HttpResponseHead &head) const = 0;
    // Name of the field that carries the request id, for responses of the router itself.
    [[nodiscard]] virtual std::string_view requestIdField() const = 0;
    // Name of the field by which a response guarantees that the request did not and will not run.
    [[nodiscard]] virtual std::string_view notExecutedField() const = 0;
    // Path of the readiness check.
    [[nodiscard]] virtual std::string_view readinessPath() const = 0;
};

} // namespace carawaylatch::proxy
