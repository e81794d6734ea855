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
#include "carawaylatch/orders/pendingupdate.h"

#include <utility>

namespace carawaylatch::orders
{

PendingUpdate::PendingUpdate(PendingUpdateKind kind, OrderRecord record, store::Version claim)
    : m_kind(kind)
    , m_record(std::move(record))
{
    m_state.expected = claim;
}

PendingUpdate PendingUpdate::reopenUnclear(OrderRecord record, store::Version expected)
{
    PendingUpdate pendingUpdate(PendingUpdateKind::Reopen, std::move(record), expected);
    pendingUpdate.m_unclearOver = expected;
    pendingUpdate.m_state.step = PendingUpdateStep::Reading;
    return pendingUpdate;
}

void PendingUpdate::finish()
{
    m_state.step = PendingUpdateStep::Finished;
}

void PendingUpdate::onWritten(const base::Result<store::Version> &result)
{
    if (result) {
        m_state.mayHaveWritten = true;
        if (m_kind == PendingUpdateKind::Reopen) {
            m_state.reopened = result.value();
        }
        finish();
        return;
    }
    switch (result.error().kind) {
    case base::ErrorKind::Conflict:
        m_state.step = PendingUpdateStep::Reading;
        break;
    case base::ErrorKind::Unavailable:
    case base::ErrorKind::Overloaded:
        break; // nothing was written; try the same write again
    case base::ErrorKind::StaleState:
        finish();
        break;
    default:
        m_state.mayHaveWritten = true;
        m_state.step = PendingUpdateStep::Reading;
        break;
    }
}

void PendingUpdate::onRead(const base::Result<VersionedRecord> &result)
{
    if (!result) {
        const auto kind = result.error().kind;
        if (kind == base::ErrorKind::NotFound && m_unclearOver == store::Version{}) {
            m_state.expected = {};
            m_state.step = PendingUpdateStep::Writing;
        } else if (kind == base::ErrorKind::NotFound || kind == base::ErrorKind::StaleState) {
            finish();
        }
        return;
    }
    const VersionedRecord &found = result.value();
    const bool isOurs = found.record.claimant == m_record.claimant;
    if (isOurs && found.record.state == m_record.state) {
        if (m_kind == PendingUpdateKind::Reopen) {
            m_state.reopened = found.version;
        }
        finish();
    } else if ((isOurs && found.record.state == RecordState::Claimed) || found.version == m_unclearOver) {
        m_state.expected = found.version;
        m_state.step = PendingUpdateStep::Writing;
    } else {
        finish();
    }
}

PendingUpdateKind PendingUpdate::kind() const
{
    return m_kind;
}

const OrderRecord &PendingUpdate::record() const
{
    return m_record;
}

const PendingUpdateState &PendingUpdate::state() const
{
    return m_state;
}

bool PendingUpdate::holdsClaim() const
{
    return !m_unclearOver && !m_state.mayHaveWritten && m_state.step == PendingUpdateStep::Writing;
}

} // namespace carawaylatch::orders
