// Prunes old order records such that no pruned key can ever run again.
//
// Age is counted in epochs: the object "orders/epoch" holds a number that any router
// increments once it has seen it unchanged for a whole epoch by its own monotonic
// clock. A record carries the epoch of its last write and is kept for at least
// `keepEpochs` whole epochs after it. A record of a router that did not know the
// epoch yet carries zero; the pruner sets it to the current epoch.
//
// Before a record is removed, its key is closed: an eight-byte digest of the key is
// added to the set of closed keys, one object per hash range, and is never removed.
// Record stores read the set after a claim is written and before it is confirmed.
// The key of a pruned record was closed before, so the claim is not confirmed and
// the answer is Unknown. Two keys with equal digests cause a false Unknown, never a
// second run.
//
// Bound: a range holds MaxClosedPerRange digests. When it is full, the records of
// the range are kept and the counter `full` increases.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/orders/orderrecord.h"
#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::orders
{

// Number of hash ranges of closed keys; must never change for a given store.
constexpr std::uint32_t ClosedRanges = 4096;
constexpr std::size_t DigestBytes = 8;
constexpr std::size_t MaxClosedPerRange = 120'000;

struct RetentionSettings
{
    base::Duration epoch = base::hours{1};
    std::uint64_t keepEpochs = 48;
    std::size_t maxPrunedPerStep = 200; // records removed in one step
};

// Digests of the closed keys of one range.
class ClosedKeySet
{
public:
    ClosedKeySet() = default;
    // Decodes a set; InvalidArgument if the bytes are malformed.
    [[nodiscard]] static base::Result<ClosedKeySet> decode(std::string_view bytes);
    [[nodiscard]] std::string encode() const;
    [[nodiscard]] bool contains(std::uint64_t digest) const;
    // Adds digests; returns false and adds none if MaxClosedPerRange would be exceeded.
    [[nodiscard]] bool add(std::span<const std::uint64_t> digests);
    [[nodiscard]] std::size_t size() const;

private:
    std::vector<std::uint64_t> m_digests; // ascending, unique
};

// Returns "order/RRR/CUSTOMER/KEY", RRR being the order's range in hexadecimal.
[[nodiscard]] std::string recordObjectName(const OrderId &order);
// Returns the name of the object that holds the closed keys of the order's range.
[[nodiscard]] std::string closedObjectName(const OrderId &order);
// Returns the StaleState error of a closed key.
[[nodiscard]] base::Error closedError();
// Returns ok if the key is not closed, StaleState if it is, or the object store's error.
[[nodiscard]] base::Result<void> checkOpen(store::ObjectStore &store, const OrderId &order);

enum class PrunerRole {
    Observer, // reads the epoch a few times per epoch, for its own records
    Pruner, // also increments the epoch and prunes
};

struct RetentionCounters
{
    std::uint64_t epoch = 0;
    std::uint64_t pruned = 0;
    std::uint64_t full = 0; // records kept because the closed keys of their range are full
};

// Increments the epoch and prunes records of ObjectRecordStore. Every router runs
// one; any number of them may have the role Pruner, one is enough.
class RecordPruner
{
public:
    RecordPruner(store::ObjectStore &store, RetentionSettings settings);

    // Does one step. A pruner reads the epoch, increments it if due and prunes the
    // next hash range: one read and one list, and writes only if something changes.
    // An observer reads the epoch a few times per epoch.
    void step(base::TimePoint now, PrunerRole role = PrunerRole::Pruner);
    // Returns the epoch last read, for OrderExecutor::setEpoch().
    [[nodiscard]] std::uint64_t epoch() const;
    [[nodiscard]] const RetentionCounters &counters() const;

private:
    void observeEpoch(base::TimePoint now);
    void readEpoch(base::TimePoint now);
    void assignEpoch(const store::Object &object, OrderRecord record);
    void pruneRange(std::uint32_t range);
    [[nodiscard]] bool closeKeys(std::uint32_t range, std::span<const std::uint64_t> digests);

    store::ObjectStore &m_store;
    RetentionSettings m_settings;
    std::uint32_t m_nextRange = 0;
    // Version of the epoch object last seen, and since when.
    std::optional<store::Version> m_seen;
    base::TimePoint m_seenAt;
    base::TimePoint m_nextObservation;
    RetentionCounters m_counters;
};

} // namespace carawaylatch::orders
