// Server-sent events of a streamed response as typed values.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace carawaylatch::load
{

struct StreamUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
};

// One `data:` event.
struct StreamEvent
{
    enum class Kind {
        Token, // text with an index
        Last, // finish reason, usage and token count
        Error, // explicit error
        Done, // [DONE]
        Malformed,
    };
    Kind kind = Kind::Malformed;
    std::uint64_t index = 0; // of a token
    std::string text; // of a token; an error's type
    std::optional<std::uint64_t> tokenCount; // of the last event
    StreamUsage usage; // of the last event
};

// Returns the event of one `data:` payload, Malformed if it can't be parsed.
[[nodiscard]] StreamEvent parseStreamEvent(std::string_view payload);

// Splits a byte stream into `data:` payloads, in whatever chunks the bytes arrive.
class EventSplitter
{
public:
    using Sink = std::function<void(std::string_view payload)>;
    void feed(std::string_view bytes, const Sink &sink);

private:
    std::string m_line; // bytes of the unfinished line
};

} // namespace carawaylatch::load
