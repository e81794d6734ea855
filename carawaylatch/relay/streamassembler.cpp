// The request has one position, m_delivered: the index of the next token to
// deliver. Tokens of all attempts are compared with it, never with each other. A
// token below it is a duplicate, one above it shows a gap, and only the winner's
// token at it is delivered, so this comparison ensures order and exactly-once
// delivery.
//
// An attempt can only win if its echo equals its plan in attempt id, incarnation,
// weights version and salt. The list of upstreams may be out of date and answers may
// be misrouted; this final check depends only on the answer itself.
//
// When a run ends early, recovery is tried in this order:
//   resume        same attempt and incarnation, from m_delivered. Tried first if the
//                 connection broke after the request was sent, since it costs the
//                 engine nothing.
//   continuation  another engine with the same weights version and salt, from the
//                 prompt plus the delivered text; only for idempotent calls
//   retry         a fresh attempt, only if nothing was delivered
// Resumes are limited per attempt, runs per request; the deadlines apply to all of
// them. If nothing is left to try, the request ends with Abort and the reason.
//
// A hedge is a parallel attempt before any token was delivered. The attempt with
// the first token wins and the other is cancelled; its late events are ignored.
#include "carawaylatch/relay/streamassembler.h"

#include <algorithm>
#include <string>
#include <utility>

#include "carawaylatch/relay/retrybudget.h"

