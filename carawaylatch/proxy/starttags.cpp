// Tags and bounded state of starttags.h.
#include "carawaylatch/proxy/starttags.h"

#include <algorithm>
#include <iterator>

namespace carawaylatch::proxy
{

std::uint64_t StartTags::next(const base::CustomerId &customer) const
{
    const auto it = m_customers.find(customer);
    if (it == m_customers.end()) {
        return m_virtualTime;
    }
    const auto &waiting = it->second.waiting;
    const std::uint64_t finish = waiting.empty() ? it->second.finish : waiting.rbegin()->second.start + waiting.rbegin()->second.work;
    return std::max(m_virtualTime, finish);
}

std::uint64_t StartTags::join(const base::CustomerId &customer, Ticket ticket, std::uint64_t work)
{
    const std::uint64_t start = next(customer);
    Customer &state = m_customers[customer];
    if (state.waiting.empty()) {
        m_idle.erase({state.finish, customer});
    }
    state.waiting.emplace(ticket, Waiting{std::max<std::uint64_t>(work, 1), m_virtualTime, start});
    ++m_waiting;
    return start;
}

// A request that is served before earlier ones of its customer is charged like the first of them, so that the
// finish tag covers exactly the work that was served.
void StartTags::onServed(const base::CustomerId &customer, Ticket ticket)
{
    Customer &state = m_customers.at(customer);
    const Waiting &served = state.waiting.at(ticket);
    advance(served.start);
    state.finish = std::max(state.finish, state.waiting.begin()->second.start) + served.work;
    remove(customer, state, ticket);
}

std::vector<StartTags::Change> StartTags::onLeft(const base::CustomerId &customer, Ticket ticket)
{
    Customer &state = m_customers.at(customer);
    const auto left = state.waiting.find(ticket);
    const bool isFirst = left == state.waiting.begin();
    std::uint64_t finish = isFirst ? state.finish : std::prev(left)->second.start + std::prev(left)->second.work;
    std::vector<Change> changes;
    for (auto it = std::next(left); it != state.waiting.end(); ++it) {
        const std::uint64_t start = std::max(it->second.joinedAt, finish);
        if (start >= it->second.start) {
            break; // the later ones follow from this tag
        }
        it->second.start = start;
        changes.push_back({it->first, start});
        finish = start + it->second.work;
    }
    remove(customer, state, ticket);
    return changes;
}

void StartTags::advance(std::uint64_t start)
{
    m_virtualTime = std::max(m_virtualTime, start);
    dropIdle();
}

std::size_t StartTags::customers() const
{
    return m_customers.size();
}

void StartTags::remove(const base::CustomerId &customer, Customer &state, Ticket ticket)
{
    state.waiting.erase(ticket);
    --m_waiting;
    if (state.waiting.empty()) {
        m_idle.emplace(state.finish, customer);
    }
    dropIdle();
}

// Beyond the bound, the customers that are the least ahead of the virtual time are dropped.
void StartTags::dropIdle()
{
    while (!m_idle.empty() && (m_idle.begin()->first <= m_virtualTime || m_idle.size() > m_waiting)) {
        m_customers.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
    }
}

} // namespace carawaylatch::proxy
