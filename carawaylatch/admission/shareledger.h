// One router's book of a divided limit: own part, what is lent, what is borrowed.
//
// A limit of L units is divided over the routers of the fleet: each owns a fixed
// part, and the parts sum to L. Units move only by loans, and a unit is usable by
// one router at a time:
//
//   - The lender stops using units before it sends the table that lends them.
//   - The borrower uses them until its own clock shows loanTerm after it *sent*
//     the report that the table answers. The lender takes them back no earlier
//     than loanTerm (and the drain time) after it *received* that report. The
//     report was sent before it was received, so the borrower always stops
//     first, whatever was delayed, lost or paused, with no common clock.
//   - A smaller table lowers a loan only when a later report confirms that it was
//     applied and says what is still held.
//   - Units of requests in flight stay held until these end: that is the drain
//     time, the longest request; rates have none.
//   - A lender that restarts forgot its loans. It uses only the part that it never
//     lends until every other router has reported what it holds, or until all
//     loans must have ended. A router's name has one live process at a time.
//
// Bound: at any moment the units in use by all routers sum to at most L. While an
// edit of L spreads, the greater of the old and the new L holds.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "carawaylatch/admission/shares.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

// One limit of one customer.
struct ShareKey
{
    base::CustomerId customer;
    Resource resource = Resource::Concurrency;

    auto operator<=>(const ShareKey &) const = default;
};

struct ShareLedgerOptions
{
    base::RouterId router;
    base::Incarnation incarnation;
    std::uint32_t fleetSize = 1;
    base::Duration loanTerm{};
    base::Duration longestRequest{};
};

class ShareLedger
{
public:
    ShareLedger(const ShareLedgerOptions &options, base::TimePoint now);

    // No request is in flight longer; never gets shorter.
    void raiseLongestRequest(base::Duration longest);
    // Sets this router's own part of a limit; it may be zero.
    void setOwnQuota(const ShareKey &key, std::uint32_t units);
    // The limit is gone; its book goes too once nothing is lent or borrowed.
    void removeLimit(const ShareKey &key);
    // Tells what is in use and what would be used if there were enough.
    void setUsage(const ShareKey &key, std::uint32_t used, std::uint32_t needed);

    // Returns the units that may be in use here now.
    [[nodiscard]] std::uint32_t usable(const ShareKey &key, base::TimePoint now) const;
    // Returns the units that are missing and may be borrowed.
    [[nodiscard]] std::uint32_t shortfall(const ShareKey &key, base::TimePoint now) const;

    [[nodiscard]] DemandReport report(const base::RouterId &to, base::TimePoint now);
    [[nodiscard]] ShareTable answer(const DemandReport &report, base::TimePoint now);
    void apply(const ShareTable &table, base::TimePoint now);
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    struct SentAmount
    {
        std::uint64_t sequence = 0; // of the table
        std::uint32_t amount = 0;
    };
    // Units lent to one router. Committed: the greatest of what it said it holds
    // and of all tables that it did not confirm.
    struct Lent
    {
        std::uint32_t held = 0;
        std::uint32_t wanted = 0;
        std::vector<SentAmount> unconfirmed; // at most MaxUnconfirmed, ascending
        base::TimePoint ends; // with no further report, nothing is held after this
    };
    // Units borrowed from one router.
    struct Borrowed
    {
        std::uint32_t amount = 0; // usable until `ends`
        std::uint32_t maxHeld = 0; // what requests in flight may still use; at least amount
        base::TimePoint ends;
    };
    enum class LimitKind {
        Configured,
        Unknown, // no such limit here; kept only for what peers hold or lent
    };
    struct LimitState
    {
        LimitKind kind = LimitKind::Unknown;
        std::uint32_t own = 0;
        std::uint32_t used = 0;
        std::uint32_t needed = 0;
        std::map<base::RouterId, Lent> lent;
        std::map<base::RouterId, Borrowed> borrowed;
    };
    struct Peer
    {
        base::Incarnation incarnation;
        std::uint64_t lastReport = 0; // greatest sequence received
        base::Incarnation tableIncarnation; // of the last table applied
        std::uint64_t tableSequence = 0;
        std::map<std::uint64_t, base::TimePoint> sentReports; // at most MaxUnconfirmed
    };
    static constexpr std::size_t MaxUnconfirmed = 8;
    static constexpr std::size_t MaxPeers = 4096;
    static constexpr std::size_t MaxLimits = 8192; // a report of more proves nothing

    static std::uint32_t committed(const Lent &lent, base::TimePoint now);
    static std::uint32_t totalCommitted(const LimitState &limit, base::TimePoint now);
    static std::uint32_t reservedQuota(std::uint32_t own);
    base::Duration drainTime(Resource resource) const;
    base::Duration maxHoldTime(Resource resource) const;
    bool isRecovering(base::TimePoint now) const;
    std::uint32_t ownUsable(const LimitState &limit, base::TimePoint now) const;
    static std::uint32_t borrowedUsable(const LimitState &limit, base::TimePoint now);
    std::uint32_t maxHeldOf(const ShareKey &key, const Borrowed &borrowed, base::TimePoint now) const;
    std::uint32_t shortfallOf(const LimitState &limit, base::TimePoint now) const;
    std::uint32_t updateHeldFrom(const ShareKey &key, LimitState &limit, const base::RouterId &lender, base::TimePoint now);
    static std::uint32_t wantedFrom(const LimitState &limit, const base::RouterId &lender, std::uint32_t shortfall, base::TimePoint now);
    void applyReport(const DemandReport &report, base::TimePoint now);
    void dropUnknownLimits(base::TimePoint now);
    std::uint32_t loanFor(const LimitState &limit, const base::RouterId &borrower, base::TimePoint now) const;
    std::size_t countHeldKeys(const base::RouterId &lender, base::TimePoint now) const;

    ShareLedgerOptions m_options;
    const base::TimePoint m_started;
    std::set<base::RouterId> m_reportedPeers; // since the start, while recovering
    std::map<ShareKey, LimitState> m_limits;
    std::map<base::RouterId, Peer> m_peers; // at most MaxPeers; no loans past that
    std::uint64_t m_lastReport = 0;
    std::uint64_t m_lastTable = 0;
    std::optional<ShareKey> m_nextReportKey; // first key that the last full report left out
};

} // namespace carawaylatch::admission
