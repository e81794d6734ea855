// Splits a stream of server-sent events into complete events.
//
// A resumable stream is forwarded in complete events only: when an upstream fails
// inside an event, the partial event is dropped and the next upstream sends it
// again. Events are forwarded byte for byte. A partial event is kept up to
// MaxEventBytes, and each byte is examined once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaylatch::proxy
{

// Longest end of an event: a line end and an empty line.
constexpr std::size_t EventEndBytes = 3;

// True if a stream whose last bytes, EventEndBytes or fewer if it is shorter, are these ends with a complete event.
[[nodiscard]] bool endsWithEvent(std::string_view lastBytes);

class EventScanner
{
public:
    // `lastEventId` is the id of the last event that the caller has received.
    explicit EventScanner(std::optional<std::uint64_t> lastEventId = std::nullopt);

    // Longest event; an upstream that sends a longer one is not sending events.
    static constexpr std::size_t MaxEventBytes = 262'144;

    // Takes bytes of the stream and returns the events that they complete, without
    // those that the caller has already received.
    [[nodiscard]] std::string feed(std::string_view bytes);
    // Drops the incomplete event; the stream continues from another upstream.
    void restart();
    // Id of the last complete event, or nothing before the first.
    [[nodiscard]] std::optional<std::uint64_t> lastEventId() const;
    // True if no partial event is buffered.
    [[nodiscard]] bool isAtBoundary() const;
    // True if an event exceeds MaxEventBytes; no further bytes are kept.
    [[nodiscard]] bool isTooLong() const;
    // True if an event id was skipped; the stream can no longer be completed.
    [[nodiscard]] bool hasGap() const;

private:
    [[nodiscard]] bool isNew(std::string_view event);

    std::string m_partial; // bytes of an incomplete event
    std::size_t m_searched = 0; // leading bytes of m_partial that were searched for the end of the event
    std::optional<std::uint64_t> m_lastEventId;
    bool m_isResumed = false; // the next event is the first one after a resume
    bool m_hasGap = false;
    bool m_isTooLong = false;
};

} // namespace carawaylatch::proxy
