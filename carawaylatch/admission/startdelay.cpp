// Confirmations of candidates; see the header.
#include "carawaylatch/admission/startdelay.h"

#include <algorithm>
#include <sstream>

namespace carawaylatch::admission
{

StartDelay::StartDelay(RouterKey self, std::uint64_t incarnation, base::TimePoint started)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_started(started)
{
}

void StartDelay::setRouters(const LimitCandidates &fleet, base::Duration delay, base::TimePoint now)
{
    // Also after the delay of a shorter list: a former process may have lent for the term of the longer one.
    const base::TimePoint longest = m_started + delay;
    m_longest = m_longest == base::TimePoint::max() ? longest : std::max(m_longest, longest);
    if (fleet.routers == m_routers && fleet.count == m_count) {
        return;
    }
    m_routers = fleet.routers;
    m_count = fleet.count;
    m_confirmed.clear();
    if (now < m_longest) {
        m_early = {}; // other routers are candidates now
    }
}

bool StartDelay::isConfirmed(const std::vector<RouterKey> &candidates) const
{
    return std::all_of(candidates.begin(), candidates.end(), [this](RouterKey it) {
        return it == m_self || m_confirmed.contains(it);
    });
}

void StartDelay::onPoll(const SharePoll &poll, const LimitCandidates &fleet, base::TimePoint now)
{
    if (now >= m_longest) {
        m_confirmed.clear();
        return;
    }
    // Another router is listed then: a list with this router alone says nothing of those to which it may have lent.
    if (poll.lenderIncarnation != m_incarnation || poll.appliedAnswer == 0 || fleet.groupsOf(poll.sender) == 0) {
        return;
    }
    m_confirmed.insert(poll.sender);
    for (std::uint32_t i = 0; i < LimitGroups; ++i) {
        if (!m_early[i] && isConfirmed(fleet.candidates[i])) {
            m_early[i] = now;
        }
    }
}

base::TimePoint StartDelay::end(std::uint32_t group) const
{
    return m_early[group].value_or(m_longest);
}

std::optional<base::Duration> StartDelay::lasted(base::TimePoint now) const
{
    base::TimePoint last = end(0);
    for (std::uint32_t i = 1; i < LimitGroups; ++i) {
        last = std::max(last, end(i));
    }
    return now >= last ? std::optional(last - m_started) : std::nullopt;
}

std::string StartDelay::stateText(base::TimePoint now) const
{
    if (m_longest == base::TimePoint::max()) {
        return "-1";
    }
    std::ostringstream out;
    out << std::max<std::int64_t>(0, (m_longest - now).count());
    for (const RouterKey it : m_confirmed) {
        out << '+' << it;
    }
    for (const auto &it : m_early) {
        out << '/' << (it ? (*it - now).count() : 1);
    }
    return out.str();
}

} // namespace carawaylatch::admission
