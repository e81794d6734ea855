// The placement of one attempt, its outcome, and the interface that chooses the
// placement.
#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/relay/engineconnection.h"

namespace carawaylatch::relay
{

enum class AttemptPurpose {
    Fresh, // first attempt, or a retry before any token was delivered
    Continue, // continues on another engine from the prompt plus the delivered tokens
    Hedge, // parallel attempt to a slow one, before any token was delivered
};

// The upstream chosen for an attempt. The engine must echo incarnation, weights
// version and salt before any of its tokens is delivered.
struct AttemptPlan
{
    base::UpstreamId upstream;
    base::Endpoint endpoint;
    base::Incarnation incarnation;
    base::WeightsVersion weightsVersion;
    base::CacheSalt salt;
};

// An incarnation of an upstream on which an attempt of this request already failed.
struct ExcludedUpstream
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;

    bool operator==(const ExcludedUpstream &) const = default;
};

struct PlacementRequest
{
    AttemptPurpose purpose = AttemptPurpose::Fresh;
    // Set once a token was delivered: the answer may only continue with this version.
    std::optional<base::WeightsVersion> weightsVersion;
    // A plan for one of these is rejected. The same upstream with a new incarnation
    // is allowed. For a hedge, the upstream of the running attempt is included.
    std::span<const ExcludedUpstream> excluded;
    std::uint64_t delivered = 0; // tokens that the caller already has
    base::TimePoint now;
};

enum class AttemptResult {
    Finished, // this attempt delivered the end of the answer
    Broken, // see breakKind
    Stale, // the echo differed from the plan; see head
    Cancelled, // another attempt was faster, the caller disconnected or the deadline passed
};

// How an attempt ended.
struct AttemptOutcome
{
    base::AttemptId attempt;
    AttemptPlan plan;
    AttemptPurpose purpose = AttemptPurpose::Fresh;
    AttemptResult result = AttemptResult::Broken;
    std::optional<BreakKind> breakKind;
    std::optional<EngineHead> head; // the echo, if one was received
    std::optional<base::Duration> firstToken; // since the attempt's start
    std::uint64_t tokens = 0; // delivered from this attempt
    std::optional<TokenUsage> usage; // known when finished
};

// Chooses upstreams for one request and is notified of the outcome of its attempts.
// Calls for one request are serialized but come from different threads; they must
// not block for long.
class Placer
{
public:
    virtual ~Placer() = default;
    // Returns the next upstream, or why there is none (with retryAfter).
    [[nodiscard]] virtual base::Result<AttemptPlan> place(const PlacementRequest &request) = 0;
    // Called once per attempt, when its first token arrived.
    virtual void firstToken(const AttemptPlan &plan, base::Duration sinceStart) = 0;
    // Called once per placed attempt, when it ended.
    virtual void ended(const AttemptOutcome &outcome) = 0;
};

// Returns the name of an attempt's result, as used in metrics.
[[nodiscard]] std::string_view attemptResultName(AttemptResult result);

} // namespace carawaylatch::relay
