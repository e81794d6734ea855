// Assembles the token stream of one request from one or more attempts.
//
// The assembler is a state machine without I/O or clock: events of attempts, the
// caller and timers go in, actions come out. It guarantees:
// - Tokens 0, 1, 2, ... are delivered in order, each exactly once, only from attempts
//   whose echo matched their plan, and all from one weights version.
// - Finish is returned only if the token count in the final event equals the number
//   of delivered tokens; in every other case Abort is returned with the reason.
// - Exactly one of the two is returned, exactly once.
//
//     StreamAssembler stream(options, now);
//     stream.start(now, actions);                  // -> Place{Fresh}
//     stream.placed(id, plan, purpose, now, actions); // -> Start{id}
//     stream.head(id, echo, now, actions);         // checked against the plan
//     stream.token(id, event, now, actions);       // -> Begin, Deliver
//     stream.done(id, event, now, actions);        // -> Finish
//
// After a broken connection the assembler first resumes the attempt's stream on the
// same incarnation (Resume); if that fails it places a continuation on another
// engine (Place{Continue}). Late, misrouted and duplicate events of ended attempts
// are discarded.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/relay/attemptplan.h"
#include "carawaylatch/relay/engineconnection.h"

namespace carawaylatch::relay
{

// State of one attempt.
enum class AttemptState {
    Queued, // requested, not placed yet
    Connecting, // passed to the connection; not known whether a byte was sent
    Sent, // the request was sent; the engine may be running it
    FirstByte, // the echo was received and matched
    Streaming, // at least one token was received
    Done, // the final event was received with the right token count
    Failed, // broken, stale, cancelled, or slower than another attempt
};
inline constexpr std::array AllAttemptStates = {AttemptState::Queued,    AttemptState::Connecting, AttemptState::Sent,  AttemptState::FirstByte,
                                                AttemptState::Streaming, AttemptState::Done,       AttemptState::Failed};
[[nodiscard]] std::string_view attemptStateName(AttemptState state);

enum class ActionKind {
    Place, // choose an upstream for `purpose`; report it with placed() or notPlaced()
    Start, // run attempt `attempt`; `index` is its first token
    Resume, // resume attempt `attempt` at token `index`
    Cancel, // cancel attempt `attempt` here and on the engine
    FirstToken, // attempt `attempt` returned its first token `elapsed` after its start
    Begin, // send the head of the answer to the caller
    Deliver, // send `text`, token `index`, to the caller
    Finish, // the answer is complete with `index` tokens
    Abort, // report `error` to the caller and terminate the transfer as incomplete
};

struct Action
{
    ActionKind kind = ActionKind::Abort;
    base::AttemptId attempt{};
    AttemptPurpose purpose = AttemptPurpose::Fresh;
    std::uint64_t index = 0;
    std::string_view text{}; // refers to the event that caused the action
    base::Duration elapsed{};
    std::optional<base::Error> error{};
};
using Actions = std::vector<Action>;

struct StreamOptions
{
    config::Idempotency idempotency = config::Idempotency::Idempotent;
    base::TimePoint firstTokenDeadline;
    base::TimePoint deadline; // for the whole answer
    base::Duration retryAfter = base::seconds{1}; // in errors that have no value of their own
    base::Duration idleTimeout = base::seconds{10}; // between two tokens
    std::uint32_t maxRuns = 6; // of all attempts together, including resumes
    std::uint32_t maxResumes = 2; // of one attempt without a new token in between
    std::uint64_t maxTokens = 1'000'000; // more tokens are treated as malformed
    std::size_t maxTokenBytes = 65'536; // a longer token is treated as malformed
    std::size_t maxTextBytes = 16'000'000; // delivered text kept for a continuation
};

class StreamAssembler
{
public:
    StreamAssembler(const StreamOptions &options, base::TimePoint now);

    // Each event appends its actions to `out`.
    void start(base::TimePoint now, Actions &out);
    void placed(base::AttemptId attempt, const AttemptPlan &plan, AttemptPurpose purpose, base::TimePoint now, Actions &out);
    void notPlaced(AttemptPurpose purpose, const base::Error &error, base::TimePoint now, Actions &out);
    void sent(base::AttemptId attempt, base::TimePoint now, Actions &out);
    void head(base::AttemptId attempt, const EngineHead &echo, base::TimePoint now, Actions &out);
    void token(base::AttemptId attempt, const TokenEvent &event, base::TimePoint now, Actions &out);
    void done(base::AttemptId attempt, const DoneEvent &event, base::TimePoint now, Actions &out);
    void broken(base::AttemptId attempt, BreakKind kind, const base::Error &error, base::TimePoint now, Actions &out);
    void callerGone(base::TimePoint now, Actions &out);
    // A write to the caller ended; restarts the idle timeout.
    void written(base::TimePoint now);
    // Fails the attempt being delivered if it returned no token for the idle timeout.
    // Must not be called while a write to the caller is blocked, since nothing is
    // read from the engine then.
    void idle(base::TimePoint now, Actions &out);
    // Aborts the request if one of its deadlines has passed.
    void tick(base::TimePoint now, Actions &out);
    // The hedge delay has passed: requests a hedge if no token was received yet.
    void hedgeDue(base::TimePoint now, Actions &out);

