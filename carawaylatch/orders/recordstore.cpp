// Record storage in one object per order, with the check for closed keys.
//
// The check follows the write of the claim. The pruner closes a key before it
// removes the record. So if the claim was created because the record had been
// removed, the key was closed before, and the read after the write sees it.
// Checking before the write, or against a cached set, would let a paused router
// claim a pruned key.
#include "carawaylatch/orders/recordstore.h"

#include "carawaylatch/orders/retention.h"

namespace carawaylatch::orders
{

using base::ErrorKind;

ObjectRecordStore::ObjectRecordStore(store::ObjectStore &store)
    : m_store(store)
{
}

base::Result<VersionedRecord> ObjectRecordStore::read(const OrderId &order)
{
    const auto object = m_store.read(recordObjectName(order));
    if (!object && object.error().kind != ErrorKind::NotFound) {
        return object.error();
    }
    if (!object) {
        BOOST_OUTCOME_TRYV(checkOpen(m_store, order));
        return object.error();
    }
    BOOST_OUTCOME_TRY(record, decodeRecord(object.value().value));
    if (record.state == RecordState::Claimed) {
        BOOST_OUTCOME_TRYV(checkOpen(m_store, order));
    }
    return VersionedRecord{std::move(record), object.value().version};
}

base::Result<store::Version> ObjectRecordStore::write(const OrderId &order, const OrderRecord &record, store::Version expected)
{
    BOOST_OUTCOME_TRY(version, m_store.write(recordObjectName(order), encodeRecord(record), expected));
    if (record.state != RecordState::Claimed) {
        return version;
    }
    const auto open = checkOpen(m_store, order);
    if (open) {
        return version;
    }
    if (open.error().kind == ErrorKind::StaleState) {
        return open.error();
    }
    return base::fail(ErrorKind::Unclear, "the claim was written but the set of closed keys could not be read; read the record back");
}

} // namespace carawaylatch::orders
