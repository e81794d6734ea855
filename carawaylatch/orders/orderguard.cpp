// One order at one router, from claim to answer.
//
// The claim is optimistic: the first call creates the record if it is absent, so
// a new order costs one write, and only duplicates cost a read. Whoever finds a
// record of another attempt waits for its outcome, replays it, or says what can
// be known.
//
// Why at most once holds. A send needs a confirmed claim of this very attempt:
// the platform said that our write took effect, or reading back showed our
// attempt id. A record leaves the claimed state by its claimant's hand alone, so
// no two attempts have confirmed claims unless the first reopened the record,
// and it does that only when mayHaveRun is false and it has stopped sending.
//
// Why NotRun is true. It is said with our claim confirmed, nothing run and the
// decision made never to send. Every other request for the order finds our claim
// and can't run it. The claim is reopened only after the answer was given, and a
// reopened record is claimed only by a request that arrived after its router saw
// the reopening, so by one that arrived after the answer. A restart between
// answer and reopening leaves the claim where it is; the order then stays unrun.
//
// Everything else that stops short of an outcome is Unknown, with what this
// attempt did. Time only ever makes the guard give up, never act.
#include "carawaylatch/orders/orderguard.h"

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

OrderGuard::OrderGuard(GuardRequest request, GuardSettings settings)
    : m_request(std::move(request))
    , m_settings(settings)
{
}

const GuardState &OrderGuard::state() const
{
    return m_state;
}

OrderRecord OrderGuard::record(RecordState state) const
{
    OrderRecord record;
    record.state = state;
    record.claimant = m_request.self;
    record.requestDigest = m_request.requestDigest;
    record.epoch = m_request.epoch;
    return record;
}

bool OrderGuard::isPastDeadline(base::TimePoint now) const
{
    return now >= m_request.deadline;
}

OrderAction OrderGuard::onStart(base::TimePoint now)
{
    if (m_state.step != OrderStep::Idle) {
        return misfit();
    }
    return claim(now, {});
}

OrderAction OrderGuard::claim(base::TimePoint now, store::Version expected)
{
    if (isPastDeadline(now) || ++m_state.tries > m_settings.maxSettlingTries) {
        return settleAgain(now, base::fail(ErrorKind::Overloaded, "no time left to claim the order"));
    }
    m_state.step = OrderStep::Claiming;
    m_state.expected = expected;
    OrderAction action;
    action.kind = OrderActionKind::WriteRecord;
    action.record = record(RecordState::Claimed);
    action.expected = expected;
    return action;
}

OrderAction OrderGuard::read(OrderStep step)
{
    m_state.step = step;
    OrderAction action;
    action.kind = OrderActionKind::ReadRecord;
    return action;
}

OrderAction OrderGuard::onWritten(base::TimePoint now, const base::Result<store::Version> &result)
{
    if (m_state.step == OrderStep::Claiming) {
        return onClaimWritten(now, result);
    }
    if (m_state.step == OrderStep::Recording) {
        return onOutcomeWritten(result);
    }
    return misfit();
}

OrderAction OrderGuard::onClaimWritten(base::TimePoint now, const base::Result<store::Version> &result)
{
    if (result) {
        return confirmClaim(now, result.value());
    }
    switch (result.error().kind) {
    case ErrorKind::Conflict:
        return read(m_state.mayHaveClaimed ? OrderStep::SettlingClaim : OrderStep::Reading);
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
        return settleAgain(now, result.error());
    case ErrorKind::StaleState:
        return refuse(OrderAnswerKind::Unknown, AttemptFate::NotRun, result.error());
    default:
        m_state.mayHaveClaimed = true;
        return read(OrderStep::SettlingClaim);
    }
}

OrderAction OrderGuard::confirmClaim(base::TimePoint now, store::Version version)
{
    m_state.claim = version;
    m_state.mayHaveClaimed = false;
    return send(now);
}

// Reads again after a pause if our claim may exist, else gives up: nothing of
// this attempt is in the platform.
OrderAction OrderGuard::settleAgain(base::TimePoint now, const base::Error &error)
{
    const base::Error refusal{error.kind, text(error.message, SameKeyRemedy), std::max(error.retryAfter, m_settings.retryAfter)};
    if (!m_state.mayHaveClaimed) {
        return refuse(OrderAnswerKind::Unknown, AttemptFate::NotRun, refusal);
    }
    if (isPastDeadline(now) || ++m_state.tries > m_settings.maxSettlingTries) {
        return refuse(OrderAnswerKind::Unknown, AttemptFate::NotRun, refusal, OrderDuty::reopenUnclear(record(RecordState::Reopened), m_state.expected));
    }
    m_state.step = OrderStep::SettlingClaim;
    OrderAction action;
    action.kind = OrderActionKind::Pause;
    action.pause = m_settings.firstPause;
    return action;
}