    [[nodiscard]] bool isOver() const;
    [[nodiscard]] std::uint64_t delivered() const;
    // Returns the text of all tokens delivered so far.
    [[nodiscard]] std::string_view deliveredText() const;
    // Returns the weights version of the delivered tokens, if any.
    [[nodiscard]] std::optional<base::WeightsVersion> weightsVersion() const;
    // Returns the upstreams that the next placement for this purpose must not use.
    [[nodiscard]] std::vector<ExcludedUpstream> excluded(AttemptPurpose purpose) const;
    // Returns the state of an attempt; Failed for an unknown one.
    [[nodiscard]] AttemptState state(base::AttemptId attempt) const;
    // Returns the plan of a placed attempt, or null; valid until the next event.
    [[nodiscard]] const AttemptPlan *plan(base::AttemptId attempt) const;
    // Returns the outcomes of attempts that ended since the last call.
    [[nodiscard]] std::vector<AttemptOutcome> takeOutcomes();
    [[nodiscard]] std::uint32_t runCount() const;

private:
    struct Attempt
    {
        base::AttemptId id;
        AttemptPlan plan;
        AttemptPurpose purpose = AttemptPurpose::Fresh;
        AttemptState state = AttemptState::Connecting;
        base::TimePoint started;
        std::optional<EngineHead> head{};
        std::optional<base::Duration> firstToken{};
        std::uint64_t tokens = 0;
        std::uint32_t resumes = 0; // since the last new token
        bool mayHaveRun = false; // once true, stays true for all runs of the attempt
    };
    // How to recover from a run that ended early.
    enum class Recovery {
        ResumeFirst, // the connection broke, but the engine may still hold the stream
        AnotherEngine, // the stream is invalid or stalled, so the run is cancelled
    };

    Attempt *findLive(base::AttemptId id);
    const Attempt *find(base::AttemptId id) const;
    static bool isLive(const Attempt &attempt);
    bool anyLive() const;
    bool deadlinePassed(base::TimePoint now, Actions &out);
    bool isAcceptable(const AttemptPlan &plan, AttemptPurpose purpose) const;
    AttemptPurpose neededPurpose() const;
    void requestPlacement(base::TimePoint now, Actions &out);
    void recover(Attempt &attempt, BreakKind kind, const base::Error &error, Recovery recovery, base::TimePoint now, Actions &out);
    bool tryResume(Attempt &attempt, BreakKind kind, Actions &out);
    void selectWinner(Attempt &attempt, base::TimePoint now, Actions &out);
    void endAttempt(Attempt &attempt, AttemptResult result, std::optional<BreakKind> kind);
    void cancelOthers(const Attempt *keep, Actions &out);
    void abortIfNoneActive(Actions &out);
    void abort(base::Error error, Actions &out);
    base::Error finalError(base::Error error) const;

    StreamOptions m_options;
    // At most maxRuns. Ended attempts are kept so that their late events are recognised.
    std::vector<Attempt> m_attempts;
    std::vector<AttemptOutcome> m_outcomes;
    // The attempt whose tokens are delivered. Set before the first token is
    // delivered and changed only by a continuation.
    base::AttemptId m_winner;
    std::optional<AttemptPurpose> m_pendingPlacement; // Fresh or Continue, requested and not answered
    bool m_isHedgePlacementPending = false;
    bool m_isHedgeRequested = false; // at most one hedge is requested
    bool m_isOver = false; // Finish or Abort was returned
    std::uint32_t m_runCount = 0; // at most maxRuns
    std::uint64_t m_delivered = 0; // delivered tokens; index of the next one
    std::string m_text; // of tokens 0 to m_delivered - 1
    std::optional<AttemptPlan> m_firstTokenPlan; // of the attempt that returned the first token; fixes weights version and salt
    base::TimePoint m_lastProgress;
    base::Error m_lastError;
};

} // namespace carawaylatch::relay
