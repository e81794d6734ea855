// Snapshot of a router's state for the warm start of another router: configuration,
// members, leaving marks and hot state. Without it a restarted router would place
// requests without knowing any cache contents.
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

// The greatest fencing token seen in the orders of one failure domain or upstream.
struct FencingFloor
{
    std::string scope; // name of the lease object
    base::FencingToken token;

    bool operator==(const FencingFloor &) const = default;
};

// The current incarnation of an upstream.
struct UpstreamIncarnation
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;

    bool operator==(const UpstreamIncarnation &) const = default;
};

// All vectors are unordered; MaxSnapshotBytes bounds their total encoded size.
struct Snapshot
{
    config::RowSet rows; // the configuration, revision included
    std::vector<membership::MemberRecord> members;
    std::vector<UpstreamIncarnation> incarnations;
    std::vector<upstreams::LeavingMark> marks;
    std::vector<FencingFloor> floors;
    prefix::HotPlacements placements;
    prefix::HotLevels levels;
};

// Bounds of an encoded snapshot. A snapshot stored at the platform omits the
// configuration, which the platform stores separately.
constexpr std::size_t MaxSnapshotBytes = 4'000'000;
constexpr std::size_t MaxStoredSnapshotBytes = 900'000;
constexpr std::string_view StoredSnapshotPrefix = "warmstart/"; // object name: this prefix and the failure domain

// Requests one part of a peer's snapshot.
struct SnapshotRequest
{
    std::uint64_t request = 0; // random, chosen by the requesting router; the same for all parts
    std::uint32_t part = 0;
};

// One part of an encoded snapshot. The parts of a transfer must come from one
// encoding, which the receiver checks by `digest`.
struct SnapshotPart
{
    std::uint64_t request = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 0; // number of parts; zero if the peer has no snapshot
    std::uint64_t digest = 0; // hash64 of the complete encoded snapshot
    std::string bytes;
};

constexpr std::size_t SnapshotPartBytes = 256'000;

// Drops the least recently used blocks and the levels of least heat until the
// estimated size is at most `maxBytes`.
void shrinkSnapshot(Snapshot &snapshot, std::size_t maxBytes);

// Returns an upper bound of a snapshot's encoded size in bytes.
[[nodiscard]] std::size_t estimateBytes(const Snapshot &snapshot);

// Merges `from` into `into`: takes the configuration of the greater revision, for each
// key the newer member record, mark and placed block and the greater floor and heat,
// and the union of the incarnations and placements.
void mergeSnapshot(Snapshot &into, const Snapshot &from);

} // namespace carawaylatch::handover
