// Messages between routers: typed structs of the modules that speak, in one variant.
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

// Marks that upstreams leave; receivers pass on what is new to them.
struct MarksMessage
{
    std::vector<upstreams::LeavingMark> marks;
};

// Asks for all marks that the receiver holds.
struct MarksRequest
{
};

using PeerMessage = std::variant<membership::Probe, membership::ProbeAck, membership::IndirectProbe, membership::TableRequest, membership::TablePage,
                                 config::ConfigUpdate, config::ConfigRequest, MarksMessage, MarksRequest, admission::DemandReport, admission::ShareTable,
                                 prefix::HotPlacements, handover::SnapshotRequest, handover::SnapshotPart>;

// Returns the kind's name as it stands in metrics, such as "probe_ack".
[[nodiscard]] std::string_view messageKindName(const PeerMessage &message);

// Largest encoded message in bytes, its seal included; larger ones are refused unread.
constexpr std::size_t MaxMessageBytes = 1'200'000;

// Who sent a message and when in the order of its life.
struct PeerIdentity
{
    base::RouterId id;
    base::Incarnation incarnation;

    bool operator==(const PeerIdentity &) const = default;
};

struct PeerEnvelope
{
    PeerIdentity sender;
    std::uint64_t sequence = 0; // grows with every message of one life
    PeerMessage message;
};

} // namespace carawaylatch::peer
