// What a router hands to one that starts, so that it has no cold start.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/admission/shares.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/config/tablefile.h"
#include "carawaylatch/membership/member.h"
#include "carawaylatch/prefix/hotstate.h"
#include "carawaylatch/upstreams/leavingmarks.h"

namespace carawaylatch::handover
{

// The greatest fencing number seen in the orders of one failure domain or upstream.
struct FencingFloor
{
    std::string scope; // name of the lease object
    base::FencingToken token;

    bool operator==(const FencingFloor &) const = default;
};

// The current life of an upstream.
struct UpstreamLife
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;

    bool operator==(const UpstreamLife &) const = default;
};

// All vectors are unordered and bounded by MaxSnapshotBytes together.
struct Snapshot
{
    config::RowSet rows; // the configuration, revision included
    std::vector<membership::MemberRecord> members;
    std::vector<UpstreamLife> lives;
    std::vector<upstreams::LeavingMark> marks;
    std::vector<FencingFloor> floors;
    prefix::HotPlacements placements;
    prefix::HotLevels levels;
};

// Bound of an encoded snapshot; one stored at the platform leaves the configuration out,
// which the platform holds anyway.
constexpr std::size_t MaxSnapshotBytes = 4'000'000;
constexpr std::size_t MaxStoredSnapshotBytes = 900'000;
constexpr std::string_view StoredSnapshotPrefix = "warmstart/"; // and the failure domain

// Asks a peer for its snapshot, part by part.
struct SnapshotRequest
{
    std::uint64_t request = 0; // chosen by the asker
    std::uint32_t part = 0;
};

// One part of an encoded snapshot. The parts of one request belong to one snapshot.
struct SnapshotPart
{
    std::uint64_t request = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 0; // of the whole; zero if the peer has nothing to give
    std::uint64_t digest = 0; // hash64 of the whole encoded snapshot
    std::string bytes;
};

constexpr std::size_t SnapshotPartBytes = 256'000;

// Drops the coldest placements and levels until the snapshot takes at most `maxBytes` by estimate.
void shrinkSnapshot(Snapshot &snapshot, std::size_t maxBytes);

// Returns an upper bound of a snapshot's encoded size in bytes.
[[nodiscard]] std::size_t estimateBytes(const Snapshot &snapshot);

// Merges what two snapshots know: the greater revision, the newer record, mark, life and
// floor, the placements of both.
void mergeSnapshot(Snapshot &into, const Snapshot &from);

} // namespace carawaylatch::handover
