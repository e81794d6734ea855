// What a router still owes the platform about an order that it has answered.
//
// Two duties exist. RecordOutcome: write Done or Lost over our claim, so that
// duplicates elsewhere learn the outcome. Reopen: say that this attempt did not
// send and never will. Both are tried until the platform has them; an unclear
// write is settled by reading back. Like the guard, the machine does no I/O.
#pragma once

#include <optional>

#include "carawaylatch/orders/claimstore.h"

namespace carawaylatch::orders
{

enum class DutyKind {
    RecordOutcome,
    Reopen,
};

enum class DutyStep {
    Writing,
    Reading,
    Finished,
};

struct DutyState
{
    DutyStep step = DutyStep::Writing;
    store::Version expected; // of the next or present write
    // True once a write may have taken effect; a reopened order may then run elsewhere.
    bool mayHaveWritten = false;
    // Set when a Reopen finished: the version of the reopened record.
    std::optional<store::Version> reopened;

    bool operator==(const DutyState &) const = default;
};

class OrderDuty
{
public:
    // `claim` is the version of our confirmed claim.
    OrderDuty(DutyKind kind, OrderRecord record, store::Version claim);
    // For a claim write over `expected` that stayed unclear: Reopen, or finish if
    // it is seen that the write can never take effect.
    [[nodiscard]] static OrderDuty reopenUnclear(OrderRecord record, store::Version expected);

    // Reports the result of the call that state().step names. A call that was not
    // answered leaves the step as it must be tried again.
    void onWritten(const base::Result<store::Version> &result);
    void onRead(const base::Result<VersionedRecord> &result);

    [[nodiscard]] DutyKind kind() const;
    [[nodiscard]] const OrderRecord &record() const;
    [[nodiscard]] const DutyState &state() const;
    // True if our claim stands in the platform, so that nobody else can run the order.
    [[nodiscard]] bool holdsClaim() const;

private:
    void finish();

    DutyKind m_kind;
    OrderRecord m_record; // what to write
    DutyState m_state;
    // Version that a still unclear claim write was conditional on.
    std::optional<store::Version> m_unclearOver;
};

} // namespace carawaylatch::orders
