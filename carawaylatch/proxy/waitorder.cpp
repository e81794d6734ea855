// Keys of waitorder.h.
#include "carawaylatch/proxy/waitorder.h"

#include <iterator>
#include <limits>
#include <utility>

namespace carawaylatch::proxy
{

void WaitOrder::setOrder(QueueOrder order)
{
    m_order = order;
}

WaitOrder::Ticket WaitOrder::join(const QueuedRequest &request)
{
    const Ticket ticket = ++m_arrivals;
    Position position{nextKey(request, ticket), m_order, {}};
    if (m_order == QueueOrder::ByCustomer) {
        position.customer = request.customer;
        const auto [tags, isNew] = m_tags.try_emplace(request.urgency);
        if (isNew) {
            tags->second.advance(position.key.start); // behind those that joined by arrival
        }
        tags->second.join(request.customer, ticket, request.work);
    } else if (const auto tags = m_tags.find(request.urgency); tags != m_tags.end()) {
        tags->second.advance(position.key.start); // later ones that join by customer are behind this one
    }
    m_keys.emplace(position.key, ticket);
    m_positions.emplace(ticket, std::move(position));
    return ticket;
}

void WaitOrder::leave(Ticket ticket, QueueExit exit)
{
    const auto it = m_positions.find(ticket);
    const Position position = std::move(it->second);
    m_positions.erase(it);
    m_keys.erase(position.key);
    if (position.order == QueueOrder::ByArrival) {
        return;
    }
    StartTags &tags = m_tags.at(position.key.urgency);
    if (exit == QueueExit::Served) {
        tags.onServed(position.customer, ticket);
    } else {
        for (const StartTags::Change &change : tags.onLeft(position.customer, ticket)) {
            move(change);
        }
    }
    if (tags.customers() == 0) {
        m_tags.erase(position.key.urgency);
    }
}

std::size_t WaitOrder::ahead(const QueuedRequest &request) const
{
    return static_cast<std::size_t>(std::distance(m_keys.begin(), m_keys.lower_bound(nextKey(request, m_arrivals + 1))));
}

std::optional<WaitOrder::Ticket> WaitOrder::after(const Key &key) const
{
    const auto it = m_keys.upper_bound(key);
    return it == m_keys.end() ? std::nullopt : std::optional(it->second);
}

WaitOrder::Key WaitOrder::key(Ticket ticket) const
{
    return m_positions.at(ticket).key;
}

std::size_t WaitOrder::size() const
{
    return m_keys.size();
}

WaitOrder::Key WaitOrder::nextKey(const QueuedRequest &request, Ticket ticket) const
{
    if (m_order == QueueOrder::ByArrival) {
        return {request.urgency, lastStart(request.urgency), ticket};
    }
    const auto tags = m_tags.find(request.urgency);
    return {request.urgency, tags == m_tags.end() ? lastStart(request.urgency) : tags->second.next(request.customer), ticket};
}

std::uint64_t WaitOrder::lastStart(std::uint32_t urgency) const
{
    constexpr auto Greatest = std::numeric_limits<std::uint64_t>::max();
    const auto end = m_keys.upper_bound({urgency, Greatest, Greatest});
    return end == m_keys.begin() || std::prev(end)->first.urgency != urgency ? 0 : std::prev(end)->first.start;
}

void WaitOrder::move(const StartTags::Change &change)
{
    Position &position = m_positions.at(change.ticket);
    auto node = m_keys.extract(position.key);
    position.key.start = change.start;
    node.key() = position.key;
    m_keys.insert(std::move(node));
}

} // namespace carawaylatch::proxy
