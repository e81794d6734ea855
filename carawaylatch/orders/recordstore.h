// Storage of order records with compare-and-set on a single record.
//
// Two implementations of one contract: ObjectRecordStore (one object per order) and
// JournalRecordStore (journalrecordstore.h, many orders in one write). Both check
// the set of closed keys (retention.h) after a record was written or read, so that
// a key whose record was pruned is never treated as new. Errors:
//
//   Conflict       the record has another version; nothing was written
//   Unavailable    nothing was sent; nothing was written
//   Overloaded     no space for the record; nothing was written
//   Unclear        the write may have taken effect or may still do so; read the
//                  record back
//   StaleState     the key is closed: its record was pruned; never run the order
//   NotFound       read() only: no record, and the key is not closed
//
// All calls block and are thread-safe.
#pragma once

#include "carawaylatch/orders/orderrecord.h"
#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::orders
{

struct VersionedRecord
{
    OrderRecord record;
    store::Version version; // never zero
};

class OrderRecordStore
{
public:
    virtual ~OrderRecordStore() = default;
    // Returns the order's record.
    [[nodiscard]] virtual base::Result<VersionedRecord> read(const OrderId &order) = 0;
    // Writes the record if its version is still `expected`; version zero creates the record.
    [[nodiscard]] virtual base::Result<store::Version> write(const OrderId &order, const OrderRecord &record, store::Version expected) = 0;
};

// Stores each order in an object of its own below "order/". Two writes per order.
class ObjectRecordStore : public OrderRecordStore
{
public:
    explicit ObjectRecordStore(store::ObjectStore &store);
    [[nodiscard]] base::Result<VersionedRecord> read(const OrderId &order) override;
    [[nodiscard]] base::Result<store::Version> write(const OrderId &order, const OrderRecord &record, store::Version expected) override;

private:
    store::ObjectStore &m_store;
};

} // namespace carawaylatch::orders
