// Tags and bounded state of starttags.h.
#include "carawaylatch/proxy/starttags.h"

#include <algorithm>

namespace carawaylatch::proxy
{

std::uint64_t StartTags::next(const base::CustomerId &customer) const
{
    const auto it = m_customers.find(customer);
    if (it == m_customers.end()) {
        return m_virtualTime;
    }
    const Customer &state = it->second;
    return std::max(m_virtualTime, state.waiting.empty() ? state.finish : state.lastFinish);
}

std::uint64_t StartTags::join(const base::CustomerId &customer, Ticket ticket, std::uint64_t work)
{
    const std::uint64_t start = next(customer);
    Customer &state = m_customers[customer];
    if (state.waiting.empty()) {
        m_idle.erase({state.finish, customer});
    }
    const Waiting &joined = state.waiting.emplace(ticket, Waiting{std::max<std::uint64_t>(work, 1), m_virtualTime, start}).first->second;
    state.lastFinish = start + joined.work;
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

// Sums up from the work that was served: the tags of waiting requests leave out what was served before earlier ones.
std::vector<StartTags::Change> StartTags::onLeft(const base::CustomerId &customer, Ticket ticket)
{
    Customer &state = m_customers.at(customer);
    std::uint64_t finish = state.finish;
    std::vector<Change> changes;
    for (auto &[other, it] : state.waiting) {
        if (other == ticket) {
            continue;
        }
        const std::uint64_t start = std::max(it.joinedAt, finish);
        if (other > ticket && start < it.start) {
            it.start = start;
            changes.push_back({other, start});
        }
        finish = start + it.work;
    }
    state.lastFinish = std::min(state.lastFinish, finish);
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
