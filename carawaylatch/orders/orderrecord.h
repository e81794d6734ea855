// The stored record of an order and the identity that it is stored under.
//
// A record has one of four states. `Claimed`: only the claimant, one incarnation of
// one router, may send the order. `Done`: it ran and the record holds its answer.
// `Lost`: it was sent and no answer came, so it is unknown whether it ran.
// `Reopened`: the claimant did not send it and never will; a later request may claim
// it. Nobody but the claimant changes a claimed record's state.
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

// Identity of an order. Equal keys of two customers are two orders.
struct OrderId
{
    base::CustomerId customer;
    std::string key;

    auto operator<=>(const OrderId &) const = default;
    bool operator==(const OrderId &) const = default;

    // Returns the stable hash that assigns the order to a hash range and identifies
    // its key once the record is pruned.
    [[nodiscard]] std::uint64_t hash() const;
    // Returns "CUSTOMER/KEY" with every byte outside [A-Za-z0-9._-] as ~XX.
    [[nodiscard]] std::string path() const;
    // Parses a path; InvalidArgument if it is malformed.
    [[nodiscard]] static base::Result<OrderId> fromPath(std::string_view path);
};

enum class RecordState {
    Claimed,
    Done,
    Lost,
    Reopened,
};

// Identifies who may send an order: one attempt of one incarnation of a router.
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
    // True if the answer's body was too long to store.
    bool isAnswerDropped = false;

    bool operator==(const OrderRecord &) const = default;
};

// Returns the record without its answer's body if that is longer than MaxStoredAnswerBytes.
[[nodiscard]] OrderRecord dropOversizedAnswer(OrderRecord record);
// Returns the digest by which duplicate requests are compared.
[[nodiscard]] std::uint64_t requestDigest(std::string_view method, std::string_view path, std::string_view contentType, std::string_view body);
// Encodes a record as protobuf, so that routers of different versions can read it.
[[nodiscard]] std::string encodeRecord(const OrderRecord &record);
// Decodes a record; InvalidArgument if the bytes are malformed.
[[nodiscard]] base::Result<OrderRecord> decodeRecord(std::string_view bytes);

} // namespace carawaylatch::orders
