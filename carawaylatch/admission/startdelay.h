// From when on a router that has just started may use or lend its share of a group.
//
// An earlier process of the router may have lent the share. Its leases have ended after
// the longest term at the latest. For a group it is known earlier, once every other
// candidate has confirmed that it uses no such lease, by a poll that names an answer of
// this process as applied. That answer replaced all that was lent before, and the
// candidate applies no answer of an earlier process after it (borrowedshares.h).
//
// A router that was a candidate in an earlier list only is not asked. It may use a lease
// of the earlier process for the rest of the term: one share of each router that restarted, for one term.
//
// Without I/O. Not thread-safe. Memory is bounded by the candidates of all groups.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/admission/limitcandidates.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

class StartDelay
{
public:
    StartDelay(RouterKey self, std::uint64_t incarnation, base::TimePoint started);

    // The delay of a new list. A changed list needs new confirmations, unless the longest delay has passed.
    void setRouters(const LimitCandidates &fleet, base::Duration delay, base::TimePoint now);
    // Counts the poll if it confirms that its sender has applied an answer of this process.
    void onPoll(const SharePoll &poll, const LimitCandidates &fleet, base::TimePoint now);

    // The end of the group's delay; the latest time point while the routers are not known.
    [[nodiscard]] base::TimePoint end(std::uint32_t group) const;
    // The time from the start to the end of the last group's delay; nothing before that end.
    [[nodiscard]] std::optional<base::Duration> lasted(base::TimePoint now) const;
    // See QuotaLeases::stateText().
    [[nodiscard]] std::string stateText(base::TimePoint now) const;

private:
    [[nodiscard]] bool isConfirmed(const std::vector<RouterKey> &candidates) const;

    RouterKey m_self;
    std::uint64_t m_incarnation;
    base::TimePoint m_started;
    base::TimePoint m_longest = base::TimePoint::max(); // end of the delay without confirmations
    std::vector<RouterKey> m_routers; // the list to which the confirmations belong
    std::uint32_t m_count = 0;
    std::set<RouterKey> m_confirmed; // candidates; empty after m_longest
    std::array<std::optional<base::TimePoint>, LimitGroups> m_early; // when all candidates had confirmed
};

} // namespace carawaylatch::admission
