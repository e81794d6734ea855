// The state machine of one order at one router: events in, one action out.
//
// The guard decides what may be sent and what may be said; OrderDesk carries the
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
#include "carawaylatch/orders/claimstore.h"
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
enum class AttemptFate {
    Ran,
    NotRun, // this request ran nothing and never will
    MayHaveRun,
};

struct OrderAnswer
{
    OrderAnswerKind kind = OrderAnswerKind::Unknown;
    AttemptFate attempt = AttemptFate::NotRun;
    StoredAnswer answer; // set with Done
    base::Error error; // set otherwise; message names the remedy, retryAfter when to come back
};

// What this router knows of a claimant: from membership, or its own incarnation.
enum class ClaimantLife {
    Live,
    Gone,
    Unsure,
};

// Steps of the guard. The fault table has a row for each step and event.
enum class OrderStep {
    Idle, // nothing done yet
    Reading, // first read of the record, before any claim
    Claiming, // claim write under way
    SettlingClaim, // reading back after an unclear claim
    Sending, // the service has the order, or is about to
    Recording, // outcome write under way
    SettlingOutcome, // reading back after an unclear outcome write
    Waiting, // another attempt holds the claim; read again after a pause
    Answered,
};

enum class OrderActionKind {
    ReadRecord,
    WriteRecord, // `record` over `expected`
    Send,
    Pause, // for `pause`, then onPauseOver()
    Answer, // final; `duty` says what is left to do in the background
};

// Work that stays after the answer, until the platform has it.
enum class OrderDuty {
    None,
    RecordOutcome, // write `record` over our claim, so that duplicates get the answer
    Reopen, // say that this attempt did not send and never will
};

struct OrderAction
{
    OrderActionKind kind = OrderActionKind::Answer;
    OrderRecord record; // with WriteRecord and with duties
    platform::Version expected; // with WriteRecord
    base::Duration pause{};
    OrderAnswer answer;
    OrderDuty duty = OrderDuty::None;
};

// Whether this router had seen the reopened record before the request arrived.
enum class ReopenedSeen {
    Before,
    NotBefore,
};

struct GuardSettings
{
    base::Duration firstPause = base::milliseconds{20}; // between two reads while another attempt runs
    base::Duration longestPause = base::milliseconds{500};
    base::Duration retryAfter = base::seconds{1}; // named in refusals
    std::uint32_t maxSends = 3; // sends of one attempt, all but the last provably not run
    std::uint32_t maxSettlingTries = 5; // reads and writes to settle one unclear write before the answer
};

struct GuardRequest
{
    Claimant self; // attempt is fresh for each request
    std::uint64_t requestDigest = 0;
    std::uint64_t epoch = 0;
    base::TimePoint deadline;
};

class OrderGuard
{
public:
    OrderGuard(const GuardRequest &request, const GuardSettings &settings);

    // Each event returns the next action. Events that don't fit the step are an
    // internal fault: the guard answers Unknown and never sends.
    [[nodiscard]] OrderAction onStart(base::TimePoint now);
    // `seen` is asked for a reopened record, `life` for one claimed elsewhere.
    [[nodiscard]] OrderAction onRead(base::TimePoint now, const base::Result<VersionedRecord> &result, ReopenedSeen seen, ClaimantLife life);
    [[nodiscard]] OrderAction onWritten(base::TimePoint now, const base::Result<platform::Version> &result);
    [[nodiscard]] OrderAction onSent(base::TimePoint now, const base::Result<ServiceAnswer> &result);
    // No upstream can take the order; nothing was sent by this try.
    [[nodiscard]] OrderAction onNoUpstream(base::TimePoint now, const base::Error &error);
    [[nodiscard]] OrderAction onPauseOver(base::TimePoint now);

    [[nodiscard]] OrderStep step() const;
    // True once a send may have run; from then on nothing is ever sent again.
    [[nodiscard]] bool mayHaveRun() const;

private:
    OrderAction claim(base::TimePoint now, platform::Version expected);
    OrderAction afterClaimRead(base::TimePoint now, const base::Result<VersionedRecord> &result, ReopenedSeen seen, ClaimantLife life);
    OrderAction afterOutcomeRead(base::TimePoint now, const base::Result<VersionedRecord> &result);
    OrderAction onForeignRecord(base::TimePoint now, const VersionedRecord &found, ReopenedSeen seen, ClaimantLife life);
    OrderAction onClaimWritten(base::TimePoint now, const base::Result<platform::Version> &result);
    OrderAction onOutcomeWritten(base::TimePoint now, const base::Result<platform::Version> &result);
    OrderAction settleAgain(base::TimePoint now);
    OrderAction send(base::TimePoint now);
    OrderAction recordOutcome(RecordState state);
    OrderAction giveUpUnsent(const base::Error &cause);
    OrderAction answerOutcome(OrderDuty duty);
    OrderAction answer(OrderAnswer answer, OrderDuty duty = OrderDuty::None);
    OrderAction refuse(OrderAnswerKind kind, AttemptFate fate, base::ErrorKind error, std::string message, OrderDuty duty = OrderDuty::None);

    GuardRequest m_request;
    GuardSettings m_settings;
    OrderStep m_step = OrderStep::Idle;
    // Version of our own claim; set only while it is confirmed.
    std::optional<platform::Version> m_claim;
    // True once a claim write may have reached the platform.
    bool m_mayHaveClaimed = false;
    // Grows only; once true the guard never returns Send.
    bool m_mayHaveRun = false;
    std::uint32_t m_sends = 0;
    std::uint32_t m_tries = 0;
    base::Duration m_pause{};
    OrderRecord m_outcome;
    // Expected version of the claim write under way.
    platform::Version m_expected;
    std::optional<base::Error> m_refusal; // why the last send did not run
};

} // namespace carawaylatch::orders