OrderAction OrderGuard::onPauseOver(base::TimePoint)
{
    if (m_state.step == OrderStep::SettlingClaim) {
        return read(OrderStep::SettlingClaim);
    }
    if (m_state.step == OrderStep::Waiting) {
        return read(OrderStep::Reading);
    }
    return misfit();
}

OrderAction OrderGuard::onRead(base::TimePoint now, const base::Result<VersionedRecord> &result, ReopenedSeen seen, ClaimantLife life)
{
    if (m_state.step != OrderStep::Reading && m_state.step != OrderStep::SettlingClaim) {
        return misfit();
    }
    if (!result) {
        return onReadFailed(now, result.error());
    }
    const VersionedRecord &found = result.value();
    if (found.record.claimant == m_request.self && found.record.state == RecordState::Claimed) {
        return confirmClaim(now, found.version);
    }
    if (m_state.mayHaveClaimed && found.version == m_state.expected) {
        return claim(now, found.version); // the unclear write has not taken effect, but still can
    }
    m_state.mayHaveClaimed = false; // its condition can never hold again
    return onForeignRecord(now, found, seen, life);
}

OrderAction OrderGuard::onReadFailed(base::TimePoint now, const base::Error &error)
{
    if (error.kind == ErrorKind::NotFound) {
        return claim(now, {});
    }
    if (error.kind == ErrorKind::StaleState) {
        return refuse(OrderAnswerKind::Unknown, AttemptFate::NotRun, error);
    }
    return settleAgain(now, error);
}

OrderAction OrderGuard::onForeignRecord(base::TimePoint now, const VersionedRecord &found, ReopenedSeen seen, ClaimantLife life)
{
    if (found.record.requestDigest != m_request.requestDigest) {
        return refuse(OrderAnswerKind::Refused, AttemptFate::NotRun,
                      base::fail(ErrorKind::InvalidArgument, "the key was used for another request; use a new key for a new order"));
    }
    switch (found.record.state) {
    case RecordState::Done:
        return replay(found.record);
    case RecordState::Lost:
        return refuse(OrderAnswerKind::Unknown, AttemptFate::NotRun,
                      base::fail(ErrorKind::Unclear, text("another attempt sent the order and got no answer", AskServiceRemedy)));
    case RecordState::Reopened:
        if (seen == ReopenedSeen::Before) {
            return claim(now, found.version);
        }
        return refuse(
            OrderAnswerKind::Unknown, AttemptFate::NotRun,
            base::fail(ErrorKind::Unavailable, text("an earlier attempt gave the order up without running it", SameKeyRemedy), m_settings.firstPause));
    case RecordState::Claimed:
        break;
    }
    return onForeignClaim(now, life);
}

OrderAction OrderGuard::onForeignClaim(base::TimePoint now, ClaimantLife life)
{
    if (life == ClaimantLife::Gone) {
        return refuse(OrderAnswerKind::Unknown, AttemptFate::NotRun,
                      base::fail(ErrorKind::Unclear, text("the router that took the order is gone and may have run it", AskServiceRemedy)));
    }
    if (!m_state.waitUntil) {
        m_state.waitUntil = std::min(m_request.deadline, now + m_settings.longestWait);
    }
    m_state.pause = m_state.pause == base::Duration{} ? m_settings.firstPause : std::min(2 * m_state.pause, m_settings.longestPause);
    if (now + m_state.pause < *m_state.waitUntil) {
        m_state.step = OrderStep::Waiting;
        OrderAction action;
        action.kind = OrderActionKind::Pause;
        action.pause = m_state.pause;
        return action;
    }
    const auto kind = life == ClaimantLife::Live ? OrderAnswerKind::Running : OrderAnswerKind::Unknown;
    return refuse(kind, AttemptFate::NotRun,
                  base::fail(ErrorKind::Conflict, text("another attempt of the order has not ended", SameKeyRemedy), m_settings.retryAfter));
}

