// Splits a stream of server-sent events into whole events.
//
// A stream that may go on at another upstream is forwarded in whole events only:
// what an upstream sent of an event before it broke off is dropped, and the next
// upstream sends that event again. Events are passed on byte for byte.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaylatch::proxy
{

class EventScanner
{
public:
    // `lastEventId` is that of the last event which the caller already holds.
    explicit EventScanner(std::optional<std::uint64_t> lastEventId = std::nullopt);

    // Takes bytes of the stream and returns the events that they complete, less
    // those that the caller already holds.
    [[nodiscard]] std::string feed(std::string_view bytes);
    // Drops the incomplete event; the stream goes on from another upstream.
    void restart();
    // Id of the last whole event, or nothing before the first.
    [[nodiscard]] std::optional<std::uint64_t> lastEventId() const;
    // True if no part of an event is held back.
    [[nodiscard]] bool isAtBoundary() const;
    // True if an id was skipped; the stream can't be completed any more.
    [[nodiscard]] bool hasGap() const;

private:
    [[nodiscard]] bool isNew(std::string_view event);

    std::string m_partial; // bytes of an event whose end has not arrived
    std::optional<std::uint64_t> m_lastEventId;
    bool m_isResumed = false; // the next event follows a break
    bool m_hasGap = false;
};

} // namespace carawaylatch::proxy
