// One request's stream, put together from one or more attempts.
//
// The assembler is a state machine: events of attempts, of the caller and of
// time go in, actions come out. It does no I/O and reads no clock. Its promise:
// the caller is given tokens 0, 1, 2, ... each exactly once, from attempts that
// echoed what was placed, all of one weights version; Finish comes only when the
// count of the last event equals what was delivered; in every other case Abort
// comes with the reason. One of the two always comes, exactly once.
//
//     StreamAssembler stream(options, now);
//     stream.start(now, actions);                  // -> Place{Fresh}
//     stream.placed(id, plan, purpose, now, actions); // -> Start{id}
//     stream.head(id, echo, now, actions);         // checked against the plan
//     stream.token(id, event, now, actions);       // -> Begin, Deliver
//     stream.done(id, event, now, actions);        // -> Finish
//
// After a break the assembler first takes up the attempt's own stream again on
// the same incarnation (Resume); when that fails it places a continuation on
// another engine (Place{Continue}). Events of attempts that are over, late,
// crossed or duplicated, are discarded.
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

// The life of one attempt. AllAttemptStates lists them for tables and tests.
enum class AttemptState {
    Queued, // wanted, not placed yet
    Connecting, // handed to the connection; it is not known that a byte left
    Sent, // the request left; the engine may be running it
    FirstByte, // the echo came and matched
    Streaming, // at least one token came
    Done, // the last event came and its count is right
    Failed, // broken, stale, lost against a hedge or cancelled
};
inline constexpr std::array AllAttemptStates = {AttemptState::Queued,    AttemptState::Connecting, AttemptState::Sent,  AttemptState::FirstByte,
                                                AttemptState::Streaming, AttemptState::Done,       AttemptState::Failed};
[[nodiscard]] std::string_view attemptStateName(AttemptState state);

enum class ActionKind {
    Place, // ask for an upstream for `purpose`; answer with placed() or notPlaced()
    Start, // run attempt `attempt`; `index` is its first token
    Resume, // take up attempt `attempt` again from token `index`
    Cancel, // end attempt `attempt` and the engine's work for it
    FirstToken, // attempt `attempt` gave its first token `elapsed` after its start
    Begin, // the answer's head may go to the caller
    Deliver, // give `text`, token `index`, to the caller
    Finish, // the answer is whole: `index` tokens
    Abort, // give the caller `error` and end the transfer visibly
};

struct Action
{
    ActionKind kind = ActionKind::Abort;
    base::AttemptId attempt{};
    AttemptPurpose purpose = AttemptPurpose::Fresh;
    std::uint64_t index = 0;
    std::string_view text{}; // valid until the event that caused it is gone
    base::Duration elapsed{};
    std::optional<base::Error> error{};
};
using Actions = std::vector<Action>;

struct StreamOptions
{
    config::Idempotency idempotency = config::Idempotency::Idempotent;
    base::TimePoint firstTokenDeadline;
    base::TimePoint deadline; // for the whole answer
    base::Duration retryAfter = base::seconds{1}; // said where no better figure is known
    base::Duration idleTimeout = base::seconds{10}; // between two tokens
    std::uint32_t maxRuns = 6; // runs of all attempts together, resumes included
    std::uint32_t maxResumes = 2; // of one attempt without a new token in between
    std::uint64_t maxTokens = 1'000'000; // more are a malformed answer
    std::size_t maxTokenBytes = 65'536; // a longer token is a malformed answer
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
    // The caller took what was delivered; silence of the engine counts from here.
    void written(base::TimePoint now);
    // Breaks an attempt that gave no token for the idle timeout. Not to be called
    // while a write to the caller is blocked: then the silence is not the engine's.
    void idle(base::TimePoint now, Actions &out);
    // Checks both deadlines; harmless when none has passed.
    void tick(base::TimePoint now, Actions &out);
    // The hedge delay is over: a second attempt is wanted if none has a token yet.
    void hedgeDue(base::TimePoint now, Actions &out);

    [[nodiscard]] bool isOver() const;
    [[nodiscard]] std::uint64_t delivered() const;
    // Returns the text of all tokens delivered so far.
    [[nodiscard]] std::string_view deliveredText() const;
    // Returns the weights version that delivered tokens are from.
    [[nodiscard]] std::optional<base::WeightsVersion> weightsVersion() const;
    // Returns upstreams that the next placement for this purpose must avoid.
    [[nodiscard]] std::vector<ExcludedUpstream> excluded(AttemptPurpose purpose) const;
    // Returns the state of an attempt; Failed for an unknown one.
    [[nodiscard]] AttemptState state(base::AttemptId attempt) const;
    // Returns the plan of a placed attempt, or null; valid until the next event.
    [[nodiscard]] const AttemptPlan *plan(base::AttemptId attempt) const;
    // Returns outcomes of attempts that ended since the last call.
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
        bool mayHaveRun = false; // never turns false again
    };
    // What follows when a run ends early.
    enum class Recovery {
        ResumeFirst, // the connection is gone, the engine may hold the stream
        AnotherEngine, // the run has to be cancelled, the stream is not to be trusted
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
    // At most maxRuns; ended attempts stay, so that late events are recognised.
    std::vector<Attempt> m_attempts;
    std::vector<AttemptOutcome> m_outcomes;
    // The attempt whose tokens are delivered. Set before the first token is
    // delivered and changed only by a continuation.
    base::AttemptId m_winner;
    std::optional<AttemptPurpose> m_pendingPlacement; // Fresh or Continue asked for, not answered
    bool m_isHedgePlacementPending = false;
    bool m_isHedgeRequested = false; // a hedge was asked for; there is one at most
    bool m_isOver = false; // Finish or Abort went out
    std::uint32_t m_runCount = 0; // at most maxRuns
    std::uint64_t m_delivered = 0; // the next index to deliver
    std::string m_text; // of tokens 0 to m_delivered - 1
    std::optional<AttemptPlan> m_firstTokenPlan; // plan of the first token; fixes version and salt
    base::TimePoint m_lastProgress;
    base::Error m_lastError;
};

} // namespace carawaylatch::relay
