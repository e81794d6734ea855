// Bytes that are granted but not read yet are reserved, so that responses that are read on at the same time do not
// exceed the limit together.
#include "carawaylatch/proxy/unreadresponses.h"

#include <algorithm>

namespace carawaylatch::proxy
{

std::size_t UnreadResponses::Memory::usable() const
{
    return limit - limit / ReserveDivisor;
}

std::size_t UnreadResponses::Entry::reserve() const
{
    return allowed - std::min(allowed, held);
}

UnreadResponses::Ticket UnreadResponses::add(base::TimePoint now)
{
    m_entries[++m_lastTicket].pausedSince = now;
    return m_lastTicket;
}

std::size_t UnreadResponses::ask(Ticket ticket, const Response &response, const Memory &memory, base::TimePoint now)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end()) {
        return 0;
    }
    Entry &entry = it->second;
    m_waiting.erase({entry.pausedSince, ticket});
    m_reserved -= entry.reserve();
    entry.pausedSince = std::max(entry.pausedSince, response.takenAt);
    entry.held = response.held;
    if (entry.held >= entry.allowed && now - entry.pausedSince >= MaxUnreadTime) {
        grant(ticket, entry, memory);
    }
    m_reserved += entry.reserve();
    const std::size_t allowed = memory.sum > memory.usable() ? 0 : entry.allowed;
    setRead(entry, entry.held < allowed);
    return allowed;
}

// Raises `allowed` by a step, or notes that the response waits for room.
void UnreadResponses::grant(Ticket ticket, Entry &entry, const Memory &memory)
{
    const std::size_t allowed = std::min(memory.limit / MaxShareDivisor, entry.held + StepBytes);
    if (allowed <= entry.held) {
        return; // it holds its part of the limit
    }
    if (!hasRoom({entry.pausedSince, ticket}, allowed - entry.held, memory)) {
        m_waiting.insert({entry.pausedSince, ticket});
        return;
    }
    m_readOn += entry.allowed == 0 ? 1 : 0;
    entry.allowed = allowed;
}

// True if there is room for these bytes and for a step of each response that has waited longer.
bool UnreadResponses::hasRoom(const std::pair<base::TimePoint, Ticket> &key, std::size_t bytes, const Memory &memory) const
{
    const std::size_t used = memory.sum + m_reserved;
    if (used > memory.usable()) {
        return false;
    }
    const std::size_t room = memory.usable() - used;
    std::size_t needed = bytes;
    for (auto it = m_waiting.begin(); it != m_waiting.end() && *it < key && needed <= room; ++it) {
        needed += StepBytes;
    }
    return needed <= room;
}

void UnreadResponses::setRead(Entry &entry, bool isRead)
{
    m_read = m_read + (isRead ? 1 : 0) - (entry.isRead ? 1 : 0);
    entry.isRead = isRead;
}

void UnreadResponses::remove(Ticket ticket)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end()) {
        return;
    }
    m_waiting.erase({it->second.pausedSince, ticket});
    m_reserved -= it->second.reserve();
    setRead(it->second, false);
    m_entries.erase(it);
}

std::size_t UnreadResponses::paused() const
{
    return m_entries.size() - m_read;
}

std::uint64_t UnreadResponses::readOn() const
{
    return m_readOn;
}

} // namespace carawaylatch::proxy
