// An event ends with an empty line, with or without carriage returns. Its id is the value of its "id" field, an
// integer that increases by one with each event.
#include "carawaylatch/proxy/eventscanner.h"

#include <algorithm>
#include <charconv>

namespace carawaylatch::proxy
{

namespace
{

// Returns the position after the end of the first event, an empty line, or npos. The
// search begins at `from`.
std::size_t findEventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        const std::string_view next = text.substr(at + 1, 2);
        if (next.starts_with('\n')) {
            return at + 2;
        }
        if (next == "\r\n") {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view IdField = "id:";
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto [last, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (ec == std::errc{} && last != line.data()) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

bool endsWithEvent(std::string_view lastBytes)
{
    return lastBytes.ends_with("\n\n") || lastBytes.ends_with("\n\r\n");
}

EventScanner::EventScanner(std::optional<std::uint64_t> lastEventId)
    : m_lastEventId(lastEventId)
    , m_isResumed(lastEventId.has_value())
{
}

bool EventScanner::isNew(std::string_view event)
{
    const auto id = eventId(event);
    if (!id) {
        return true; // comments and events without an id are forwarded unchanged
    }
    if (m_lastEventId && *id <= *m_lastEventId) {
        return false;
    }
    if (m_isResumed && m_lastEventId && *id != *m_lastEventId + 1) {
        m_hasGap = true;
    }
    m_isResumed = false;
    m_lastEventId = id;
    return true;
}

std::string EventScanner::feed(std::string_view bytes)
{
    if (m_isTooLong) {
        return {};
    }
    m_partial.append(bytes);
    std::string whole;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = findEventEnd(m_partial, std::max(begin, m_searched));
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event = std::string_view(m_partial).substr(begin, end - begin);
        if (isNew(event) && !m_hasGap) {
            whole.append(event);
        }
        begin = end;
        m_searched = 0;
    }
    m_partial.erase(0, begin);
    constexpr std::size_t PartialEndBytes = EventEndBytes - 1; // of an event's end, which may have arrived in part
    m_searched = m_partial.size() > PartialEndBytes ? m_partial.size() - PartialEndBytes : 0;
    if (m_partial.size() > MaxEventBytes) {
        m_isTooLong = true;
        m_partial = {};
        m_searched = 0;
    }
    return whole;
}

void EventScanner::restart()
{
    m_partial.clear();
    m_searched = 0;
    m_isTooLong = false;
    m_isResumed = true;
}

bool EventScanner::isTooLong() const
{
    return m_isTooLong;
}

std::optional<std::uint64_t> EventScanner::lastEventId() const
{
    return m_lastEventId;
}

bool EventScanner::isAtBoundary() const
{
    return m_partial.empty() && !m_isTooLong;
}

bool EventScanner::hasGap() const
{
    return m_hasGap;
}

} // namespace carawaylatch::proxy