OrderAction OrderGuard::send(base::TimePoint now)
{
    if (m_state.mayHaveRun || !m_state.claim) {
        return misfit();
    }
    if (isPastDeadline(now)) {
        return giveUpUnsent(base::fail(ErrorKind::Overloaded, "the deadline passed before the order could be sent"));
    }
    ++m_state.sends;
    m_state.mayHaveRun = true;
    m_state.step = OrderStep::Sending;
    OrderAction action;
    action.kind = OrderActionKind::Send;
    return action;
}

OrderAction OrderGuard::onNoUpstream(base::TimePoint, const base::Error &error)
{
    if (m_state.step != OrderStep::Sending) {
        return misfit();
    }
    m_state.mayHaveRun = false;
    return giveUpUnsent(error);
}

OrderAction OrderGuard::onSent(base::TimePoint now, const base::Result<ServiceAnswer> &result)
{
    if (m_state.step != OrderStep::Sending) {
        return misfit();
    }
    const bool isRefused = !result && (result.error().kind == ErrorKind::Unavailable || result.error().kind == ErrorKind::Overloaded);
    if (isRefused) {
        m_state.mayHaveRun = false;
        return m_state.sends < m_settings.maxSends ? send(now) : giveUpUnsent(result.error());
    }
    m_outcome = record(RecordState::Lost);
    if (result && result.value().attempt == m_request.self.attempt) {
        const ServiceAnswer &answer = result.value();
        m_outcome.state = RecordState::Done;
        m_outcome.answer = StoredAnswer{answer.status, answer.contentType, answer.body};
    }
    return recordOutcome();
}

OrderAction OrderGuard::recordOutcome()
{
    m_state.step = OrderStep::Recording;
    OrderAction action;
    action.kind = OrderActionKind::WriteRecord;
    action.record = storable(m_outcome);
    action.expected = *m_state.claim;
    return action;
}

OrderAction OrderGuard::onOutcomeWritten(const base::Result<store::Version> &result)
{
    if (result) {
        return answerOutcome(std::nullopt);
    }
    OrderDuty duty(DutyKind::RecordOutcome, storable(m_outcome), *m_state.claim);
    duty.onWritten(result);
    return answerOutcome(std::move(duty));
}

OrderAction OrderGuard::answerOutcome(std::optional<OrderDuty> duty)
{
    if (m_outcome.state == RecordState::Lost) {
        return refuse(OrderAnswerKind::Unknown, AttemptFate::MayHaveRun,
                      base::fail(ErrorKind::Unclear, text("the order was sent and no answer came", AskServiceRemedy)), std::move(duty));
    }
    m_state.step = OrderStep::Answered;
    OrderAction action;
    action.answer.kind = OrderAnswerKind::Done;
    action.answer.attempt = AttemptFate::Ran;
    action.answer.answer = m_outcome.answer;
    action.duty = std::move(duty);
    return action;
}

OrderAction OrderGuard::replay(const OrderRecord &found)
{
    if (found.isAnswerDropped) {
        return refuse(OrderAnswerKind::Unknown, AttemptFate::NotRun,
                      base::fail(ErrorKind::Unclear, "the order ran, but its answer was too long to keep; read the result at the service"));
    }
    m_state.step = OrderStep::Answered;
    OrderAction action;
    action.answer.kind = OrderAnswerKind::Done;
    action.answer.attempt = AttemptFate::NotRun;
    action.answer.answer = found.answer;
    return action;
}

OrderAction OrderGuard::giveUpUnsent(const base::Error &cause)
{
    OrderDuty duty(DutyKind::Reopen, record(RecordState::Reopened), *m_state.claim);
    base::Error error{ErrorKind::NotRun, text(cause.message, "; the order was not run"), std::max(cause.retryAfter, m_settings.retryAfter)};
    error.message += SameKeyRemedy;
    return refuse(OrderAnswerKind::NotRun, AttemptFate::NotRun, std::move(error), std::move(duty));
}

OrderAction OrderGuard::refuse(OrderAnswerKind kind, AttemptFate fate, base::Error error, std::optional<OrderDuty> duty)
{
    m_state.step = OrderStep::Answered;
    OrderAction action;
    action.answer.kind = kind;
    action.answer.attempt = fate;
    action.answer.error = std::move(error);
    action.duty = std::move(duty);
    return action;
}

OrderAction OrderGuard::misfit()
{
    const auto fate = m_state.sends > 0 ? AttemptFate::MayHaveRun : AttemptFate::NotRun;
    return refuse(OrderAnswerKind::Unknown, fate,
                  base::fail(ErrorKind::Internal, text("the order guard got an event that does not fit its step", AskServiceRemedy)));
}

} // namespace carawaylatch::orders
