// Revisions that stay ordered when the store comes back from a copy.
//
// A store that comes back from a copy loses its latest changes, and gives their revisions
// out again. It raises its era by one each time. A version is an era and a revision in one
// integer: a later era is greater than all revisions of an earlier one, and without eras
// the version is the revision. ObjectClient takes and returns versions wherever it speaks
// of revisions.
#pragma once

#include <cstdint>

namespace carawaylatch::gateway
{

constexpr unsigned RevisionBits = 44; // of a version; 17 million million changes in an era
constexpr std::uint64_t MaxRevision = (std::uint64_t{1} << RevisionBits) - 1;

[[nodiscard]] constexpr std::uint64_t makeVersion(std::uint64_t era, std::uint64_t revision)
{
    return (era << RevisionBits) | (revision & MaxRevision);
}

[[nodiscard]] constexpr std::uint64_t eraOf(std::uint64_t version)
{
    return version >> RevisionBits;
}

[[nodiscard]] constexpr std::uint64_t revisionOf(std::uint64_t version)
{
    return version & MaxRevision;
}

// The era that the clients of one store have seen; shared by them on one thread.
struct StoreEra
{
    std::uint64_t current = 0;
    bool isKnown = false; // an answer was seen
};

} // namespace carawaylatch::gateway
