// What routers know of each other: records and the messages that carry them.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::membership
{

enum class MemberState {
    Alive,
    Suspect, // missed a probe; dead unless it says otherwise in time
    Leaving, // on a planned stop: finishes its streams, takes no more duties
    Dead,
};

// Returns the state's name as it stands in logs and status pages, such as "suspect".
[[nodiscard]] std::string_view memberStateName(MemberState state);

// What is said of one router. Only the router itself raises its life: at every
// start, to refute a false suspicion and when it leaves. Others raise the revival,
// when a router that they held for dead speaks to them. Of two records of one
// router that of the greater life counts, then of the greater revival, then of the
// later state in MemberState.
struct MemberRecord
{
    base::RouterId id;
    base::FailureDomain domain;
    base::Endpoint endpoint; // of the router's peer port
    base::Incarnation incarnation; // of the process
    std::uint64_t selfVersion = 0;
    std::uint32_t revivalCount = 0;
    MemberState state = MemberState::Alive;

    bool operator==(const MemberRecord &) const = default;
};

// Returns true if `record` says more than `other` of the same router.
[[nodiscard]] bool supersedes(const MemberRecord &record, const MemberRecord &other);

// Order-free hash and count of a table of members; equal for equal tables.
struct MemberDigest
{
    std::uint64_t hash = 0;
    std::uint32_t count = 0;

    bool operator==(const MemberDigest &) const = default;
};

// Fields of every message between routers that probe.
struct Gossip
{
    MemberRecord self; // the sender
    base::Revision revision; // of the sender's configuration
    MemberDigest digest;
    std::vector<MemberRecord> updates; // bounded by MemberListOptions
};

// "Are you there?" The receiver answers with the same number.
struct Probe
{
    std::uint64_t number = 0;
    Gossip gossip;
};

// "I am", or on behalf of `subject`: "it is".
struct ProbeAck
{
    std::uint64_t number = 0;
    base::RouterId subject;
    Gossip gossip;
};

// "Probe `target` for me."
struct IndirectProbe
{
    std::uint64_t number = 0;
    MemberRecord target;
    Gossip gossip;
};

// "Send me your table from `cursor` on", in order of id.
struct TableRequest
{
    base::RouterId cursor; // the last id already held, empty for the start
    Gossip gossip;
};

// A page of the table.
struct TablePage
{
    std::vector<MemberRecord> records;
    base::RouterId cursor; // to ask on from; empty at the end
    Gossip gossip;
};

} // namespace carawaylatch::membership
