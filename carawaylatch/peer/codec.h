// Encodes messages between routers as protobuf, so that routers of different versions
// work together during a rolling upgrade. authenticatedcodec.h adds the HMAC.
//
// Decoding accepts any bytes; all lengths and numbers in them are checked.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/handover/snapshot.h"
#include "carawaylatch/peer/message.h"

namespace carawaylatch::peer
{

// Protocol version. A receiver rejects messages of any other version.
constexpr std::uint32_t ProtocolVersion = 1;

[[nodiscard]] std::string encodeEnvelope(const PeerEnvelope &envelope);
// InvalidArgument for malformed bytes, StaleState for another protocol version.
[[nodiscard]] base::Result<PeerEnvelope> decodeEnvelope(std::string_view bytes);

// Encodes a warm start snapshot as it is stored at the platform and sent in parts to
// peers.
[[nodiscard]] std::string encodeSnapshot(const handover::Snapshot &snapshot);
// InvalidArgument for malformed bytes.
[[nodiscard]] base::Result<handover::Snapshot> decodeSnapshot(std::string_view bytes);

} // namespace carawaylatch::peer
