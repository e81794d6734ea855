// Writes, reads back and writes again until the record is stored or certainly need
// not be.
//
// A write is conditional on the version of the claim, so it can't overwrite the
// record of another attempt. After a write with unknown outcome the record is read.
// If the target record is found, the update is done; if the claim is found, the
// update is written again over the version read; any other record makes the update
// obsolete.
//
// A claim write with unknown outcome may take effect long after it was sent. If the
// record still has the version that the write was conditional on, Reopened is
// written over that version, after which the claim write can only fail.
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
        break; // nothing was written; repeat the write
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
