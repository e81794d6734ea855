// The borrower's rules of one lender; see the header.
#include "carawaylatch/admission/borrowedshares.h"

#include <algorithm>

#include "carawaylatch/admission/limitcandidates.h"

namespace carawaylatch::admission
{

bool BorrowedShares::holdsAny(base::TimePoint now) const
{
    return std::any_of(ends.begin(), ends.end(), [now](base::TimePoint it) {
        return now < it;
    });
}

void BorrowedShares::keepOnly(GroupMask groups)
{
    for (std::uint32_t i = 0; i < LimitGroups; ++i) {
        ends[i] = hasGroup(groups, i) ? ends[i] : base::TimePoint{};
    }
    for (SentPoll &it : sent) {
        it.groups &= groups;
    }
}

void BorrowedShares::addPoll(const SharePoll &poll, base::TimePoint now)
{
    keepOnly(poll.groups);
    for (SentPoll &it : sent) {
        it.ends = std::min(it.ends, now + poll.term);
    }
    if (sent.size() == MaxSentPolls) {
        sent.erase(sent.begin());
    }
    sent.push_back({.sequence = poll.sequence, .ends = now + poll.term, .groups = poll.groups});
    sentAt = now;
    promised = poll.nextPoll;
    isRestarted = false;
}

void BorrowedShares::apply(const ShareAnswer &answer, base::TimePoint now)
{
    const bool isNext = answer.incarnation == incarnation ? answer.sequence > applied : answer.pollSequence > appliedPoll;
    if (!isNext) {
        return;
    }
    if (answer.incarnation != incarnation) {
        appliedPoll = sent.empty() ? appliedPoll : std::max(appliedPoll, sent.back().sequence);
        isRestarted = true;
    }
    incarnation = answer.incarnation;
    applied = answer.sequence;
    appliedPoll = std::max(appliedPoll, answer.pollSequence);
    routers = answer.routers;
    const auto poll = std::find_if(sent.begin(), sent.end(), [&answer](const SentPoll &it) {
        return it.sequence == answer.pollSequence;
    });
    for (std::uint32_t i = 0; i < LimitGroups; ++i) {
        if (!hasGroup(answer.lent, i) || answer.routers == 0) {
            ends[i] = base::TimePoint{};
        } else if (poll != sent.end() && hasGroup(poll->groups, i) && now < poll->ends) {
            ends[i] = std::max(ends[i], poll->ends);
        }
    }
}

} // namespace carawaylatch::admission
