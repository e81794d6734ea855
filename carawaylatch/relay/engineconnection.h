// What the relay needs from a connection to a model engine; http/ implements it
// over the wire of docs/design/wire.md, tests implement it with fakes.
//
// run() blocks its thread for the whole attempt and reports to the listener
// from that thread: at most one onHead, then tokens, then exactly one of onDone
// and onBroken. cancel() may be called from any thread, ends the attempt early
// and tells the engine to stop the work.
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

// Work that goes on where another attempt ended.
struct Continuation
{
    std::uint64_t firstIndex = 0; // index of the first token still missing
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
    std::string_view prompt; // outlives the attempt
    std::uint32_t maxTokens = 0;
    std::optional<Continuation> continuation;
    // Set to take up the attempt's own stream again after its connection broke.
    std::optional<std::uint64_t> resumeFrom;
    base::Duration timeout{}; // until the first byte, and between two events
};

// The engine's echo, checked before any token is delivered.
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
    std::uint64_t count = 0; // tokens of the whole answer, continuation included
    std::string finishReason;
    TokenUsage usage;
};

enum class BreakKind {
    NotSent, // no byte of the request left; the engine ran nothing
    Refused, // the engine said that it will not run this attempt
    Lost, // the connection broke or timed out after the request was sent
    Malformed, // the answer could not be understood
    Cancelled,
};

class EngineListener
{
public:
    virtual ~EngineListener() = default;
    // Optional: the whole request left. Where it is not reported, a head implies it.
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
