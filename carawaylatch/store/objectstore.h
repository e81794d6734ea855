// Interface of the platform's object API.
//
// Objects have a name, a value of at most one megabyte and a version. Versions come
// from one counter for the whole store, which increases with each write.
// Calls block; call them from traffic or platform threads, never from the control
// thread. Errors of a write:
//
//   Conflict      the condition did not hold; nothing was written
//   Unavailable   the request was not sent or was rejected; nothing was written
//   Unclear       the request was sent without a response: it may have been
//                 written. Read back to find out.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"

namespace carawaylatch::store
{

// Version of an object or of the store; zero means that the object does not exist.
using Version = base::TypedNumber<struct ObjectVersionTag>;

constexpr std::size_t MaxValueBytes = 1'000'000;

struct Object
{
    std::string name;
    std::string value;
    Version version;
};

// The objects with a name prefix that changed after a version.
struct ObjectChanges
{
    Version upTo; // pass as `since` to the next watch
    std::vector<Object> written;
    std::vector<std::string> removed;
};

// A VM in the platform's list. The list lags behind the actual state.
struct VmRecord
{
    enum class Role {
        Router,
        Upstream,
    };
    enum class State {
        Live,
        Leaving,
    };
    std::string name;
    Role role = Role::Router;
    State state = State::Live;
    base::Endpoint endpoint;
    base::FailureDomain domain;
};

class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    // Returns the object, or NotFound.
    [[nodiscard]] virtual base::Result<Object> read(std::string_view name) = 0;
    // Writes if the object's version is `expected`; zero creates the object. Returns the new version.
    [[nodiscard]] virtual base::Result<Version> write(std::string_view name, std::string_view value, Version expected) = 0;
    // Removes if the object's version is `expected`.
    [[nodiscard]] virtual base::Result<void> remove(std::string_view name, Version expected) = 0;
    // Returns all objects with a name prefix, sorted by name.
    [[nodiscard]] virtual base::Result<ObjectChanges> list(std::string_view prefix) = 0;
    // Returns the changes under a name prefix after `since`; waits up to `wait` for one. StaleState if those are no longer kept: list again.
    [[nodiscard]] virtual base::Result<ObjectChanges> watch(std::string_view prefix, Version since, base::Duration wait) = 0;
    // Returns the platform's list of VMs, which lags behind the actual state.
    [[nodiscard]] virtual base::Result<std::vector<VmRecord>> vms() = 0;
};

} // namespace carawaylatch::store
