// Where order records are kept: compare-and-set on one record.
//
// Two implementations behind one contract: ObjectRecordStore (one object for each
// order) and JournalRecordStore (claimjournal.h, many orders in one write). Both
// check the closed set of retention.h after a record was written or read, so
// that a key whose record was pruned is never taken for a new one. Errors:
//
//   Conflict       the record's version is another; nothing was written
//   Unavailable    nothing was sent; nothing was written
//   Overloaded     no room for the record; nothing was written
//   Unclear        it may have been written, now or later; settle it by reading
//   StaleState     the key is closed: its record is past retention; never run it
//   NotFound       read only: no record, and the key is not closed
//
// All calls block and are safe from any thread.
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
    // Writes the record if its version is still `expected`; zero creates it.
    [[nodiscard]] virtual base::Result<store::Version> write(const OrderId &order, const OrderRecord &record, store::Version expected) = 0;
};

// One platform object for each order, below "order/". Two writes an order.
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
