// Stores order records with group commit: many records in one conditional write.
//
// The hash space of orders is divided into ranges; each range is one object,
// "orderjournal/N". While a write of a range is in progress, further calls for the
// range are queued, and the next write carries all of them. A router therefore has
// at most one write per range in progress, whatever the rate of orders. When
// routers write a range concurrently, the conditional update of all but one fails;
// they read the range again and repeat their batch.
//
// Each call keeps the semantics of a single compare-and-set: its condition is
// checked against the version of its own record in the journal being replaced.
//
// Bounds: a range holds MaxJournalBytes; when it is full, new orders of the range
// are rejected as Overloaded until prune() frees space. Answers longer than
// MaxJournalAnswerBytes are not stored. A pruned record leaves an eight-byte digest
// in the same object, so that a claim needs no second read.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/orders/recordstore.h"
#include "carawaylatch/orders/retention.h"

namespace carawaylatch::orders
{

constexpr std::size_t MaxJournalBytes = 900'000;
constexpr std::size_t MaxJournalAnswerBytes = 4'000;

// The records of one hash range.
class JournalImage
{
public:
    [[nodiscard]] static base::Result<JournalImage> decode(std::string_view bytes);
    [[nodiscard]] std::string encode() const;

    // Returns the record, NotFound, or StaleState if the key is closed.
    [[nodiscard]] base::Result<VersionedRecord> find(const OrderId &order) const;
    // Compare-and-set of one record: Conflict, StaleState, or Overloaded if the journal is full.
    [[nodiscard]] base::Result<store::Version> apply(const OrderId &order, const OrderRecord &record, store::Version expected);
    // Closes the keys of records written before the epoch and removes these records; returns their number.
    std::size_t prune(std::uint64_t beforeEpoch);
    [[nodiscard]] std::size_t size() const;

private:
    std::map<OrderId, VersionedRecord> m_records;
    ClosedKeySet m_closed;
    std::uint64_t m_lastVersion = 0; // increases with each applied write
    std::size_t m_bytes = 0; // upper bound of the encoded size, estimated
};

struct JournalSettings
{
    std::uint32_t ranges = 16; // must be equal on all routers and never change for a given store
    std::size_t maxBatch = 500;
    std::uint32_t maxTries = 20; // failed conditional writes and read-backs before a batch fails
};

struct JournalCounters
{
    std::uint64_t writes = 0; // attempted writes to the object store
    std::uint64_t records = 0; // records contained in these writes
    std::uint64_t conflicts = 0; // writes that failed because another router had written the range
};

class JournalRecordStore : public OrderRecordStore
{
public:
    JournalRecordStore(store::ObjectStore &store, JournalSettings settings);
    ~JournalRecordStore() override;

    [[nodiscard]] base::Result<VersionedRecord> read(const OrderId &order) override;
    [[nodiscard]] base::Result<store::Version> write(const OrderId &order, const OrderRecord &record, store::Version expected) override;
    // Prunes one range with one conditional write; returns the number of records removed.
    [[nodiscard]] base::Result<std::size_t> prune(std::uint32_t range, std::uint64_t beforeEpoch);
    [[nodiscard]] JournalCounters counters() const;

private:
    struct Call;
    struct Range;
    struct Loaded
    {
        JournalImage image;
        store::Version version;
    };

    [[nodiscard]] std::uint32_t rangeIndex(const OrderId &order) const;
    [[nodiscard]] base::Result<Loaded> load(std::uint32_t range);
    void commit(std::uint32_t index, std::span<Call *const> batch);
    [[nodiscard]] bool tryCommit(std::uint32_t index, std::span<Call *const> batch, bool &isUnclear);

    store::ObjectStore &m_store;
    const JournalSettings m_settings;
    std::vector<std::unique_ptr<Range>> m_ranges;
    mutable std::mutex m_counterMutex;
    JournalCounters m_counters; // guarded by m_counterMutex
};

} // namespace carawaylatch::orders
