// Pruning of old order records, such that no pruned key can ever run again.
//
// Age is counted in epochs: the object "orders/epoch" holds a number that any
// router advances once it has seen it unchanged for a whole epoch by its own
// monotonic clock. A record carries the epoch of its last write and is kept for
// at least `keepEpochs` whole epochs after it. A record of a router that did not
// know the epoch yet carries zero; the pruner stamps it with the present one.
//
// Before a record is removed its key goes into the closed set, kept in one
// object for each hash range, as an eight-byte digest that is never dropped.
// Claim stores read the set after a claim is written and before it is confirmed:
// a key whose record is gone was closed before that, so the claim is not
// confirmed and the answer is Unknown. Two keys with one digest cost a false
// Unknown, never a second run.
//
// Bound: a closed object holds MaxClosedPerRange digests. When it is full,
// records of the range are kept as they are and the counter `full` grows.
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

// Hash ranges of the closed set; never changes for a given store.
constexpr std::uint32_t ClosedRanges = 4096;
constexpr std::size_t DigestBytes = 8;
constexpr std::size_t MaxClosedPerRange = 120'000;

struct RetentionSettings
{
    base::Duration epoch = base::hours{1};
    std::uint64_t keepEpochs = 48;
    std::size_t maxPrunedPerStep = 200; // records removed in one step
};

// Digests of closed keys of one range, in ascending order.
class ClosedKeySet
{
public:
    ClosedKeySet() = default;
    // Returns the set, or InvalidArgument for bytes that no router wrote.
    [[nodiscard]] static base::Result<ClosedKeySet> decode(std::string_view bytes);
    [[nodiscard]] std::string encode() const;
    [[nodiscard]] bool contains(std::uint64_t digest) const;
    // Adds digests; false and unchanged if the bound would be passed.
    [[nodiscard]] bool add(std::span<const std::uint64_t> digests);
    [[nodiscard]] std::size_t size() const;

private:
    std::vector<std::uint64_t> m_digests; // ascending, unique
};

// Returns "order/RRR/CUSTOMER/KEY", RRR being the order's range in hexadecimal.
[[nodiscard]] std::string recordObjectName(const OrderId &order);
// Returns the name of the closed object that an order belongs to.
[[nodiscard]] std::string closedObjectName(const OrderId &order);
// Returns the StaleState error of a closed key.
[[nodiscard]] base::Error closedError();
// Returns ok if the key is open, StaleState if it is closed, or the platform's error.
[[nodiscard]] base::Result<void> checkOpen(store::ObjectStore &store, const OrderId &order);

enum class PrunerRole {
    Observer, // learns the epoch now and then, for its own records
    Pruner, // also advances the epoch and prunes
};

struct RetentionCounters
{
    std::uint64_t epoch = 0;
    std::uint64_t pruned = 0;
    std::uint64_t full = 0; // records kept because their closed range is full
};

// Advances the epoch and prunes records of ObjectRecordStore. Every router runs one;
// any number may be in the role of Pruner at once, and one is enough.
class RecordPruner
{
public:
    RecordPruner(store::ObjectStore &store, RetentionSettings settings);

    // One round. A pruner reads the epoch, advances it if due and prunes the next
    // hash range: one read and one list, and writes only where there is something to
    // do. An observer reads the epoch a few times in an epoch.
    void step(base::TimePoint now, PrunerRole role = PrunerRole::Pruner);
    // The epoch last read, for OrderExecutor::setEpoch().
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
    // The epoch object's version last seen, and since when.
    std::optional<store::Version> m_seen;
    base::TimePoint m_seenAt;
    base::TimePoint m_nextObservation;
    RetentionCounters m_counters;
};

} // namespace carawaylatch::orders
