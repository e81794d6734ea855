// Calls to the object store from the control thread, as coroutines.
//
// One client is one connection with one call at a time. What a failure says:
//
//   Unavailable  nothing was done; try again later
//   Unclear      sent without an answer: a write may have been done, or may be
//                done seconds later if its condition still holds
//   Conflict     the condition did not hold; nothing was written
//   NotFound     no such object
//   StaleState   the history that a watch needs is gone; list again
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::gateway
{

template <typename T>
using Awaitable = boost::asio::awaitable<T>;

// Kinds of object that a router reads.
enum class ObjectKind {
    Tables, // the configuration
    Weights, // versions of weights that are named
    Upstreams, // entries that upstreams write of themselves
    Coordination, // this project's own: engines that change, routers
    Leases, // this project's own; changes every second, so nobody watches it
};
[[nodiscard]] std::string_view objectKindName(ObjectKind kind);

struct StoredObject
{
    std::string name;
    std::string text; // as its writer encoded it; may be anything
    std::uint64_t revision = 0;
    bool isRemoved = false; // in changes alone
};

struct ObjectPage
{
    std::vector<StoredObject> objects;
    std::uint64_t asOf = 0; // revision of the store
    bool hasMore = false;
};

enum class ReadConsistency {
    Latest,
    AllowStale,
};

class ObjectClient
{
public:
    virtual ~ObjectClient() = default;

    // Objects of a kind with names after `after`, a page at a time.
    [[nodiscard]] virtual Awaitable<base::Result<ObjectPage>> list(ObjectKind kind, std::string after) = 0;
    // Changes after `since`, or none after `wait`.
    [[nodiscard]] virtual Awaitable<base::Result<ObjectPage>> watch(ObjectKind kind, std::uint64_t since, base::Duration wait) = 0;
    // With AllowStale the object may be seconds old, which costs the store a tenth.
    [[nodiscard]] virtual Awaitable<base::Result<StoredObject>> read(ObjectKind kind, std::string name, ReadConsistency consistency) = 0;
    // Ends the call under way with an error; it goes on from a new connection.
    virtual void interrupt() = 0;
    // Writes if the object's revision is still `expected`; zero creates it. Returns the new revision.
    [[nodiscard]] virtual Awaitable<base::Result<std::uint64_t>> write(ObjectKind kind, std::string name, std::string text, std::uint64_t expected) = 0;
    // Removes the object if its revision is still `expected`.
    [[nodiscard]] virtual Awaitable<base::Result<void>> remove(ObjectKind kind, std::string name, std::uint64_t expected) = 0;
};

class ObjectClientFactory
{
public:
    virtual ~ObjectClientFactory() = default;
    [[nodiscard]] virtual std::unique_ptr<ObjectClient> makeClient() = 0;
};

} // namespace carawaylatch::gateway
