// Where one attempt runs and what its answer has to echo.
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
    Fresh, // the first try, or another one while nothing was delivered
    Continue, // goes on elsewhere from prompt plus the tokens delivered
    Hedge, // a second try beside a slow one, while nothing was delivered
};

// What the placement chose. The engine has to echo incarnation, weights version
// and salt before any of its tokens is delivered.
struct AttemptPlan
{
    base::UpstreamId upstream;
    base::Endpoint endpoint;
    base::Incarnation incarnation;
    base::WeightsVersion weightsVersion;
    base::CacheSalt salt;
};

// One life of an upstream that already failed this request.
struct ExcludedUpstream
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;

    bool operator==(const ExcludedUpstream &) const = default;
};

struct PlacementRequest
{
    AttemptPurpose purpose = AttemptPurpose::Fresh;
    // Set once a token was delivered: only this version may go on.
    std::optional<base::WeightsVersion> weightsVersion;
    // A plan for one of these is refused. The same upstream under a new
    // incarnation is allowed. Hedges exclude the attempt that they stand beside.
    std::span<const ExcludedUpstream> excluded;
    std::uint64_t delivered = 0; // tokens that the caller already has
    base::TimePoint now;
};

enum class AttemptResult {
    Finished, // the whole answer came from this attempt, or its last part
    Broken, // see breakKind
    Stale, // the echo differed from the plan; see head
    Cancelled, // a hedge won, the caller left or the deadline passed
};

// How an attempt ended.
struct AttemptOutcome
{
    base::AttemptId attempt;
    AttemptPlan plan;
    AttemptPurpose purpose = AttemptPurpose::Fresh;
    AttemptResult result = AttemptResult::Broken;
    std::optional<BreakKind> breakKind;
    std::optional<EngineHead> head; // the echo, if one came
    std::optional<base::Duration> firstToken; // from the attempt's start
    std::uint64_t tokens = 0; // delivered from this attempt
    std::optional<TokenUsage> usage; // known when finished
};

// Chooses upstreams for one request and learns from its attempts. Calls of one
// request come one at a time, from different threads, and must not block long.
class Placer
{
public:
    virtual ~Placer() = default;
    // Returns the next upstream, or why there is none (with retryAfter).
    [[nodiscard]] virtual base::Result<AttemptPlan> place(const PlacementRequest &request) = 0;
    // Called once for each attempt, when its first token came.
    virtual void firstToken(const AttemptPlan &plan, base::Duration sinceStart) = 0;
    // Called once for each placed attempt, when it ended.
    virtual void ended(const AttemptOutcome &outcome) = 0;
};

// Returns the name of an attempt's result as it stands in metrics.
[[nodiscard]] std::string_view attemptResultName(AttemptResult result);

} // namespace carawaylatch::relay
