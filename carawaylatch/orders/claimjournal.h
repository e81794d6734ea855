// Group commit of order records: many orders in one conditional write.
//
// The hash space is cut into ranges; each range is one object "orderjournal/N".
// While a write of a range is under way, calls for it queue up; the next caller
// then writes all of them at once. So the writes of one router to a range never
// exceed one for each round trip, whatever the rate of orders. Routers that race
// for a range lose the conditional update, read again and repeat their batch.
//
// Each call keeps the meaning of a single compare-and-set: its condition is
// checked against its own record's version in the journal that is replaced.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/orders/claimstore.h"

namespace carawaylatch::orders
{

// The records of one hash range.
class JournalImage
{
public:
    [[nodiscard]] static base::Result<JournalImage> decode(std::string_view bytes);
    [[nodiscard]] std::string encode() const;

    [[nodiscard]] const VersionedRecord *find(const OrderId &order) const;
    // Compare-and-set of one record. Conflict, or Overloaded if the journal is full.
    [[nodiscard]] base::Result<platform::Version> apply(const OrderId &order, const OrderRecord &record, platform::Version expected);
    [[nodiscard]] std::size_t size() const;

private:
    std::map<OrderId, VersionedRecord> m_records;
    std::uint64_t m_lastVersion = 0; // grows with every applied write
    std::size_t m_bytes = 0; // estimate of the encoded size
};

struct JournalSettings
{
    std::uint32_t ranges = 16; // equal on all routers; never changes for a given store
    std::size_t maxBatch = 500;
    std::uint32_t maxConflicts = 20; // lost races before a batch is given up as not written
};

struct JournalCounters
{
    std::uint64_t batches = 0;
    std::uint64_t records = 0;
    std::uint64_t conflicts = 0;
};

class JournalClaimStore : public ClaimStore
{
public:
    JournalClaimStore(platform::ObjectStore &store, JournalSettings settings);
    ~JournalClaimStore() override;

    [[nodiscard]] base::Result<VersionedRecord> read(const OrderId &order) override;
    [[nodiscard]] base::Result<platform::Version> write(const OrderId &order, const OrderRecord &record, platform::Version expected) override;
    [[nodiscard]] JournalCounters counters() const;

private:
    struct Call;
    struct Range;

    [[nodiscard]] Range &rangeOf(const OrderId &order);
    void commit(Range &range, std::span<Call *const> batch);

    platform::ObjectStore &m_store;
    const JournalSettings m_settings;
    std::vector<std::unique_ptr<Range>> m_ranges;
    mutable std::mutex m_counterMutex;
    JournalCounters m_counters;
};

} // namespace carawaylatch::orders
