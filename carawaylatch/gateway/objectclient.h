// Interface for calls to the object store from the control thread, as coroutines.
//
// A client is one connection with one call at a time. Revisions are versions that are
// ordered over the eras of the store, see storeversion.h. A write never replaces an object
// by a version of another era. Errors:
//
//   Unavailable  the call had no effect; retry later
//   Unclear      sent, but no response: a write may have taken effect, or may do so
//                seconds later if its condition still holds
//   Conflict     the condition did not hold, or names a version of an earlier era; nothing was written
//   NotFound     no such object
//   StaleState   the store no longer has the history that a watch needs, or is in a later era; list again
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
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
    Weights, // target versions of weights
    Upstreams, // entries that upstreams write about themselves
    Coordination, // written by routers: the engines that are changing, and one object for each router
    Leases, // written by routers; changes every second, so it is read instead of watched
    Streams, // written by routers: the software of the streams that each has sent; listed on demand
};
[[nodiscard]] std::string_view objectKindName(ObjectKind kind);

struct StoredObject
{
    std::string name;
    std::string text; // as its writer encoded it; untrusted
    std::uint64_t revision = 0;
    bool isRemoved = false; // only set in changes, not in lists
};

struct ObjectPage
{
    std::vector<StoredObject> objects;
    std::uint64_t asOf = 0; // revision of the store when the page was read
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

    // Returns a page of the objects of a kind whose names sort after `after`.
    [[nodiscard]] virtual Awaitable<base::Result<ObjectPage>> list(ObjectKind kind, std::string after) = 0;
    // Returns changes after revision `since`; an empty page if there are none within `wait`.
    [[nodiscard]] virtual Awaitable<base::Result<ObjectPage>> watch(ObjectKind kind, std::uint64_t since, base::Duration wait) = 0;
    // AllowStale: the object may be seconds old; costs the store a tenth of a latest read.
    [[nodiscard]] virtual Awaitable<base::Result<StoredObject>> read(ObjectKind kind, std::string name, ReadConsistency consistency) = 0;
    // Makes the call in flight fail; the next call uses a new connection.
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
    // The latest era that a client has seen, zero if the store has none; nothing before the first answer.
    [[nodiscard]] virtual std::optional<std::uint64_t> storeEra() const = 0;
};

} // namespace carawaylatch::gateway
