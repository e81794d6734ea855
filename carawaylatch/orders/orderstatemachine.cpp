// One order at one router, from claim to answer.
//
// The claim is optimistic: the first call creates the record if it is absent, so a
// new order costs one write, and only duplicates cost a read. An attempt that finds
// the record of another one waits for its outcome, replays it, or answers with what
// is known.
//
// Why an order runs at most once: a send needs a confirmed claim of the same
// attempt, that is, a successful claim write, or the attempt's id in the record read
// back. Only its claimant moves a record out of state Claimed. So no two attempts
// have confirmed claims unless the first one reopened the record, which it does only
// when mayHaveRun is false and it has stopped sending.
//
// Why NotRun is true: it is answered with the claim confirmed, nothing run and the
// decision made never to send. Any other request for the order finds the claim and
// can't run the order. The claim is reopened only after the answer was given, and a
// reopened record is claimed only by a request that arrived after its router saw the
// reopened record, hence after the answer. If the router restarts between answer and
// reopening, the claim stays and the order is never run.
//
// All other endings without an outcome are answered with Unknown and what this
// attempt did. Elapsed time only ever ends an order, it never permits a claim or a
// send.
#include "carawaylatch/orders/orderstatemachine.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::orders
{

using base::ErrorKind;

namespace
{

constexpr std::string_view SameKeyRemedy = "; send the order again with the same key after retry_after_ms";
constexpr std::string_view AskServiceRemedy = "; ask the service whether the order exists before sending it under a new key";

std::string text(std::string_view what, std::string_view remedy)
{
    return std::string(what).append(remedy);
}

} // namespace

OrderStateMachine::OrderStateMachine(OrderStateMachineRequest request, OrderStateMachineSettings settings)
    : m_request(std::move(request))
    , m_settings(settings)
{
}

const OrderStateMachineState &OrderStateMachine::state() const
{
    return m_state;
}

OrderRecord OrderStateMachine::record(RecordState state) const
{
    OrderRecord record;
    record.state = state;
    record.claimant = m_request.self;
    record.requestDigest = m_request.requestDigest;
    record.epoch = m_request.epoch;
    return record;
}

bool OrderStateMachine::isPastDeadline(base::TimePoint now) const
{
    return now >= m_request.deadline;
}

OrderAction OrderStateMachine::onStart(base::TimePoint now)
{
    if (m_state.step != OrderStep::Idle) {
        return unexpectedEvent();
    }
    return claim(now, {});
}

OrderAction OrderStateMachine::claim(base::TimePoint now, store::Version expected)
{
    if (isPastDeadline(now) || ++m_state.tries > m_settings.maxResolveTries) {
        return retryResolving(now, base::fail(ErrorKind::Overloaded, "no time left to claim the order"));
    }
    m_state.step = OrderStep::Claiming;
    m_state.expected = expected;
    OrderAction action;
    action.kind = OrderActionKind::WriteRecord;
    action.record = record(RecordState::Claimed);
    action.expected = expected;
    return action;
}

OrderAction OrderStateMachine::read(OrderStep step)
{
    m_state.step = step;
    OrderAction action;
    action.kind = OrderActionKind::ReadRecord;
    return action;
}

OrderAction OrderStateMachine::onWritten(base::TimePoint now, const base::Result<store::Version> &result)
{
    if (m_state.step == OrderStep::Claiming) {
        return onClaimWritten(now, result);
    }
    if (m_state.step == OrderStep::Recording) {
        return onOutcomeWritten(result);
    }
    return unexpectedEvent();
}

OrderAction OrderStateMachine::onClaimWritten(base::TimePoint now, const base::Result<store::Version> &result)
{
    if (result) {
        return confirmClaim(now, result.value());
    }
    switch (result.error().kind) {
    case ErrorKind::Conflict:
        return read(m_state.mayHaveClaimed ? OrderStep::ResolvingClaim : OrderStep::Reading);
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
        return retryResolving(now, result.error());
    case ErrorKind::StaleState:
        return refuse(OrderAnswerKind::Unknown, ExecutionStatus::NotRun, result.error());
    default:
        m_state.mayHaveClaimed = true;
        return read(OrderStep::ResolvingClaim);
    }
}

OrderAction OrderStateMachine::confirmClaim(base::TimePoint now, store::Version version)
{
    m_state.claim = version;
    m_state.mayHaveClaimed = false;
    return send(now);
}

// Reads again after a delay if the claim of this attempt may have taken effect;
// otherwise answers, as nothing of this attempt was written.
OrderAction OrderStateMachine::retryResolving(base::TimePoint now, const base::Error &error)
{
    const base::Error refusal{error.kind, text(error.message, SameKeyRemedy), std::max(error.retryAfter, m_settings.retryAfter)};
    if (!m_state.mayHaveClaimed) {
        return refuse(OrderAnswerKind::Unknown, ExecutionStatus::NotRun, refusal);
    }
    if (isPastDeadline(now) || ++m_state.tries > m_settings.maxResolveTries) {
        return refuse(OrderAnswerKind::Unknown, ExecutionStatus::NotRun, refusal,
                      PendingUpdate::reopenUnclear(record(RecordState::Reopened), m_state.expected));
    }
    m_state.step = OrderStep::ResolvingClaim;
    OrderAction action;
    action.kind = OrderActionKind::Pause;
    action.pause = m_settings.initialPollInterval;
    return action;
}

OrderAction OrderStateMachine::onPauseOver(base::TimePoint)
{
    if (m_state.step == OrderStep::ResolvingClaim) {
        return read(OrderStep::ResolvingClaim);
    }
    if (m_state.step == OrderStep::Waiting) {
        return read(OrderStep::Reading);
    }
    return unexpectedEvent();
}

OrderAction OrderStateMachine::onRead(base::TimePoint now, const base::Result<VersionedRecord> &result, ReopenedSeen seen, ClaimantLiveness claimantLiveness)
{
    if (m_state.step != OrderStep::Reading && m_state.step != OrderStep::ResolvingClaim) {
        return unexpectedEvent();
    }
    if (!result) {
        return onReadFailed(now, result.error());
    }
    const VersionedRecord &found = result.value();
    if (found.record.claimant == m_request.self && found.record.state == RecordState::Claimed) {
        return confirmClaim(now, found.version);
    }
    if (m_state.mayHaveClaimed && found.version == m_state.expected) {
        return claim(now, found.version); // the earlier claim write has not taken effect but still can
    }
    m_state.mayHaveClaimed = false; // the version that the claim write was conditional on was replaced
    return onForeignRecord(now, found, seen, claimantLiveness);
}

OrderAction OrderStateMachine::onReadFailed(base::TimePoint now, const base::Error &error)
{
    if (error.kind == ErrorKind::NotFound) {
        return claim(now, {});
    }
    if (error.kind == ErrorKind::StaleState) {
        return refuse(OrderAnswerKind::Unknown, ExecutionStatus::NotRun, error);
    }
    return retryResolving(now, error);
}

OrderAction OrderStateMachine::onForeignRecord(base::TimePoint now, const VersionedRecord &found, ReopenedSeen seen, ClaimantLiveness claimantLiveness)
{
    if (found.record.requestDigest != m_request.requestDigest) {
        return refuse(OrderAnswerKind::Refused, ExecutionStatus::NotRun,
                      base::fail(ErrorKind::InvalidArgument, "the key was used for another request; use a new key for a new order"));
    }
    switch (found.record.state) {
    case RecordState::Done:
        return replay(found.record);
    case RecordState::Lost:
        return refuse(OrderAnswerKind::Unknown, ExecutionStatus::NotRun,
                      base::fail(ErrorKind::Unclear, text("another attempt sent the order and got no answer", AskServiceRemedy)));
    case RecordState::Reopened:
        if (seen == ReopenedSeen::Before) {
            return claim(now, found.version);
        }
        return refuse(
            OrderAnswerKind::Unknown, ExecutionStatus::NotRun,
            base::fail(ErrorKind::Unavailable, text("an earlier attempt ended without running the order", SameKeyRemedy), m_settings.initialPollInterval));
    case RecordState::Claimed:
        break;
    }
    return onForeignClaim(now, claimantLiveness);
}

OrderAction OrderStateMachine::onForeignClaim(base::TimePoint now, ClaimantLiveness claimantLiveness)
{
    if (claimantLiveness == ClaimantLiveness::Gone) {
        return refuse(OrderAnswerKind::Unknown, ExecutionStatus::NotRun,
                      base::fail(ErrorKind::Unclear, text("the router that claimed the order has stopped and may have run it", AskServiceRemedy)));
    }
    if (!m_state.waitUntil) {
        m_state.waitUntil = std::min(m_request.deadline, now + m_settings.maxWait);
    }
    m_state.pause = m_state.pause == base::Duration{} ? m_settings.initialPollInterval : std::min(2 * m_state.pause, m_settings.maxPollInterval);
    if (now + m_state.pause < *m_state.waitUntil) {
        m_state.step = OrderStep::Waiting;
        OrderAction action;
        action.kind = OrderActionKind::Pause;
        action.pause = m_state.pause;
        return action;
    }
    const auto kind = claimantLiveness == ClaimantLiveness::Live ? OrderAnswerKind::Running : OrderAnswerKind::Unknown;
    return refuse(kind, ExecutionStatus::NotRun,
                  base::fail(ErrorKind::Conflict, text("another attempt of the order has not ended", SameKeyRemedy), m_settings.retryAfter));
}

OrderAction OrderStateMachine::send(base::TimePoint now)
{
    if (m_state.mayHaveRun || !m_state.claim) {
        return unexpectedEvent();
    }
    if (isPastDeadline(now)) {
        return abandonUnsent(base::fail(ErrorKind::Overloaded, "the deadline passed before the order could be sent"));
    }
    ++m_state.sends;
    m_state.mayHaveRun = true;
    m_state.step = OrderStep::Sending;
    OrderAction action;
    action.kind = OrderActionKind::Send;
    return action;
}

OrderAction OrderStateMachine::onNoUpstream(base::TimePoint, const base::Error &error)
{
    if (m_state.step != OrderStep::Sending) {
        return unexpectedEvent();
    }
    m_state.mayHaveRun = false;
    return abandonUnsent(error);
}

OrderAction OrderStateMachine::onSent(base::TimePoint now, const base::Result<ServiceAnswer> &result)
{
    if (m_state.step != OrderStep::Sending) {
        return unexpectedEvent();
    }
    const bool isRefused = !result && (result.error().kind == ErrorKind::Unavailable || result.error().kind == ErrorKind::Overloaded);
    if (isRefused) {
        m_state.mayHaveRun = false;
        return m_state.sends < m_settings.maxSends ? send(now) : abandonUnsent(result.error());
    }
    m_outcome = record(RecordState::Lost);
    if (result && result.value().attempt == m_request.self.attempt) {
        const ServiceAnswer &answer = result.value();
        m_outcome.state = RecordState::Done;
        m_outcome.answer = StoredAnswer{answer.status, answer.contentType, answer.body};
    }
    return recordOutcome();
}

OrderAction OrderStateMachine::recordOutcome()
{
    m_state.step = OrderStep::Recording;
    OrderAction action;
    action.kind = OrderActionKind::WriteRecord;
    action.record = dropOversizedAnswer(m_outcome);
    action.expected = *m_state.claim;
    return action;
}

OrderAction OrderStateMachine::onOutcomeWritten(const base::Result<store::Version> &result)
{
    if (result) {
        return answerOutcome(std::nullopt);
    }
    PendingUpdate pendingUpdate(PendingUpdateKind::RecordOutcome, dropOversizedAnswer(m_outcome), *m_state.claim);
    pendingUpdate.onWritten(result);
    return answerOutcome(std::move(pendingUpdate));
}

OrderAction OrderStateMachine::answerOutcome(std::optional<PendingUpdate> pendingUpdate)
{
    if (m_outcome.state == RecordState::Lost) {
        return refuse(OrderAnswerKind::Unknown, ExecutionStatus::MayHaveRun,
                      base::fail(ErrorKind::Unclear, text("the order was sent and no answer came", AskServiceRemedy)), std::move(pendingUpdate));
    }
    m_state.step = OrderStep::Answered;
    OrderAction action;
    action.answer.kind = OrderAnswerKind::Done;
    action.answer.execution = ExecutionStatus::Ran;
    action.answer.answer = m_outcome.answer;
    action.pendingUpdate = std::move(pendingUpdate);
    return action;
}

OrderAction OrderStateMachine::replay(const OrderRecord &found)
{
    if (found.isAnswerDropped) {
        return refuse(OrderAnswerKind::Unknown, ExecutionStatus::NotRun,
                      base::fail(ErrorKind::Unclear, "the order ran, but its answer was too long to keep; read the result at the service"));
    }
    m_state.step = OrderStep::Answered;
    OrderAction action;
    action.answer.kind = OrderAnswerKind::Done;
    action.answer.execution = ExecutionStatus::NotRun;
    action.answer.answer = found.answer;
    return action;
}

OrderAction OrderStateMachine::abandonUnsent(const base::Error &cause)
{
    PendingUpdate pendingUpdate(PendingUpdateKind::Reopen, record(RecordState::Reopened), *m_state.claim);
    base::Error error{ErrorKind::NotRun, text(cause.message, "; the order was not run"), std::max(cause.retryAfter, m_settings.retryAfter)};
    error.message += SameKeyRemedy;
    return refuse(OrderAnswerKind::NotRun, ExecutionStatus::NotRun, std::move(error), std::move(pendingUpdate));
}

OrderAction OrderStateMachine::refuse(OrderAnswerKind kind, ExecutionStatus execution, base::Error error, std::optional<PendingUpdate> pendingUpdate)
{
    m_state.step = OrderStep::Answered;
    OrderAction action;
    action.answer.kind = kind;
    action.answer.execution = execution;
    action.answer.error = std::move(error);
    action.pendingUpdate = std::move(pendingUpdate);
    return action;
}

OrderAction OrderStateMachine::unexpectedEvent()
{
    const auto execution = m_state.sends > 0 ? ExecutionStatus::MayHaveRun : ExecutionStatus::NotRun;
    return refuse(OrderAnswerKind::Unknown, execution,
                  base::fail(ErrorKind::Internal, text("internal error: the event does not match the state of the order", AskServiceRemedy)));
}

} // namespace carawaylatch::orders