namespace carawaylatch::relay
{

using base::ErrorKind;

std::string_view attemptStateName(AttemptState state)
{
    switch (state) {
    case AttemptState::Queued:
        return "queued";
    case AttemptState::Connecting:
        return "connecting";
    case AttemptState::Sent:
        return "sent";
    case AttemptState::FirstByte:
        return "first_byte";
    case AttemptState::Streaming:
        return "streaming";
    case AttemptState::Done:
        return "done";
    case AttemptState::Failed:
        return "failed";
    }
    return "unknown";
}

StreamAssembler::StreamAssembler(const StreamOptions &options, base::TimePoint now)
    : m_options(options)
    , m_lastProgress(now)
    , m_lastError(base::fail(ErrorKind::Unavailable, "no attempt was made; try again later", options.retryAfter))
{
    m_attempts.reserve(2);
}

void StreamAssembler::start(base::TimePoint now, Actions &out)
{
    if (!m_isOver && m_runCount == 0 && !deadlinePassed(now, out)) {
        requestPlacement(now, out);
    }
}

void StreamAssembler::placed(base::AttemptId attempt, const AttemptPlan &plan, AttemptPurpose purpose, base::TimePoint now, Actions &out)
{
    const bool isAsked = purpose == AttemptPurpose::Hedge ? m_isHedgePlacementPending : m_pendingPlacement == purpose;
    if (!isAsked || find(attempt) != nullptr) {
        return;
    }
    if (purpose == AttemptPurpose::Hedge) {
        m_isHedgePlacementPending = false;
    } else {
        m_pendingPlacement.reset();
    }
    Attempt candidate{.id = attempt, .plan = plan, .purpose = purpose, .state = AttemptState::Connecting, .started = now};
    if (m_isOver || deadlinePassed(now, out)) {
        endAttempt(candidate, AttemptResult::Cancelled, std::nullopt);
        return;
    }
    if (!isAcceptable(plan, purpose)) {
        endAttempt(candidate, AttemptResult::Cancelled, std::nullopt);
        notPlaced(purpose,
                  base::fail(ErrorKind::Unavailable, "the placement returned an upstream that this answer can't use; try again later", m_options.retryAfter),
                  now, out);
        return;
    }
    const bool isTooLate = (m_firstTokenPlan && purpose != AttemptPurpose::Continue) || m_runCount >= m_options.maxRuns;
    if (isTooLate) {
        endAttempt(candidate, AttemptResult::Cancelled, std::nullopt);
        if (!anyLive()) {
            requestPlacement(now, out);
        }
        return;
    }
    if (purpose == AttemptPurpose::Continue) {
        m_winner = attempt;
    }
    ++m_runCount;
    m_lastProgress = now;
    m_attempts.push_back(std::move(candidate));
    out.push_back({.kind = ActionKind::Start, .attempt = attempt, .purpose = purpose, .index = m_delivered});
}

void StreamAssembler::notPlaced(AttemptPurpose purpose, const base::Error &error, base::TimePoint now, Actions &out)
{
    if (m_isOver || deadlinePassed(now, out)) {
        return;
    }
    if (purpose == AttemptPurpose::Hedge) {
        m_isHedgePlacementPending = false;
    } else {
        m_pendingPlacement.reset();
        m_lastError = error;
    }
    abortIfNoneActive(out);
}

void StreamAssembler::sent(base::AttemptId attempt, base::TimePoint now, Actions &out)
{
    Attempt *it = findLive(attempt);
    if (it == nullptr || deadlinePassed(now, out)) {
        return;
    }
    it->mayHaveRun = true;
    if (it->state == AttemptState::Connecting) {
        it->state = AttemptState::Sent;
    }
}

void StreamAssembler::head(base::AttemptId attempt, const EngineHead &echo, base::TimePoint now, Actions &out)
{
    Attempt *it = findLive(attempt);
    if (it == nullptr || deadlinePassed(now, out)) {
        return;
    }
    it->mayHaveRun = true;
    it->head = echo;
    const AttemptPlan &plan = it->plan;
    const bool isExpected =
        echo.attempt == attempt && echo.incarnation == plan.incarnation && echo.weightsVersion == plan.weightsVersion && echo.salt == plan.salt;
    if (!isExpected) {
        recover(*it, BreakKind::Malformed,
                base::fail(ErrorKind::StaleState, "the engine's echo differs from the placement; try again later", m_options.retryAfter),
                Recovery::AnotherEngine, now, out);
        return;
    }
    if (it->state == AttemptState::Connecting || it->state == AttemptState::Sent) {
        it->state = AttemptState::FirstByte;
    }
}

void StreamAssembler::token(base::AttemptId attempt, const TokenEvent &event, base::TimePoint now, Actions &out)
{
    Attempt *it = findLive(attempt);
    if (it == nullptr || deadlinePassed(now, out)) {
        return;
    }
    const bool isVerified = it->state == AttemptState::FirstByte || it->state == AttemptState::Streaming;
    const bool isTooMuch =
        event.text.size() > m_options.maxTokenBytes || m_delivered >= m_options.maxTokens || m_text.size() + event.text.size() > m_options.maxTextBytes;
    if (isVerified && event.index < m_delivered) {
        return; // a duplicate
    }
    if (!isVerified || event.index > m_delivered || isTooMuch) {
        recover(*it, BreakKind::Malformed,
                base::fail(ErrorKind::Truncated, "the engine sent a token without a head, out of order or over a limit; try again later", m_options.retryAfter),
                Recovery::AnotherEngine, now, out);
        return;
    }
    if (it->state == AttemptState::FirstByte) {
        it->state = AttemptState::Streaming;
    }
    selectWinner(*it, now, out);
    it->resumes = 0;
    ++it->tokens;
    m_lastProgress = now;
    m_text += event.text;
    out.push_back({.kind = ActionKind::Deliver, .attempt = attempt, .index = m_delivered, .text = event.text});
    ++m_delivered;
}

void StreamAssembler::done(base::AttemptId attempt, const DoneEvent &event, base::TimePoint now, Actions &out)
{
    Attempt *it = findLive(attempt);
    if (it == nullptr) {
        return;
    }
    const bool isVerified = it->state == AttemptState::FirstByte || it->state == AttemptState::Streaming;
    if (!isVerified || event.count != m_delivered) {
        if (!deadlinePassed(now, out)) {
            recover(*it, BreakKind::Malformed,
                    base::fail(ErrorKind::Truncated, "the engine's token count differs from the tokens received; try again later", m_options.retryAfter),
                    Recovery::AnotherEngine, now, out);
        }
        return;
    }
    selectWinner(*it, now, out);
    endAttempt(*it, AttemptResult::Finished, std::nullopt);
    m_outcomes.back().usage = event.usage;
    m_isOver = true;
    out.push_back({.kind = ActionKind::Finish, .attempt = attempt, .index = m_delivered});
}

void StreamAssembler::broken(base::AttemptId attempt, BreakKind kind, const base::Error &error, base::TimePoint now, Actions &out)
{
    Attempt *it = findLive(attempt);
    if (it == nullptr || deadlinePassed(now, out)) {
        return;
    }
    recover(*it, kind, error, Recovery::ResumeFirst, now, out);
}

void StreamAssembler::callerGone(base::TimePoint, Actions &out)
{
    if (!m_isOver) {
        abort(base::fail(ErrorKind::Cancelled, "the caller disconnected; its request was cancelled"), out);
    }
}

void StreamAssembler::written(base::TimePoint now)
{
    m_lastProgress = now;
}

void StreamAssembler::idle(base::TimePoint now, Actions &out)
{
    Attempt *it = findLive(m_winner);
    if (it == nullptr || now - m_lastProgress < m_options.idleTimeout || deadlinePassed(now, out)) {
        return;
    }
    recover(*it, BreakKind::Lost, base::fail(ErrorKind::Truncated, "the engine sent no token within the idle timeout; try again later", m_options.retryAfter),
            Recovery::AnotherEngine, now, out);
}

void StreamAssembler::tick(base::TimePoint now, Actions &out)
{
    if (!m_isOver) {
        (void)deadlinePassed(now, out);
    }
}

void StreamAssembler::hedgeDue(base::TimePoint now, Actions &out)
{
    const bool isAllowed = !m_isOver && !m_isHedgeRequested && m_winner.value == 0 && anyLive() && m_runCount < m_options.maxRuns
                           && m_options.idempotency == config::Idempotency::Idempotent;
    if (!isAllowed || deadlinePassed(now, out)) {
        return;
    }
    m_isHedgeRequested = true;
    m_isHedgePlacementPending = true;
    out.push_back({.kind = ActionKind::Place, .purpose = AttemptPurpose::Hedge});
}

bool StreamAssembler::isOver() const
{
    return m_isOver;
}

std::uint64_t StreamAssembler::delivered() const
{
    return m_delivered;
}

std::string_view StreamAssembler::deliveredText() const
{
    return m_text;
}

std::optional<base::WeightsVersion> StreamAssembler::weightsVersion() const
{
    return m_firstTokenPlan ? std::optional(m_firstTokenPlan->weightsVersion) : std::nullopt;
}

std::vector<ExcludedUpstream> StreamAssembler::excluded(AttemptPurpose purpose) const
{
    std::vector<ExcludedUpstream> upstreams;
    for (const Attempt &it : m_attempts) {
        if (!isLive(it) || purpose == AttemptPurpose::Hedge) {
            upstreams.push_back({it.plan.upstream, it.plan.incarnation});
        }
    }
    return upstreams;
}

AttemptState StreamAssembler::state(base::AttemptId attempt) const
{
    const Attempt *it = find(attempt);
    return it == nullptr ? AttemptState::Failed : it->state;
}

const AttemptPlan *StreamAssembler::plan(base::AttemptId attempt) const
{
    const Attempt *it = find(attempt);
    return it == nullptr ? nullptr : &it->plan;
}

std::vector<AttemptOutcome> StreamAssembler::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

std::uint32_t StreamAssembler::runCount() const
{
    return m_runCount;
}

const StreamAssembler::Attempt *StreamAssembler::find(base::AttemptId id) const
{
    const auto it = std::find_if(m_attempts.begin(), m_attempts.end(), [id](const Attempt &attempt) {
        return attempt.id == id;
    });
    return it == m_attempts.end() ? nullptr : &*it;
}

StreamAssembler::Attempt *StreamAssembler::findLive(base::AttemptId id)
{
    for (Attempt &it : m_attempts) {
        if (it.id == id) {
            return !m_isOver && isLive(it) ? &it : nullptr;
        }
    }
    return nullptr;
}

bool StreamAssembler::isLive(const Attempt &attempt)
{
    return attempt.state != AttemptState::Done && attempt.state != AttemptState::Failed;
}

bool StreamAssembler::anyLive() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), isLive);
}

