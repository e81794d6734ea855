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
//
// Bounds: a range holds MaxJournalBytes; when it is full, new orders of the range
// are refused as Overloaded until prune() makes room. Answers longer than
// MaxJournalAnswerBytes are not kept. A pruned record leaves eight bytes behind,
// in the same object, so a claim needs no second read.
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
    // Closes keys and drops records written before the epoch; returns how many.
    std::size_t prune(std::uint64_t beforeEpoch);
    [[nodiscard]] std::size_t size() const;

private:
    std::map<OrderId, VersionedRecord> m_records;
    ClosedKeySet m_closed;
    std::uint64_t m_lastVersion = 0; // grows with every applied write
    std::size_t m_bytes = 0; // upper estimate of the encoded size
};

struct JournalSettings
{
    std::uint32_t ranges = 16; // equal on all routers; never changes for a given store
    std::size_t maxBatch = 500;
    std::uint32_t maxTries = 20; // lost races and read-backs before a batch is given up
};

struct JournalCounters
{
    std::uint64_t writes = 0; // platform writes that were tried
    std::uint64_t records = 0; // records that these carried
    std::uint64_t conflicts = 0; // writes lost against another router
};

class JournalRecordStore : public OrderRecordStore
{
public:
    JournalRecordStore(store::ObjectStore &store, JournalSettings settings);
    ~JournalRecordStore() override;

    [[nodiscard]] base::Result<VersionedRecord> read(const OrderId &order) override;
    [[nodiscard]] base::Result<store::Version> write(const OrderId &order, const OrderRecord &record, store::Version expected) override;
    // Prunes one range in one conditional write; returns the records dropped.
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
