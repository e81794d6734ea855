// What a router still owes the platform about an order that it has answered.
//
// Two duties exist. RecordOutcome: write Done or Lost over our claim, so that
// duplicates elsewhere learn the outcome. Reopen: say that this attempt did not
// send and never will. Both are tried until the platform has them; an unclear
// write is settled by reading back. Like the guard, the machine does no I/O.
#pragma once

#include <optional>

#include "carawaylatch/orders/recordstore.h"

namespace carawaylatch::orders
{

enum class PendingUpdateKind {
    RecordOutcome,
    Reopen,
};

enum class PendingUpdateStep {
    Writing,
    Reading,
    Finished,
};

struct PendingUpdateState
{
    PendingUpdateStep step = PendingUpdateStep::Writing;
    store::Version expected; // of the next or present write
    // True once a write may have taken effect; a reopened order may then run elsewhere.
    bool mayHaveWritten = false;
    // Set when a Reopen finished: the version of the reopened record.
    std::optional<store::Version> reopened;

    bool operator==(const PendingUpdateState &) const = default;
};

class PendingUpdate
{
public:
    // `claim` is the version of our confirmed claim.
    PendingUpdate(PendingUpdateKind kind, OrderRecord record, store::Version claim);
    // For a claim write over `expected` that stayed unclear: Reopen, or finish if
    // it is seen that the write can never take effect.
    [[nodiscard]] static PendingUpdate reopenUnclear(OrderRecord record, store::Version expected);

    // Reports the result of the call that state().step names. A call that was not
    // answered leaves the step as it must be tried again.
    void onWritten(const base::Result<store::Version> &result);
    void onRead(const base::Result<VersionedRecord> &result);

    [[nodiscard]] PendingUpdateKind kind() const;
    [[nodiscard]] const OrderRecord &record() const;
    [[nodiscard]] const PendingUpdateState &state() const;
    // True if our claim stands in the platform, so that nobody else can run the order.
    [[nodiscard]] bool holdsClaim() const;

private:
    void finish();

    PendingUpdateKind m_kind;
    OrderRecord m_record; // what to write
    PendingUpdateState m_state;
    // Version that a still unclear claim write was conditional on.
    std::optional<store::Version> m_unclearOver;
};

} // namespace carawaylatch::orders