bool StreamAssembler::deadlinePassed(base::TimePoint now, Actions &out)
{
    const bool isFirstLate = m_delivered == 0 && now >= m_options.firstTokenDeadline;
    if (!isFirstLate && now < m_options.deadline) {
        return false;
    }
    abort(base::fail(ErrorKind::Overloaded, "the deadline passed before the answer was ready; try again later or set a later deadline", m_options.retryAfter),
          out);
    return true;
}

bool StreamAssembler::isAcceptable(const AttemptPlan &plan, AttemptPurpose purpose) const
{
    if (m_firstTokenPlan && (plan.weightsVersion != m_firstTokenPlan->weightsVersion || plan.salt != m_firstTokenPlan->salt)) {
        return false;
    }
    const auto avoid = excluded(purpose);
    return std::find(avoid.begin(), avoid.end(), ExcludedUpstream{plan.upstream, plan.incarnation}) == avoid.end();
}

AttemptPurpose StreamAssembler::neededPurpose() const
{
    return m_delivered > 0 ? AttemptPurpose::Continue : AttemptPurpose::Fresh;
}

void StreamAssembler::requestPlacement(base::TimePoint, Actions &out)
{
    if (m_pendingPlacement) {
        return;
    }
    if (m_runCount >= m_options.maxRuns) {
        abortIfNoneActive(out);
        return;
    }
    m_pendingPlacement = neededPurpose();
    out.push_back({.kind = ActionKind::Place, .purpose = *m_pendingPlacement});
}

