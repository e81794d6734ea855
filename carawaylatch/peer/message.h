// Messages between routers: one variant over the message structs of all modules.
#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "carawaylatch/admission/shares.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/config/distributor.h"
#include "carawaylatch/handover/snapshot.h"
#include "carawaylatch/membership/memberlist.h"
#include "carawaylatch/upstreams/leavingmarks.h"

namespace carawaylatch::peer
{

// Marks of upstreams that are leaving. Receivers forward marks that are new to them.
struct MarksMessage
{
    std::vector<upstreams::LeavingMark> marks;
};

// Requests all marks that the receiver holds.
struct MarksRequest
{
};

using PeerMessage = std::variant<membership::Probe, membership::ProbeAck, membership::IndirectProbe, membership::TableRequest, membership::TablePage,
                                 config::ConfigUpdate, config::ConfigRequest, MarksMessage, MarksRequest, admission::DemandReport, admission::ShareTable,
                                 prefix::HotPlacements, handover::SnapshotRequest, handover::SnapshotPart>;

// Returns the name of the message kind in metrics, such as "probe_ack".
[[nodiscard]] std::string_view messageKindName(const PeerMessage &message);

// Maximum size of an encoded message in bytes, including its HMAC. Larger messages are
// rejected without decoding them.
constexpr std::size_t MaxMessageBytes = 1'200'000;

// Identifies a sender: the router and its incarnation, which changes with every start.
struct PeerIdentity
{
    base::RouterId id;
    base::Incarnation incarnation;

    bool operator==(const PeerIdentity &) const = default;
};

struct PeerEnvelope
{
    PeerIdentity sender;
    std::uint64_t sequence = 0; // increases with every message of one incarnation
    PeerMessage message;
};

} // namespace carawaylatch::peer
