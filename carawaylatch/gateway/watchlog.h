// The changes of each kind of object that this router has seen of late, for routers that
// learn of changes from it instead of the store.
//
// A state machine without I/O. It holds batches, each of which leads from one revision of
// the store to a later one. A router at any revision within them gets all later batches,
// without the changes that it knows: the last state of each object is then the same as at
// this router. Removals are told again, since their revision may be that of the change before
// them; the router leaves out those that it knows (KnownObjects). Batches are dropped, oldest
// first, beyond MaxBytes of a kind.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"

namespace carawaylatch::gateway
{

// What changed since a revision.
struct ChangesSince
{
    std::uint64_t revision = 0; // the state after the changes
    std::vector<StoredObject> objects; // in order; the last one of a name holds
    base::Duration changedAfter = base::Duration::max(); // none of them changed earlier; bootTime()
};

class WatchLog
{
public:
    static constexpr std::size_t MaxBytes = 1'500'000; // of names and texts, for each kind

    // All objects were read, as of a revision of the store.
    void onListed(ObjectKind kind, std::uint64_t revision);
    // These objects changed from revision `since` to `revision`, at `changedAfter` (bootTime()) or later.
    void onChanges(ObjectKind kind, std::uint64_t since, std::uint64_t revision, const std::vector<StoredObject> &objects, base::Duration changedAfter);
    // Nothing if the changes since that revision are not known, or if it is of a later era. A
    // revision of the same era that is newer than all that is known gets itself, without objects.
    [[nodiscard]] std::optional<ChangesSince> changesSince(ObjectKind kind, std::uint64_t revision) const;

private:
    struct Batch
    {
        std::uint64_t revision = 0; // to which it leads
        std::vector<StoredObject> objects;
        std::size_t bytes = 0;
        base::Duration changedAfter{};
    };
    struct Kind
    {
        std::uint64_t base = 0; // revision before the first batch
        std::uint64_t revision = 0; // after the last one; zero: nothing was read
        std::deque<Batch> batches; // only with objects
        std::size_t bytes = 0;
    };
    std::map<ObjectKind, Kind> m_kinds;
};

} // namespace carawaylatch::gateway
