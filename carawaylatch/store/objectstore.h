// The platform's object API, as the rest of the system sees it.
//
// Objects have a name, a value of at most one megabyte and a version that grows
// with each write over the whole store. Calls block; they are made from traffic
// or platform threads, never from the control thread. What a caller must know
// of a failed write:
//
//   Conflict      the condition did not hold; nothing was written
//   Unavailable   nothing was sent; nothing was written
//   Unclear       sent without an answer: it may have been written. Settle it by
//                 reading back.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"

namespace carawaylatch::store
{

// Version of an object or of the store; zero stands for "does not exist".
using Version = base::TypedNumber<struct ObjectVersionTag>;

constexpr std::size_t MaxValueBytes = 1'000'000;

struct Object
{
    std::string name;
    std::string value;
    Version version;
};

// The objects below a prefix that changed after a version.
struct ObjectChanges
{
    Version upTo; // continue the watch from here
    std::vector<Object> written;
    std::vector<std::string> removed;
};

// A VM in the platform's list. The list lags behind the truth.
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
    // Writes if the object's version is still `expected`; zero creates it. Returns the new version.
    [[nodiscard]] virtual base::Result<Version> write(std::string_view name, std::string_view value, Version expected) = 0;
    // Removes if the object's version is still `expected`.
    [[nodiscard]] virtual base::Result<void> remove(std::string_view name, Version expected) = 0;
    // Returns all objects below a prefix, in order of name.
    [[nodiscard]] virtual base::Result<ObjectChanges> list(std::string_view prefix) = 0;
    // Returns what changed below a prefix after `since`, waiting for at most `wait`.
    [[nodiscard]] virtual base::Result<ObjectChanges> watch(std::string_view prefix, Version since, base::Duration wait) = 0;
    // Returns the platform's lagging list of VMs.
    [[nodiscard]] virtual base::Result<std::vector<VmRecord>> vms() = 0;
};

} // namespace carawaylatch::store
