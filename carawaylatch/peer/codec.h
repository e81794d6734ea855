// Messages between routers as bytes: protobuf, so that mixed versions work
// together, sealed with a keyed hash.
//
// Decoding takes any bytes and never trusts a length or a number in them.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/handover/snapshot.h"
#include "carawaylatch/peer/message.h"

namespace carawaylatch::peer
{

// Version of the messages' meaning; a receiver refuses others than its own major version.
constexpr std::uint32_t ProtocolVersion = 1;

[[nodiscard]] std::string encodeEnvelope(const PeerEnvelope &envelope);
// InvalidArgument for bytes that are no message, StaleState for another protocol version.
[[nodiscard]] base::Result<PeerEnvelope> decodeEnvelope(std::string_view bytes);

// A snapshot as it is stored at the platform and sent in parts to peers.
[[nodiscard]] std::string encodeSnapshot(const handover::Snapshot &snapshot);
[[nodiscard]] base::Result<handover::Snapshot> decodeSnapshot(std::string_view bytes);

} // namespace carawaylatch::peer
