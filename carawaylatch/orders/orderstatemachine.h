// The state machine of one order at one router: events in, one action out.
//
// The guard decides what may be sent and what may be said; OrderExecutor carries the
// actions out. Its promises, whatever faults occur:
//
//   - The order is sent only under a confirmed claim of this very attempt, and
//     again only if the former send provably did not run.
//   - An unclear write is settled by reading the record back, never by sending.
//   - NotRun is said by the claimant alone, while its claim stands and after it
//     has decided never to send. Nobody else can run the order until the
//     claimant reopens the record, which it does only after that answer.
//   - A reopened record is claimed only by a request that arrived after its
//     router had seen the reopening; an older one may have been received before
//     a NotRun was said elsewhere.
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
    Unknown, // it may have run; see attempt for what this request did
    Running, // another attempt holds the claim and its router lives
    Refused, // the request itself is wrong (InvalidArgument)
};

// What the answered request itself did.
enum class ExecutionStatus {
    Ran,
    NotRun, // this request ran nothing and never will
    MayHaveRun,
};

struct OrderAnswer
{
    OrderAnswerKind kind = OrderAnswerKind::Unknown;
    ExecutionStatus execution = ExecutionStatus::NotRun;
    StoredAnswer answer; // set with Done
    base::Error error; // set otherwise; message names the remedy, retryAfter when to come back
};

// What this router knows of a claimant: from membership, or its own incarnation.
enum class ClaimantLiveness {
    Live,
    Gone,
    Unknown,
};

// Steps of the guard. The fault table has a row for each step and event.
enum class OrderStep {
    Idle, // nothing done yet
    Reading, // reading who has the claim after ours was refused
    Claiming, // claim write under way
    ResolvingClaim, // reading back after an unclear claim
    Sending, // the service has the order, or is about to
    Recording, // outcome write under way
    Waiting, // another attempt holds the claim; read again after a pause
    Answered, // stays last
};
constexpr std::size_t OrderStepCount = static_cast<std::size_t>(OrderStep::Answered) + 1;

enum class OrderActionKind {
    ReadRecord,
    WriteRecord, // `record` over `expected`
    Send,
    Pause, // for `pause`, then onPauseOver()
    Answer, // final
};

// Work that stays after the answer, until the platform has it.
struct OrderAction
{
    OrderActionKind kind = OrderActionKind::Answer;
    OrderRecord record; // with WriteRecord and with duties
    store::Version expected; // with WriteRecord
    base::Duration pause{};
    OrderAnswer answer;
    std::optional<PendingUpdate> pendingUpdate; // with Answer: what the platform must still learn
};

// Whether this router had seen the reopened record before the request arrived.
enum class ReopenedSeen {
    Before,
    NotBefore,
};

struct OrderStateMachineSettings
{
    base::Duration initialPollInterval = base::milliseconds{20}; // between two reads while another attempt runs
    base::Duration maxPollInterval = base::milliseconds{500};
    base::Duration retryAfter = base::seconds{1}; // named in refusals
    std::uint32_t maxSends = 3; // sends of one attempt, all but the last provably not run
    base::Duration maxWait = base::seconds{2}; // for another attempt's answer
    std::uint32_t maxResolveTries = 5; // reads and writes to settle one unclear write before the answer
};

struct OrderStateMachineRequest
{
    Claimant self; // attempt is fresh for each request
    std::uint64_t requestDigest = 0;
    std::uint64_t epoch = 0;
    base::TimePoint deadline;
};

// All that a guard remembers; two guards of equal state and request act alike.
struct OrderStateMachineState
{
    OrderStep step = OrderStep::Idle;
    // Version of our own claim; set only while it is confirmed.
    std::optional<store::Version> claim;
    // Expected version of the last claim write.
    store::Version expected;
    // True while a claim write of ours may be in the platform or reach it later.
    bool mayHaveClaimed = false;
    // True from a send until it provably did not run; no send happens while it is true.
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

    // Each event returns the next action. An event that doesn't fit the step is
    // an internal fault: the guard answers Unknown and never sends again.
    [[nodiscard]] OrderAction onStart(base::TimePoint now);
    // `seen` counts for a reopened record, `life` for one claimed by another.
    [[nodiscard]] OrderAction onRead(base::TimePoint now, const base::Result<VersionedRecord> &result, ReopenedSeen seen, ClaimantLiveness claimantLiveness);
    [[nodiscard]] OrderAction onWritten(base::TimePoint now, const base::Result<store::Version> &result);
    [[nodiscard]] OrderAction onSent(base::TimePoint now, const base::Result<ServiceAnswer> &result);
    // No upstream can take the order; nothing was sent by this try.
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
