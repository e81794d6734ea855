// The loop of write, read back, write again that ends when the platform has the
// record, or when it is certain that it never needs it.
//
// A write is conditional on the version of our claim, so it can't hide anybody
// else's record. After an unclear write the record is read: our target record is
// there (done), our claim is still there (write again over the version read), or
// something else is there, and then the duty is void.
//
// A claim write that stayed unclear is the awkward case: it may take effect long
// after it was sent. If the version that it was conditional on is still there,
// Reopened is written over that version; from then on the old write must fail.
#include "carawaylatch/orders/orderduty.h"

#include <utility>

namespace carawaylatch::orders
{

OrderDuty::OrderDuty(DutyKind kind, OrderRecord record, store::Version claim)
    : m_kind(kind)
    , m_record(std::move(record))
{
    m_state.expected = claim;
}

OrderDuty OrderDuty::reopenUnclear(OrderRecord record, store::Version expected)
{
    OrderDuty duty(DutyKind::Reopen, std::move(record), expected);
    duty.m_unclearOver = expected;
    duty.m_state.step = DutyStep::Reading;
    return duty;
}

void OrderDuty::finish()
{
    m_state.step = DutyStep::Finished;
}

void OrderDuty::onWritten(const base::Result<store::Version> &result)
{
    if (result) {
        m_state.mayHaveWritten = true;
        if (m_kind == DutyKind::Reopen) {
            m_state.reopened = result.value();
        }
        finish();
        return;
    }
    switch (result.error().kind) {
    case base::ErrorKind::Conflict:
        m_state.step = DutyStep::Reading;
        break;
    case base::ErrorKind::Unavailable:
    case base::ErrorKind::Overloaded:
        break; // nothing was written; try the same write again
    case base::ErrorKind::StaleState:
        finish();
        break;
    default:
        m_state.mayHaveWritten = true;
        m_state.step = DutyStep::Reading;
        break;
    }
}

void OrderDuty::onRead(const base::Result<VersionedRecord> &result)
{
    if (!result) {
        const auto kind = result.error().kind;
        if (kind == base::ErrorKind::NotFound && m_unclearOver == store::Version{}) {
            m_state.expected = {};
            m_state.step = DutyStep::Writing;
        } else if (kind == base::ErrorKind::NotFound || kind == base::ErrorKind::StaleState) {
            finish();
        }
        return;
    }
    const VersionedRecord &found = result.value();
    const bool isOurs = found.record.claimant == m_record.claimant;
    if (isOurs && found.record.state == m_record.state) {
        if (m_kind == DutyKind::Reopen) {
            m_state.reopened = found.version;
        }
        finish();
    } else if ((isOurs && found.record.state == RecordState::Claimed) || found.version == m_unclearOver) {
        m_state.expected = found.version;
        m_state.step = DutyStep::Writing;
    } else {
        finish();
    }
}

DutyKind OrderDuty::kind() const
{
    return m_kind;
}

const OrderRecord &OrderDuty::record() const
{
    return m_record;
}

const DutyState &OrderDuty::state() const
{
    return m_state;
}

bool OrderDuty::holdsClaim() const
{
    return !m_unclearOver && !m_state.mayHaveWritten && m_state.step == DutyStep::Writing;
}

} // namespace carawaylatch::orders