void StreamAssembler::recover(Attempt &attempt, BreakKind kind, const base::Error &error, Recovery recovery, base::TimePoint now, Actions &out)
{
    m_lastError = error;
    const bool wasSent = kind == BreakKind::Lost || kind == BreakKind::Malformed || kind == BreakKind::Cancelled;
    attempt.mayHaveRun = attempt.mayHaveRun || wasSent;
    if (recovery == Recovery::ResumeFirst && tryResume(attempt, kind, out)) {
        return;
    }
    if (recovery == Recovery::AnotherEngine) {
        out.push_back({.kind = ActionKind::Cancel, .attempt = attempt.id});
    }
    const bool isStale = error.kind == ErrorKind::StaleState;
    endAttempt(attempt, isStale ? AttemptResult::Stale : AttemptResult::Broken, kind);
    if (anyLive() || m_pendingPlacement) {
        return; // another attempt may still answer
    }
    // The retry rule depends on whether any run of this attempt may have started, not only the last one.
    const BreakKind effective = attempt.mayHaveRun ? BreakKind::Lost : kind;
    const auto verdict = mayRetry(m_options.idempotency, effective, m_delivered);
    const bool mayContinue = verdict == RetryVerdict::AlreadyDelivered && m_options.idempotency == config::Idempotency::Idempotent;
    if (verdict == RetryVerdict::Allowed || mayContinue) {
        requestPlacement(now, out);
        return;
    }
    abort(error, out);
}

bool StreamAssembler::tryResume(Attempt &attempt, BreakKind kind, Actions &out)
{
    const bool isHeldByEngine = kind == BreakKind::Lost || kind == BreakKind::Malformed;
    const bool isAlone = std::count_if(m_attempts.begin(), m_attempts.end(), isLive) == 1;
    if (!isHeldByEngine || !isAlone || attempt.resumes >= m_options.maxResumes || m_runCount >= m_options.maxRuns) {
        return false;
    }
    ++attempt.resumes;
    ++m_runCount;
    attempt.state = AttemptState::Connecting; // the echo is checked again
    out.push_back({.kind = ActionKind::Resume, .attempt = attempt.id, .purpose = attempt.purpose, .index = m_delivered});
    return true;
}

void StreamAssembler::selectWinner(Attempt &attempt, base::TimePoint now, Actions &out)
{
    const bool isFirst = !m_firstTokenPlan;
    if (isFirst) {
        m_winner = attempt.id;
        m_firstTokenPlan = attempt.plan;
        cancelOthers(&attempt, out);
    }
    if (!attempt.firstToken) {
        attempt.firstToken = now - attempt.started;
        out.push_back({.kind = ActionKind::FirstToken, .attempt = attempt.id, .purpose = attempt.purpose, .elapsed = *attempt.firstToken});
    }
    if (isFirst) {
        out.push_back({.kind = ActionKind::Begin, .attempt = attempt.id});
    }
}

void StreamAssembler::endAttempt(Attempt &attempt, AttemptResult result, std::optional<BreakKind> kind)
{
    attempt.state = result == AttemptResult::Finished ? AttemptState::Done : AttemptState::Failed;
    m_outcomes.push_back({.attempt = attempt.id,
                          .plan = attempt.plan,
                          .purpose = attempt.purpose,
                          .result = result,
                          .breakKind = kind,
                          .head = attempt.head,
                          .firstToken = attempt.firstToken,
                          .tokens = attempt.tokens,
                          .usage = std::nullopt});
}

void StreamAssembler::cancelOthers(const Attempt *keep, Actions &out)
{
    for (Attempt &it : m_attempts) {
        if (&it != keep && isLive(it)) {
            out.push_back({.kind = ActionKind::Cancel, .attempt = it.id});
            endAttempt(it, AttemptResult::Cancelled, std::nullopt);
        }
    }
}

void StreamAssembler::abortIfNoneActive(Actions &out)
{
    if (!anyLive() && !m_pendingPlacement && !m_isHedgePlacementPending) {
        abort(m_lastError, out);
    }
}

void StreamAssembler::abort(base::Error error, Actions &out)
{
    m_isOver = true;
    cancelOthers(nullptr, out);
    out.push_back({.kind = ActionKind::Abort, .index = m_delivered, .error = finalError(std::move(error))});
}

base::Error StreamAssembler::finalError(base::Error error) const
{
    if (error.kind == ErrorKind::Cancelled) {
        return error;
    }
    const bool mayHaveRun = std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt &it) {
        return it.mayHaveRun;
    });
    if (mayHaveRun && m_options.idempotency == config::Idempotency::AtMostOnce) {
        return base::fail(ErrorKind::Unclear, "the call may have run: " + error.message + "; check its outcome before repeating it");
    }
    // Unavailable would mean that the call had no effect.
    if (m_delivered > 0 || (mayHaveRun && error.kind == ErrorKind::Unavailable)) {
        error.kind = ErrorKind::Truncated;
    }
    if (error.retryAfter <= base::Duration::zero()) {
        error.retryAfter = m_options.retryAfter;
    }
    return error;
}

} // namespace carawaylatch::relay
