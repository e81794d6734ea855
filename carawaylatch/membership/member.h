// Member records of the failure detector and the messages that carry them.
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
    Suspect, // didn't answer a probe; declared dead unless it refutes this in time
    Leaving, // planned stop: finishes its streams, takes no more duties
    Dead,
};

// Returns the state's name used in logs and status pages, such as "suspect".
[[nodiscard]] std::string_view memberStateName(MemberState state);

// State of one router. Only the router itself raises `selfVersion`: at every start,
// to refute a false suspicion and when it leaves. Other routers raise
// `revivalCount` when they receive a message from a router that they had declared
// dead. Of two records of one router, the one with the greater selfVersion takes
// precedence, then the greater revivalCount, then the later state in MemberState.
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

// Returns true if `record` takes precedence over `other` of the same router.
[[nodiscard]] bool supersedes(const MemberRecord &record, const MemberRecord &other);

// Order-independent hash and count of a member table; equal for equal tables.
struct MemberDigest
{
    std::uint64_t hash = 0;
    std::uint32_t count = 0;

    bool operator==(const MemberDigest &) const = default;
};

// Fields that every membership message carries.
struct Gossip
{
    MemberRecord self; // the sender
    base::Revision revision; // of the sender's configuration
    MemberDigest digest;
    std::vector<MemberRecord> updates; // bounded by MemberListOptions
};

// Liveness probe. The receiver answers with a ProbeAck of the same number.
struct Probe
{
    std::uint64_t number = 0;
    Gossip gossip;
};

// Confirms that `subject` is alive: the sender itself, or the target of an
// indirect probe.
struct ProbeAck
{
    std::uint64_t number = 0;
    base::RouterId subject;
    Gossip gossip;
};

// Asks the receiver to probe `target` and to forward its answer.
struct IndirectProbe
{
    std::uint64_t number = 0;
    MemberRecord target;
    Gossip gossip;
};

// Asks for a page of the receiver's table: records with ids above `cursor`, ordered by id.
struct TableRequest
{
    base::RouterId cursor; // last id of the page before; empty for the first page
    Gossip gossip;
};

struct TablePage
{
    std::vector<MemberRecord> records;
    base::RouterId cursor; // for the request of the next page; empty on the last page
    Gossip gossip;
};

} // namespace carawaylatch::membership
