// Encodes and decodes the JSON of the protocols between router and upstreams
// (docs/design/wire.md). Decoders accept any bytes, since the input comes from other
// processes; they return InvalidArgument for text of another form.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "carawaylatch/base/error.h"
#include "carawaylatch/fleet/enginecontrol.h"
#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/relay/engineconnection.h"
#include "carawaylatch/upstreams/loadreport.h"

namespace carawaylatch::http
{

// Returns 16 lower-case hex digits, the wire form of identifiers.
[[nodiscard]] std::string toHex(std::uint64_t value);
// Returns zero, which is not a valid identifier, if the text is not a hex number.
[[nodiscard]] std::uint64_t fromHex(std::string_view text);

// An event of an engine's stream.
using EngineEvent = std::variant<relay::TokenEvent, relay::DoneEvent>;

// Body of a 503 response of an upstream.
struct RefusalBody
{
    std::string type; // "overloaded", "leaving" or "loading"
    std::string message;
};

[[nodiscard]] std::string encodeEngineRequest(const relay::EngineRequest &request);
[[nodiscard]] std::string encodeEngineOrder(const fleet::EngineOrder &order);

[[nodiscard]] base::Result<EngineEvent> decodeEngineEvent(std::string_view data);
[[nodiscard]] base::Result<upstreams::LoadReport> decodeLoadReport(std::string_view body);
[[nodiscard]] base::Result<prefix::CacheEvents> decodeCacheEvents(std::string_view body);
// Returns the type "overloaded" for a malformed body.
[[nodiscard]] RefusalBody decodeRefusal(std::string_view body);

} // namespace carawaylatch::http
