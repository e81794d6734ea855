// Which objects that a router reads are news to it, for all kinds alike.
//
// A router reads objects of one kind from several sources: lists and watches of the store, answers of readers, single
// reads, and its own writes. What one source tells can be older than what another has told before. A reader that was cut
// off from the store passes on all that it missed at once, also what its follower has read elsewhere meanwhile, and the
// pages of a list are read one after the other. An older state must never replace a later one: it would bring back what is
// gone.
//
// The router knows the whole kind as of a revision, and of each object the revision of its last change. Among the changes
// that an answer tells, one is news if it is later than both. In a list and a read of the store an object is news if it is
// later than its last change that is known. Removals are told by their order, since the revision of a removal can be that
// of the change before it, or missing: an object whose last change in an answer is a removal is absent as of the revision
// of the answer. An object that was not known, and is absent after the answer, is no news at all.
//
// Revisions are versions (storeversion.h), so all of them are later than those of the eras before. A list of an earlier
// revision than what is known shows that the store has lost changes without raising its era; the list holds then.
//
// A state machine without I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "carawaylatch/gateway/objectclient.h"

namespace carawaylatch::gateway
{

class KnownObjects
{
public:
    // All objects were read, as of this revision or later. Returns what is news, with a removal for each object that is gone.
    [[nodiscard]] std::vector<StoredObject> onList(ObjectKind kind, const std::vector<StoredObject> &objects, std::uint64_t asOf);
    // These changes lead from the revision as of which the kind is known, or an earlier one, to this one. Returns those that
    // are news, in their order.
    [[nodiscard]] std::vector<StoredObject> onChanges(ObjectKind kind, const std::vector<StoredObject> &objects, std::uint64_t asOf);
    // One object was read from the store, not from a copy that may be old, or was written; true if that is news.
    [[nodiscard]] bool onObject(ObjectKind kind, const StoredObject &object);
    // The revision as of which a kind is known; zero: none of it was read.
    [[nodiscard]] std::uint64_t knownAsOf(ObjectKind kind) const;

private:
    struct Kind
    {
        std::uint64_t asOf = 0;
        std::map<std::string, std::uint64_t, std::less<>> revisions; // of the objects that exist, as far as is known
    };
    std::map<ObjectKind, Kind> m_kinds;
};

} // namespace carawaylatch::gateway
