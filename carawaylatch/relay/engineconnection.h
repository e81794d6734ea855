// Interface of a connection to a model engine. http/ implements it with the protocol
// of docs/design/wire.md, tests implement it with fakes.
//
// run() blocks its thread for the whole attempt and calls the listener on that
// thread: at most one onHead, then tokens, then exactly one of onDone and
// onBroken. cancel() may be called from any thread; it ends the attempt early and
// tells the engine to stop working on it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::relay
{

// The part of an answer that earlier attempts delivered.
struct Continuation
{
    std::uint64_t firstIndex = 0; // index of the first missing token
    std::string_view generated; // text of all tokens before it
};

struct EngineRequest
{
    base::AttemptId attempt;
    std::string requestId;
    base::UpstreamId upstream;
    base::Endpoint endpoint;
    base::ModelId model;
    base::CacheSalt salt;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::string_view prompt; // must outlive the attempt
    std::uint32_t maxTokens = 0;
    std::optional<Continuation> continuation;
    // Set to resume the attempt's stream at this token after its connection broke.
    std::optional<std::uint64_t> resumeFrom;
    base::Duration timeout{}; // until the first byte and between two events
};

// Head of the engine's response: the echo that is checked before any token is delivered.
struct EngineHead
{
    base::AttemptId attempt;
    base::Incarnation incarnation;
    base::WeightsVersion weightsVersion;
    base::CacheSalt salt;
};

struct TokenEvent
{
    std::uint64_t index = 0;
    std::string text;
};

struct TokenUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
};

struct DoneEvent
{
    std::uint64_t count = 0; // tokens of the whole answer, including those of earlier attempts
    std::string finishReason;
    TokenUsage usage;
};

enum class BreakKind {
    NotSent, // no byte of the request was sent; the engine ran nothing
    Refused, // the engine rejected the attempt without running it
    Lost, // the connection broke or timed out after the request was sent
    Malformed, // the response could not be parsed
    Cancelled,
};

class EngineListener
{
public:
    virtual ~EngineListener() = default;
    // The whole request was sent. Optional: onHead implies it.
    virtual void onSent()
    {
    }
    virtual void onHead(const EngineHead &head) = 0;
    virtual void onToken(const TokenEvent &token) = 0;
    virtual void onDone(const DoneEvent &done) = 0;
    virtual void onBroken(BreakKind kind, const base::Error &error) = 0;
};

class EngineConnection
{
public:
    virtual ~EngineConnection() = default;
    virtual void run(const EngineRequest &request, EngineListener &listener) = 0;
    virtual void cancel(base::AttemptId attempt) = 0;
};

} // namespace carawaylatch::relay
