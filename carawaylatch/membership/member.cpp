// Precedence of member records, and rendezvous ranking of members in a view.
#include "carawaylatch/membership/member.h"

#include <algorithm>
#include <array>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/membership/memberlist.h"

namespace carawaylatch::membership
{

std::string_view memberStateName(MemberState state)
{
    static constexpr std::array<std::string_view, 4> StateNames{"alive", "suspect", "leaving", "dead"};
    return StateNames.at(static_cast<std::size_t>(state));
}

bool supersedes(const MemberRecord &record, const MemberRecord &other)
{
    if (record.selfVersion != other.selfVersion) {
        return record.selfVersion > other.selfVersion;
    }
    return record.revivalCount != other.revivalCount ? record.revivalCount > other.revivalCount : record.state > other.state;
}

std::size_t MembershipView::liveCount() const
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const MemberView &it) {
        return it.record.state <= MemberState::Suspect;
    }));
}

std::vector<base::RouterId> MembershipView::ranked(std::string_view duty, const base::FailureDomain &domain) const
{
    const auto key = base::hash64(domain.value(), base::hash64(duty));
    std::vector<std::pair<std::uint64_t, base::RouterId>> weighted;
    for (const auto &it : members) {
        if (it.record.domain == domain && it.record.state <= MemberState::Suspect) {
            weighted.emplace_back(base::rendezvousWeight(key, it.record.id.value()), it.record.id);
        }
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>{});
    std::vector<base::RouterId> ids;
    ids.reserve(weighted.size());
    for (auto &it : weighted) {
        ids.push_back(std::move(it.second));
    }
    return ids;
}

bool MembershipView::isSelfAmongFirst(std::size_t n, std::string_view duty, const base::FailureDomain &domain) const
{
    const auto order = ranked(duty, domain);
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(n, order.size()));
    return std::find(order.begin(), end, self) != end;
}

} // namespace carawaylatch::membership
