// How callers and upstreams spell what the router decides on.
//
// The traffic plane works on CallerRequest, AttemptPlan and UpstreamResponse. A
// Dialect translates them from and to HTTP fields; nothing else in the plane
// knows the name of such a field.
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

// One part of a prompt; requests with equal first parts share prompt state.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

// A caller's request as decisions see it.
struct CallerRequest
{
    std::string id; // empty if the caller sent none
    std::string host;
    std::string key; // empty if the caller sent none
    std::optional<base::Duration> callerTimeout; // how long the caller waits
    std::optional<std::uint64_t> lastEventId; // a stream that goes on after this event
    base::ModelId model; // empty for plain services
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> parts; // the last one belongs to this request alone
};

// What is decided about one attempt.
struct AttemptPlan
{
    base::UpstreamId upstream;
    base::Duration timeLeft{}; // that the caller still waits
    base::CustomerId customer; // empty on public routes
    std::uint32_t urgency = 0; // zero is the most urgent
    std::string cacheNamespace; // empty for plain services
    base::WeightsVersion weights; // that the upstream must have; zero: any
    std::optional<std::uint64_t> lastEventId; // the stream goes on after this event
    std::optional<base::Endpoint> fetchFrom; // source of prompt state worth fetching
    std::optional<base::Endpoint> saveTo; // store that keeps the shared prompt state
};

// Load as an upstream tells it with an answer.
struct LoadSample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

// An upstream's response head as decisions see it.
struct UpstreamResponse
{
    std::string requestId; // empty if not echoed
    bool isSigned = false; // the upstream vouches for status and body
    bool isNotExecuted = false; // the request did not run and never will
    bool isEncoded = false; // the body is not the upstream's own bytes
    std::optional<LoadSample> load;
    std::optional<base::WeightsVersion> weights;
    std::optional<base::Duration> keepAlive; // idle time after which it closes the connection
};

class Dialect
{
public:
    virtual ~Dialect() = default;

    [[nodiscard]] virtual CallerRequest parseRequest(const HttpRequestHead &head) const = 0;
    // Returns the head to send, ready for the wire, without Content-Length.
    [[nodiscard]] virtual std::string formatAttemptHead(const HttpRequestHead &head, const AttemptPlan &plan) const = 0;
    [[nodiscard]] virtual UpstreamResponse parseResponse(const HttpResponseHead &head) const = 0;
    // Name of the field with a request's id, for answers of the router itself.
    [[nodiscard]] virtual std::string_view requestIdField() const = 0;
    // Path on which readiness is asked for.
    [[nodiscard]] virtual std::string_view readinessPath() const = 0;
};

} // namespace carawaylatch::proxy
