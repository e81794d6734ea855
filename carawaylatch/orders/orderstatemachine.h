// State machine that runs one order at most once at one router: takes events and
// returns one action for each.
//
// OrderStateMachine decides what may be sent and what may be answered; OrderExecutor
// carries the actions out. Guarantees under any faults:
//
//   - An order is sent only under a confirmed claim of the same attempt, and again
//     only if the former send provably did not run.
//   - A write with unknown outcome is resolved by reading the record back, never by
//     sending.
//   - NotRun is answered only by the claimant, while its claim stands and after it
//     has decided never to send. No other attempt can run the order until the
//     claimant reopens the record, which it does only after that answer.
//   - A reopened record is claimed only by a request that arrived after its router
//     had seen the reopened record; an older one may have been received before
//     another router answered NotRun.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/orders/pendingupdate.h"
#include "carawaylatch/orders/recordstore.h"
#include "carawaylatch/orders/serviceconnection.h"

namespace carawaylatch::orders
{

enum class OrderAnswerKind {
    Done, // the stored answer
    NotRun, // no request received so far has run the order or will run it
    Unknown, // it may have run; OrderAnswer::execution says what this request did
    Running, // another attempt holds the claim and its router is live
    Refused, // the request itself is wrong (InvalidArgument)
};

// What the answered request itself did.
enum class ExecutionStatus {
    Ran,
    NotRun, // this request did not run the order and never will
    MayHaveRun,
};

struct OrderAnswer
{
    OrderAnswerKind kind = OrderAnswerKind::Unknown;
    ExecutionStatus execution = ExecutionStatus::NotRun;
    StoredAnswer answer; // set with Done
    base::Error error; // set otherwise; the message names the remedy, retryAfter when to retry
};

// What this router knows of the claimant's router, from membership or its own incarnation.
enum class ClaimantLiveness {
    Live,
    Gone,
    Unknown,
};

// Steps of an order. The fault table in orderstatemachinetest.cpp has a row for each.
enum class OrderStep {
    Idle, // nothing done yet
    Reading, // reading the record after the claim write failed with Conflict
    Claiming, // claim write in progress
    ResolvingClaim, // reading back after a claim write with unknown outcome
    Sending, // the order is being sent to a service
    Recording, // outcome write in progress
    Waiting, // another attempt holds the claim; read again after a delay
    Answered, // must stay last, see OrderStepCount
};
constexpr std::size_t OrderStepCount = static_cast<std::size_t>(OrderStep::Answered) + 1;

enum class OrderActionKind {
    ReadRecord,
    WriteRecord, // `record` over `expected`
    Send,
    Pause, // for `pause`, then onPauseOver()
    Answer, // final
};

struct OrderAction
{
    OrderActionKind kind = OrderActionKind::Answer;
    OrderRecord record; // with WriteRecord
    store::Version expected; // with WriteRecord
    base::Duration pause{};
    OrderAnswer answer;
    std::optional<PendingUpdate> pendingUpdate; // with Answer: what remains to be written after it
};

// Whether this router had seen the reopened record before the request arrived.
enum class ReopenedSeen {
    Before,
    NotBefore,
};

struct OrderStateMachineSettings
{
    base::Duration initialPollInterval = base::milliseconds{20}; // between reads while another attempt runs, doubles with each read
    base::Duration maxPollInterval = base::milliseconds{500};
    base::Duration retryAfter = base::seconds{1}; // given in error answers
    std::uint32_t maxSends = 3; // sends per attempt, all but the last provably not run
    base::Duration maxWait = base::seconds{2}; // for another attempt's answer
    std::uint32_t maxResolveTries = 5; // reads and writes to resolve a claim write before the answer
};

struct OrderStateMachineRequest
{
    Claimant self; // the attempt is unique to each request
    std::uint64_t requestDigest = 0;
    std::uint64_t epoch = 0;
    base::TimePoint deadline;
};

// Complete state; two machines with equal state and request behave alike.
struct OrderStateMachineState
{
    OrderStep step = OrderStep::Idle;
    // Version of this attempt's claim; set only while it is confirmed.
    std::optional<store::Version> claim;
    // Expected version of the last claim write.
    store::Version expected;
    // True while a claim write of this attempt may have taken effect or may still do so.
    bool mayHaveClaimed = false;
    // True from a send until it provably did not run; nothing is sent while it is true.
    bool mayHaveRun = false;
    std::uint32_t sends = 0;
    std::uint32_t tries = 0;
    base::Duration pause{};
    std::optional<base::TimePoint> waitUntil;

    bool operator==(const OrderStateMachineState &) const = default;
};

class OrderStateMachine
{
public:
    OrderStateMachine(OrderStateMachineRequest request, OrderStateMachineSettings settings);

    // Each event returns the next action. An event that doesn't match the step is
    // an internal error: the answer is Unknown and nothing is sent any more.
    [[nodiscard]] OrderAction onStart(base::TimePoint now);
    // `seen` matters only for a reopened record, `claimantLiveness` only for one claimed by another attempt.
    [[nodiscard]] OrderAction onRead(base::TimePoint now, const base::Result<VersionedRecord> &result, ReopenedSeen seen, ClaimantLiveness claimantLiveness);
    [[nodiscard]] OrderAction onWritten(base::TimePoint now, const base::Result<store::Version> &result);
    [[nodiscard]] OrderAction onSent(base::TimePoint now, const base::Result<ServiceAnswer> &result);
    // No upstream can take the order; nothing was sent in this step.
    [[nodiscard]] OrderAction onNoUpstream(base::TimePoint now, const base::Error &error);
    [[nodiscard]] OrderAction onPauseOver(base::TimePoint now);

    [[nodiscard]] const OrderStateMachineState &state() const;

private:
    [[nodiscard]] OrderRecord record(RecordState state) const;
    [[nodiscard]] bool isPastDeadline(base::TimePoint now) const;

    OrderAction claim(base::TimePoint now, store::Version expected);
    OrderAction onClaimWritten(base::TimePoint now, const base::Result<store::Version> &result);
    OrderAction onOutcomeWritten(const base::Result<store::Version> &result);
    OrderAction onReadFailed(base::TimePoint now, const base::Error &error);
    OrderAction onForeignRecord(base::TimePoint now, const VersionedRecord &found, ReopenedSeen seen, ClaimantLiveness claimantLiveness);
    OrderAction onForeignClaim(base::TimePoint now, ClaimantLiveness claimantLiveness);
    OrderAction confirmClaim(base::TimePoint now, store::Version version);
    OrderAction read(OrderStep step);
    OrderAction retryResolving(base::TimePoint now, const base::Error &error);
    OrderAction send(base::TimePoint now);
    OrderAction recordOutcome();
    OrderAction abandonUnsent(const base::Error &cause);
    OrderAction answerOutcome(std::optional<PendingUpdate> pendingUpdate);
    OrderAction replay(const OrderRecord &found);
    OrderAction refuse(OrderAnswerKind kind, ExecutionStatus execution, base::Error error, std::optional<PendingUpdate> pendingUpdate = std::nullopt);
    OrderAction unexpectedEvent();

    OrderStateMachineRequest m_request;
    OrderStateMachineSettings m_settings;
    OrderStateMachineState m_state;
    OrderRecord m_outcome; // set from step Recording on
};

} // namespace carawaylatch::orders
