// Conversions between typed values and protobuf messages. Internal to this folder: only
// its .cpp files include this header.
//
// fromWire() checks every number and name and returns InvalidArgument for invalid
// ones, since the bytes may come from another version or from a sender that encoded
// corrupted values.
#pragma once

#include "carawaylatch/base/error.h"
#include "carawaylatch/handover/snapshot.h"
#include "carawaylatch/peer/message.h"
#include "carawaylatch/peer/peer.pb.h"

namespace carawaylatch::peer
{

void toWire(const membership::MemberRecord &value, wire::Member &out);
void toWire(const membership::Gossip &value, wire::Gossip &out);
void toWire(const upstreams::LeavingMark &value, wire::Mark &out);
void toWire(const admission::DemandReport &value, wire::DemandReport &out);
void toWire(const admission::ShareTable &value, wire::ShareTable &out);
void toWire(const prefix::HotPlacements &value, wire::HotPlacements &out);
void toWire(const prefix::HotLevels &value, wire::HotLevels &out);
void toWire(const handover::Snapshot &value, wire::Snapshot &out);

[[nodiscard]] base::Result<membership::MemberRecord> fromWire(const wire::Member &in);
[[nodiscard]] base::Result<membership::Gossip> fromWire(const wire::Gossip &in);
[[nodiscard]] base::Result<upstreams::LeavingMark> fromWire(const wire::Mark &in);
[[nodiscard]] base::Result<admission::DemandEntry> fromWire(const wire::DemandEntry &in);
[[nodiscard]] base::Result<admission::ShareEntry> fromWire(const wire::ShareEntry &in);
[[nodiscard]] base::Result<prefix::HotUpstream> fromWire(const wire::HotUpstream &in);
[[nodiscard]] base::Result<handover::UpstreamIncarnation> fromWire(const wire::UpstreamLife &in);
[[nodiscard]] base::Result<handover::FencingFloor> fromWire(const wire::FencingFloor &in);
[[nodiscard]] base::Result<admission::DemandReport> fromWire(const wire::DemandReport &in);
[[nodiscard]] base::Result<admission::ShareTable> fromWire(const wire::ShareTable &in);
[[nodiscard]] base::Result<prefix::HotPlacements> fromWire(const wire::HotPlacements &in);
[[nodiscard]] base::Result<prefix::HotLevels> fromWire(const wire::HotLevels &in);
[[nodiscard]] base::Result<handover::Snapshot> fromWire(const wire::Snapshot &in);

// Returns the name, or InvalidArgument if it is longer than MaxNameBytes.
template <typename T>
[[nodiscard]] base::Result<T> nameFromWire(const std::string &text)
{
    constexpr std::size_t MaxNameBytes = 64;
    if (text.size() > MaxNameBytes) {
        return base::fail(base::ErrorKind::InvalidArgument, "a name in a peer message is too long; check for a router of another version");
    }
    return T(text);
}

// Converts all elements of a repeated field; returns the first error.
template <typename T, typename Repeated>
[[nodiscard]] base::Result<std::vector<T>> listFromWire(const Repeated &in)
{
    std::vector<T> values;
    values.reserve(static_cast<std::size_t>(in.size()));
    for (const auto &it : in) {
        auto value = fromWire(it);
        if (!value) {
            return value.error();
        }
        values.push_back(std::move(value.value()));
    }
    return values;
}

} // namespace carawaylatch::peer
