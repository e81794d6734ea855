// Updates of an order's record that remain to be written after the order was
// answered.
//
// RecordOutcome replaces the router's claim with Done or Lost, so that duplicates
// at other routers learn the outcome. Reopen records that the attempt did not send
// the order and never will. Both are retried until the record is stored; a write
// with unknown outcome is resolved by reading the record back. Like
// OrderStateMachine, PendingUpdate does no I/O.
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
    store::Version expected; // of the next write or the write in progress
    // True once a write may have taken effect; after a Reopen another router may then run the order.
    bool mayHaveWritten = false;
    // Version of the reopened record; set when a Reopen has finished.
    std::optional<store::Version> reopened;

    bool operator==(const PendingUpdateState &) const = default;
};

class PendingUpdate
{
public:
    // `claim` is the version of the confirmed claim of this attempt.
    PendingUpdate(PendingUpdateKind kind, OrderRecord record, store::Version claim);
    // Returns the update for a claim write over `expected` whose outcome is unknown: it
    // reopens the record, or finishes if the write can no longer take effect.
    [[nodiscard]] static PendingUpdate reopenUnclear(OrderRecord record, store::Version expected);

    // Handles the result of the call that state().step names. After a call that
    // must be repeated the step stays the same.
    void onWritten(const base::Result<store::Version> &result);
    void onRead(const base::Result<VersionedRecord> &result);

    [[nodiscard]] PendingUpdateKind kind() const;
    [[nodiscard]] const OrderRecord &record() const;
    [[nodiscard]] const PendingUpdateState &state() const;
    // Tells whether the claim certainly stands, so that no other attempt can run the order.
    [[nodiscard]] bool holdsClaim() const;

private:
    void finish();

    PendingUpdateKind m_kind;
    OrderRecord m_record; // what to write
    PendingUpdateState m_state;
    // Version that a claim write with unknown outcome was conditional on.
    std::optional<store::Version> m_unclearOver;
};

} // namespace carawaylatch::orders
