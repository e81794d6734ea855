// What a borrower has of one lender, by the polls it sent and the answers it applied.
//
// An answer is applied if its sequence is above all applied ones of the lender's
// incarnation. One of another incarnation must belong to a poll that was sent after the
// last change of the incarnation, and later than any with an applied answer. A poll that
// was sent after an answer of a new process was applied cannot have reached the former
// one, so answers of the former process, however late, are not applied after it. The next
// poll tells the lender so, which ends its start delay (startdelay.h).
// The time until which an answer lends is that of its poll, or of a later poll if that
// ends earlier, since the lender may have extended the loan by any of them.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "carawaylatch/admission/limitmessages.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

struct BorrowedShares
{
    static constexpr std::size_t MaxSentPolls = 8; // the term of an earlier one ends before its answer could matter

    struct SentPoll
    {
        std::uint64_t sequence = 0;
        base::TimePoint ends; // of this poll's term, and of those of all later ones
        GroupMask groups = 0; // that neither this poll nor a later one left out
    };

    std::vector<SentPoll> sent{}; // the latest MaxSentPolls
    base::TimePoint created{};
    base::TimePoint sentAt{}; // the last poll
    base::TimePoint returnsUntil{}; // while polls without groups are repeated, as any of them may be lost
    base::Duration promised{}; // until the next poll
    std::uint64_t incarnation = 0; // of the lender, by the last applied answer
    std::uint64_t applied = 0; // highest sequence of an answer of that incarnation
    std::uint64_t appliedPoll = 0; // answers of other incarnations to this poll and earlier ones are not applied
    bool isRestarted = false; // since the last poll, an answer of a new incarnation was applied
    std::uint32_t routers = 0; // the lender's share is one in this number
    std::array<base::TimePoint, LimitGroups> ends{}; // the share is held before this time

    [[nodiscard]] bool holdsAny(base::TimePoint now) const;
    // Drops what is held of other groups, so that a poll may leave them out.
    void keepOnly(GroupMask groups);
    void addPoll(const SharePoll &poll, base::TimePoint now);
    void apply(const ShareAnswer &answer, base::TimePoint now);
};

} // namespace carawaylatch::admission
