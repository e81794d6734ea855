// Which responses are read from their upstreams although their callers take nothing.
//
// An upstream aborts a response that stays unread for some seconds, and a caller that reads late then loses one that
// was complete at the upstream. So a response whose reading has been paused for MaxUnreadTime, in which its caller took
// nothing, is read on into memory. Room is granted in steps of StepBytes, to the responses paused longest first, as
// long as all responses together stay within three quarters of the limit for buffered responses. One response holds at
// most a quarter of it, plus the read that reaches that bound.
//
// Decides without I/O. The owner of a response asks when its reading pauses, every CheckInterval until the caller has
// taken all, and whenever it holds what it was allowed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

class UnreadResponses
{
public:
    using Ticket = std::uint64_t;
    struct Response
    {
        base::TimePoint takenAt; // the caller last took bytes
        std::size_t held = 0; // bytes queued for the caller
    };
    struct Memory
    {
        std::size_t sum = 0; // bytes of all responses in memory
        std::size_t limit = 0; // of `sum`

        // What responses may take together by being read on.
        [[nodiscard]] std::size_t usable() const;
    };

    static constexpr base::Duration MaxUnreadTime = base::seconds{1}; // upstreams abort an unread response after a few seconds
    static constexpr base::Duration CheckInterval = base::milliseconds{250}; // a quarter of MaxUnreadTime, so it is exceeded by little
    static constexpr std::size_t StepBytes = 262'144; // as much as a response may hold without being read on
    static constexpr std::size_t MaxShareDivisor = 4; // one response holds at most this part of the limit
    // This part of the limit is kept free: above the limit little of any response is buffered, also for callers that keep up.
    static constexpr std::size_t ReserveDivisor = 4;

    // The reading of a response is paused.
    [[nodiscard]] Ticket add(base::TimePoint now);
    // Returns the bytes that the response may hold now. It is to be read while it holds fewer; zero: it is not read on.
    [[nodiscard]] std::size_t ask(Ticket ticket, const Response &response, const Memory &memory, base::TimePoint now);
    // The caller has taken all, or the response has ended.
    void remove(Ticket ticket);

    // Responses that are not being read now.
    [[nodiscard]] std::size_t paused() const;
    // Responses that were read on since the start.
    [[nodiscard]] std::uint64_t readOn() const;

private:
    struct Entry
    {
        base::TimePoint pausedSince; // the start of the pause, or when the caller last took bytes in it
        std::size_t held = 0;
        std::size_t allowed = 0; // zero: not read on; never lowered, as the limit may fall meanwhile
        bool isRead = false;

        // Bytes that it may still add to what it holds.
        [[nodiscard]] std::size_t reserve() const;
    };

    void grant(Ticket ticket, Entry &entry, const Memory &memory);
    [[nodiscard]] bool hasRoom(const std::pair<base::TimePoint, Ticket> &key, std::size_t bytes, const Memory &memory) const;
    void setRead(Entry &entry, bool isRead);

    std::map<Ticket, Entry> m_entries; // one for each request whose response is passed on, so as many as callers' connections at most
    std::set<std::pair<base::TimePoint, Ticket>> m_waiting; // entries that found no room, by `pausedSince`
    std::size_t m_reserved = 0; // sum of reserve() of m_entries
    std::size_t m_read = 0; // entries with `isRead`
    std::uint64_t m_readOn = 0;
    Ticket m_lastTicket = 0;
};

} // namespace carawaylatch::proxy
