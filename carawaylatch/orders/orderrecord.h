// What the platform keeps of one order, and the identity it is kept under.
//
// A record has one of four states. `Claimed`: the claimant, one incarnation of
// one router, is the only one that may send the order. `Done`: it ran and this
// is its answer. `Lost`: it was sent and no answer came, so nobody can know.
// `Reopened`: the claimant says that it did not send and never will; the next
// request may claim again. No other party ever moves a claim.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"

namespace carawaylatch::orders
{

// Longest Idempotency-Key in bytes.
constexpr std::size_t MaxKeyBytes = 200;
// Longest answer body kept for duplicates, in bytes.
constexpr std::size_t MaxStoredAnswerBytes = 256'000;

// An order as its customer names it. Equal keys of two customers are two orders.
struct OrderId
{
    base::CustomerId customer;
    std::string key;

    auto operator<=>(const OrderId &) const = default;
    bool operator==(const OrderId &) const = default;

    // Returns the stable hash that assigns the order to a hash range and stands for
    // its key once the record is pruned.
    [[nodiscard]] std::uint64_t hash() const;
    // Returns "CUSTOMER/KEY" with every byte outside [A-Za-z0-9._-] as ~XX.
    [[nodiscard]] std::string path() const;
    // Returns the order of a path, or InvalidArgument.
    [[nodiscard]] static base::Result<OrderId> fromPath(std::string_view path);
};

enum class RecordState {
    Claimed,
    Done,
    Lost,
    Reopened,
};

// Who may send an order: one attempt of one life of a router.
struct Claimant
{
    base::RouterId router;
    base::Incarnation incarnation;
    base::AttemptId attempt;

    bool operator==(const Claimant &) const = default;
};

struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer &) const = default;
};

struct OrderRecord
{
    RecordState state = RecordState::Claimed;
    Claimant claimant;
    // Digest of method, path, content type and body; duplicates must match it.
    std::uint64_t requestDigest = 0;
    // Retention epoch in which the record was written, see retention.h.
    std::uint64_t epoch = 0;
    // Set in state Done. The body is empty if it was longer than MaxStoredAnswerBytes.
    StoredAnswer answer;
    // True if the answer's body was too long to keep.
    bool isAnswerDropped = false;

    bool operator==(const OrderRecord &) const = default;
};

// Returns the record with its answer's body left out if that is too long to keep.
[[nodiscard]] OrderRecord dropOversizedAnswer(OrderRecord record);
// Returns the digest of a request that duplicates are compared by.
[[nodiscard]] std::uint64_t requestDigest(std::string_view method, std::string_view path, std::string_view contentType, std::string_view body);
// Returns the record's bytes (protobuf, so that mixed versions of routers agree).
[[nodiscard]] std::string encodeRecord(const OrderRecord &record);
// Returns the record, or InvalidArgument for bytes that no router wrote.
[[nodiscard]] base::Result<OrderRecord> decodeRecord(std::string_view bytes);

} // namespace carawaylatch::orders
