// JSON of the published protocols towards upstreams (docs/design/wire.md), as
// typed values. Decoders take bytes of other processes: any text is allowed and
// what isn't of the shape is InvalidArgument.
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

// Identities travel as 16 lower-case hex digits.
[[nodiscard]] std::string toHex(std::uint64_t value);
// Returns zero, which no identity is, for other text.
[[nodiscard]] std::uint64_t fromHex(std::string_view text);

// One event of an engine's stream.
using EngineEvent = std::variant<relay::TokenEvent, relay::DoneEvent>;

// An upstream's refusal, the body of a 503.
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
[[nodiscard]] RefusalBody decodeRefusal(std::string_view body);

} // namespace carawaylatch::http
