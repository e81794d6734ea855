// Quotas of one router in limits that are divided over a fleet: its own quota, the
// units that it lent and the units that it borrowed.
//
// A limit of L units is divided over the routers of the fleet: each has a fixed own
// quota, and the quotas sum to L. Units move only by loans, and a unit is usable by
// one router at a time:
//
//   - The lender stops using units before it sends the table that lends them.
//   - The borrower uses them until its own clock shows loanTerm after it *sent*
//     the report that the table answers. The lender reclaims them no earlier than
//     loanTerm (and the drain time) after it *received* that report. A report is
//     sent before it is received, so the borrower always stops first, even if
//     messages are delayed or lost or a process is paused, and without a common
//     clock.
//   - A smaller table reduces a loan only when a later report confirms that it was
//     applied and states what is still held.
//   - Units used by requests in flight stay held until the requests end: the drain
//     time is the longest request. Rates have no drain time.
//   - A restarted lender has lost its record of loans. It uses only the reserved
//     quota, which is never lent, until every other router has reported what it
//     holds, or until all loans must have ended. No two processes may run under
//     the same router name at a time.
//
// Bound: at any moment the units in use by all routers sum to at most L. While a
// change of L propagates, the greater of the old and the new L applies.
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

// Identifies one limit of one customer.
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

    // Raises the longest time that a request may be in flight; a lower value is ignored.
    void raiseLongestRequest(base::Duration longest);
    // Sets this router's own quota of a limit; it may be zero.
    void setOwnQuota(const ShareKey &key, std::uint32_t units);
    // Removes a limit. Its state is kept until nothing is lent or borrowed.
    void removeLimit(const ShareKey &key);
    // Sets the units in use and the units that would be used without the limit.
    void setUsage(const ShareKey &key, std::uint32_t used, std::uint32_t needed);

    // Returns the units that this router may use now.
    [[nodiscard]] std::uint32_t usable(const ShareKey &key, base::TimePoint now) const;
    // Returns the units needed beyond the own quota, which may be borrowed.
    [[nodiscard]] std::uint32_t shortfall(const ShareKey &key, base::TimePoint now) const;

    [[nodiscard]] DemandReport report(const base::RouterId &to, base::TimePoint now);
    [[nodiscard]] ShareTable answer(const DemandReport &report, base::TimePoint now);
    void apply(const ShareTable &table, base::TimePoint now);
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    struct SentAmount
    {
        std::uint64_t sequence = 0; // the table's sequence number
        std::uint32_t amount = 0;
    };
    // Units lent to one router. The committed amount is the maximum of what it reported
    // as held and of all tables that it has not confirmed.
    struct Lent
    {
        std::uint32_t held = 0;
        std::uint32_t wanted = 0;
        std::vector<SentAmount> unconfirmed; // at most MaxUnconfirmed, ascending
        base::TimePoint ends; // without a further report nothing is held after this time
    };
    // Units borrowed from one router.
    struct Borrowed
    {
        std::uint32_t amount = 0; // usable until `ends`
        std::uint32_t maxHeld = 0; // units that requests in flight may still use; at least `amount`
        base::TimePoint ends;
    };
    enum class LimitKind {
        Configured,
        Unknown, // not configured here; kept only while units are lent or borrowed
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
        std::uint64_t lastReport = 0; // highest sequence number received
        base::Incarnation tableIncarnation; // of the last table applied
        std::uint64_t tableSequence = 0;
        std::map<std::uint64_t, base::TimePoint> sentReports; // at most MaxUnconfirmed
    };
    static constexpr std::size_t MaxUnconfirmed = 8;
    static constexpr std::size_t MaxPeers = 4096;
    static constexpr std::size_t MaxLimits = 8192; // a report that would exceed this does not count as complete

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
    std::set<base::RouterId> m_reportedPeers; // reported completely since the start; used while recovering
    std::map<ShareKey, LimitState> m_limits;
    std::map<base::RouterId, Peer> m_peers; // at most MaxPeers; further peers get no loans
    std::uint64_t m_lastReport = 0;
    std::uint64_t m_lastTable = 0;
    std::optional<ShareKey> m_nextReportKey; // first key that did not fit into the last report
};

} // namespace carawaylatch::admission
