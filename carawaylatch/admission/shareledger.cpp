// Arithmetic of loans; see the header for the rules and the bound.
//
// Lender: committed(borrower) is the maximum of what the borrower last reported as
// held and of every table that it has not confirmed. Own use is bounded by the own
// quota less everything committed, and a new loan uses only units that are neither
// committed nor in use, so the two never overlap.
//
// Borrower: `amount` may be used for new requests until `ends`; `maxHeld` is the
// number of units that requests in flight may still use. A report states the maximum
// of `amount` and of the use that other sources cannot account for, and lowers
// maxHeld to it, so units that were reported as free are not used again without a
// new table.
//
// How much is requested from whom: each lender keeps its loan as long as the sum of
// loans does not exceed the shortfall, and the remaining shortfall is requested from
// every lender. Excess loans are scaled down in the next reports. Loans therefore
// converge instead of oscillating between lenders. A lender covers its own need
// first and divides the rest in proportion to what the borrowers want.
#include "carawaylatch/admission/shareledger.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::admission
{

namespace
{

constexpr std::uint32_t ReservedDivisor = 4; // a quarter of the own quota is never lent
constexpr int ClockDriftDivisor = 50; // clock rates may differ by 1/50

std::uint32_t saturatingSubtract(std::uint64_t from, std::uint64_t n)
{
    return from > n ? static_cast<std::uint32_t>(from - n) : 0;
}

} // namespace

ShareLedger::ShareLedger(const ShareLedgerOptions &options, base::TimePoint now)
    : m_options(options)
    , m_started(now)
{
}

void ShareLedger::raiseLongestRequest(base::Duration longest)
{
    m_options.longestRequest = std::max(m_options.longestRequest, longest);
}

void ShareLedger::setOwnQuota(const ShareKey &key, std::uint32_t units)
{
    LimitState &limit = m_limits[key];
    limit.kind = LimitKind::Configured;
    limit.own = units;
}

void ShareLedger::removeLimit(const ShareKey &key)
{
    const auto it = m_limits.find(key);
    if (it != m_limits.end()) {
        it->second.kind = LimitKind::Unknown;
        it->second.own = 0;
        it->second.used = 0;
        it->second.needed = 0;
    }
}

void ShareLedger::setUsage(const ShareKey &key, std::uint32_t used, std::uint32_t needed)
{
    const auto it = m_limits.find(key);
    if (it != m_limits.end() && it->second.kind == LimitKind::Configured) {
        it->second.used = used;
        it->second.needed = needed;
    }
}

std::uint32_t ShareLedger::usable(const ShareKey &key, base::TimePoint now) const
{
    const auto it = m_limits.find(key);
    return it == m_limits.end() ? 0 : ownUsable(it->second, now) + borrowedUsable(it->second, now);
}

std::uint32_t ShareLedger::shortfall(const ShareKey &key, base::TimePoint now) const
{
    const auto it = m_limits.find(key);
    return it == m_limits.end() ? 0 : shortfallOf(it->second, now);
}

DemandReport ShareLedger::report(const base::RouterId &to, base::TimePoint now)
{
    DemandReport report{.from = m_options.router, .incarnation = m_options.incarnation, .sequence = ++m_lastReport, .tableIncarnation = {}, .entries = {}};
    if (m_peers.size() >= MaxPeers && !m_peers.contains(to)) {
        return report;
    }
    dropUnknownLimits(now);
    Peer &peer = m_peers[to];
    report.tableIncarnation = peer.tableIncarnation;
    report.tableSequence = peer.tableSequence;
    peer.sentReports.emplace(report.sequence, now);
    if (peer.sentReports.size() > MaxUnconfirmed) {
        peer.sentReports.erase(peer.sentReports.begin());
    }
    for (auto &[key, limit] : m_limits) {
        if (const auto held = updateHeldFrom(key, limit, to, now); held > 0) {
            report.entries.push_back({key.customer, key.resource, wantedFrom(limit, to, shortfallOf(limit, now), now), held});
        }
    }
    // Entries that are only wanted use the remaining space, starting where the last report ended.
    auto it = m_nextReportKey ? m_limits.lower_bound(*m_nextReportKey) : m_limits.begin();
    m_nextReportKey.reset();
    for (std::size_t i = 0; i < m_limits.size(); ++i, ++it) {
        it = it == m_limits.end() ? m_limits.begin() : it;
        const auto unmet = it->second.kind == LimitKind::Configured ? shortfallOf(it->second, now) : 0;
        if (unmet == 0 || updateHeldFrom(it->first, it->second, to, now) > 0) {
            continue;
        }
        if (report.entries.size() >= MaxEntries) {
            m_nextReportKey = it->first;
            break;
        }
        report.entries.push_back({it->first.customer, it->first.resource, wantedFrom(it->second, to, unmet, now), 0});
    }
    return report;
}

ShareTable ShareLedger::answer(const DemandReport &report, base::TimePoint now)
{
    ShareTable table{.from = m_options.router,
                     .incarnation = m_options.incarnation,
                     .sequence = 0,
                     .to = report.from,
                     .toIncarnation = report.incarnation,
                     .reportSequence = report.sequence,
                     .entries = {}};
    const bool isKnown = m_peers.contains(report.from);
    if (report.entries.size() > MaxEntries || report.from == m_options.router || (!isKnown && m_peers.size() >= MaxPeers)) {
        return table;
    }
    Peer &peer = m_peers[report.from];
    if (peer.incarnation == report.incarnation && report.sequence <= peer.lastReport) {
        return table; // late or duplicate report; a table with sequence 0 is not applied
    }
    applyReport(report, now);
    table.sequence = ++m_lastTable;
    for (auto &[key, limit] : m_limits) {
        const auto it = limit.lent.find(report.from);
        if (it == limit.lent.end()) {
            continue;
        }
        Lent &lent = it->second;
        const std::uint32_t amount = lent.wanted > 0 && !isRecovering(now) ? loanFor(limit, report.from, now) : 0;
        if (amount > 0) {
            table.entries.push_back({key.customer, key.resource, amount});
            lent.unconfirmed.push_back({table.sequence, amount});
        }
        if (lent.unconfirmed.size() > MaxUnconfirmed) {
            const SentAmount all{table.sequence, committed(lent, now)};
            lent.unconfirmed.assign(1, all);
        }
        lent.ends = now + maxHoldTime(key.resource);
        if (lent.held == 0 && lent.unconfirmed.empty()) {
            limit.lent.erase(it);
        }
    }
    return table;
}

void ShareLedger::applyReport(const DemandReport &report, base::TimePoint now)
{
    Peer &peer = m_peers[report.from];
    const bool isNewIncarnation = peer.incarnation != report.incarnation;
    peer.incarnation = report.incarnation;
    peer.lastReport = report.sequence;
    const std::uint64_t confirmed = report.tableIncarnation == m_options.incarnation ? report.tableSequence : 0;
    for (auto &[key, limit] : m_limits) {
        const auto it = limit.lent.find(report.from);
        if (it == limit.lent.end()) {
            continue;
        }
        Lent &lent = it->second;
        // A new incarnation did not receive tables that were sent to the former one.
        const bool isExpired = isNewIncarnation || now >= lent.ends;
        std::erase_if(lent.unconfirmed, [&](const SentAmount &sent) {
            return isExpired || sent.sequence <= confirmed;
        });
        lent.held = 0;
        lent.wanted = 0;
    }
    bool isComplete = true;
    for (const DemandEntry &it : report.entries) {
        const ShareKey key{it.customer, it.resource};
        const bool isKnown = m_limits.contains(key);
        if (!isKnown && (it.held == 0 || m_limits.size() >= MaxLimits)) {
            isComplete = isComplete && it.held == 0;
            continue;
        }
        if (it.held > 0 || it.wanted > 0) {
            Lent &lent = m_limits[key].lent[report.from];
            lent.held = it.held;
            lent.wanted = it.wanted;
            lent.ends = now + maxHoldTime(it.resource);
        }
    }
    if (confirmed > 0 && isComplete) {
        m_reportedPeers.insert(report.from);
    }
}

void ShareLedger::dropUnknownLimits(base::TimePoint now)
{
    std::erase_if(m_limits, [now](const auto &it) {
        const LimitState &limit = it.second;
        return limit.kind == LimitKind::Unknown && limit.borrowed.empty() && totalCommitted(limit, now) == 0;
    });
}

void ShareLedger::apply(const ShareTable &table, base::TimePoint now)
{
    const auto found = m_peers.find(table.from);
    const bool isAddressedHere = table.to == m_options.router && table.toIncarnation == m_options.incarnation && table.sequence > 0;
    if (!isAddressedHere || found == m_peers.end() || table.entries.size() > MaxEntries) {
        return;
    }
    Peer &peer = found->second;
    const auto sent = peer.sentReports.find(table.reportSequence);
    const bool isNewIncarnation = peer.tableIncarnation != table.incarnation;
    if (sent == peer.sentReports.end()) {
        return; // unsolicited, or a later report was already answered
    }
    const base::TimePoint ends = sent->second + m_options.loanTerm;
    if (isNewIncarnation) {
        peer.sentReports.clear(); // answers from the former incarnation must no longer be applied
    } else {
        peer.sentReports.erase(peer.sentReports.begin(), std::next(sent));
    }
    peer.tableIncarnation = table.incarnation;
    peer.tableSequence = table.sequence;
    for (auto &[key, limit] : m_limits) {
        if (const auto it = limit.borrowed.find(table.from); it != limit.borrowed.end()) {
            it->second.maxHeld = maxHeldOf(key, it->second, now);
            it->second.amount = 0;
            it->second.ends = ends;
        }
    }
    std::size_t held = countHeldKeys(table.from, now);
    for (const ShareEntry &it : table.entries) {
        const auto limit = m_limits.find({it.customer, it.resource});
        const bool isNew = limit != m_limits.end() && !limit->second.borrowed.contains(table.from);
        if (limit == m_limits.end() || (isNew && held >= MaxEntries)) {
            continue; // units that a report has no room to list must not be borrowed
        }
        held += isNew ? 1 : 0;
        Borrowed &borrowed = limit->second.borrowed[table.from];
        borrowed.amount = it.amount;
        borrowed.maxHeld = std::max(borrowed.maxHeld, it.amount);
        borrowed.ends = ends;
    }
}

std::size_t ShareLedger::memoryBytes() const
{
    constexpr std::size_t MapNodeBytes = 48; // overhead of a map node in addition to its value
    std::size_t bytes = m_peers.size() * (sizeof(Peer) + MapNodeBytes + MaxUnconfirmed * MapNodeBytes);
    for (const auto &[key, limit] : m_limits) {
        bytes += sizeof(key) + sizeof(limit) + MapNodeBytes;
        bytes += limit.lent.size() * (sizeof(Lent) + sizeof(base::RouterId) + MapNodeBytes + MaxUnconfirmed * sizeof(SentAmount));
        bytes += limit.borrowed.size() * (sizeof(Borrowed) + sizeof(base::RouterId) + MapNodeBytes);
    }
    return bytes;
}

std::uint32_t ShareLedger::committed(const Lent &lent, base::TimePoint now)
{
    if (now >= lent.ends) {
        return 0;
    }
    std::uint32_t units = lent.held;
    for (const SentAmount &it : lent.unconfirmed) {
        units = std::max(units, it.amount);
    }
    return units;
}

std::uint32_t ShareLedger::totalCommitted(const LimitState &limit, base::TimePoint now)
{
    std::uint32_t units = 0;
    for (const auto &[router, lent] : limit.lent) {
        units += committed(lent, now);
    }
    return units;
}

// Returns the units that are never lent, which are all that a restarted lender may
// use before it knows its loans. A quota of a single unit may be lent.
std::uint32_t ShareLedger::reservedQuota(std::uint32_t own)
{
    return own < 2 ? 0 : (own + ReservedDivisor - 1) / ReservedDivisor;
}

base::Duration ShareLedger::drainTime(Resource resource) const
{
    return resource == Resource::Concurrency ? m_options.longestRequest : base::Duration::zero();
}

// Returns how long after a report its sender may hold the units that it lists or is lent.
base::Duration ShareLedger::maxHoldTime(Resource resource) const
{
    return m_options.loanTerm + m_options.loanTerm / ClockDriftDivisor + drainTime(resource);
}

bool ShareLedger::isRecovering(base::TimePoint now) const
{
    return now < m_started + maxHoldTime(Resource::Concurrency) && m_reportedPeers.size() + 1 < m_options.fleetSize;
}

std::uint32_t ShareLedger::ownUsable(const LimitState &limit, base::TimePoint now) const
{
    const std::uint32_t unlent = saturatingSubtract(limit.own, totalCommitted(limit, now));
    return isRecovering(now) ? std::min(unlent, reservedQuota(limit.own)) : unlent;
}

std::uint32_t ShareLedger::borrowedUsable(const LimitState &limit, base::TimePoint now)
{
    std::uint32_t units = 0;
    for (const auto &[router, borrowed] : limit.borrowed) {
        units += now < borrowed.ends ? borrowed.amount : 0;
    }
    return units;
}

std::uint32_t ShareLedger::maxHeldOf(const ShareKey &key, const Borrowed &borrowed, base::TimePoint now) const
{
    if (key.resource == Resource::Rate) {
        return now < borrowed.ends ? borrowed.amount : 0;
    }
    return now < borrowed.ends + m_options.longestRequest ? borrowed.maxHeld : 0;
}

std::uint32_t ShareLedger::shortfallOf(const LimitState &limit, base::TimePoint now) const
{
    return saturatingSubtract(limit.needed, ownUsable(limit, now));
}

std::uint32_t ShareLedger::updateHeldFrom(const ShareKey &key, LimitState &limit, const base::RouterId &lender, base::TimePoint now)
{
    const auto it = limit.borrowed.find(lender);
    if (it == limit.borrowed.end()) {
        return 0;
    }
    std::uint64_t accounted = ownUsable(limit, now);
    for (const auto &[router, borrowed] : limit.borrowed) {
        accounted += router == lender ? 0 : maxHeldOf(key, borrowed, now);
    }
    Borrowed &borrowed = it->second;
    const std::uint32_t amount = now < borrowed.ends ? borrowed.amount : 0;
    const std::uint32_t unaccounted = key.resource == Resource::Concurrency ? saturatingSubtract(limit.used, accounted) : 0;
    borrowed.maxHeld = std::max(amount, std::min(maxHeldOf(key, borrowed, now), unaccounted));
    const std::uint32_t held = borrowed.maxHeld;
    if (held == 0) {
        limit.borrowed.erase(it);
    }
    return held;
}

std::uint32_t ShareLedger::wantedFrom(const LimitState &limit, const base::RouterId &lender, std::uint32_t shortfall, base::TimePoint now)
{
    const std::uint64_t sum = borrowedUsable(limit, now);
    const auto it = limit.borrowed.find(lender);
    const std::uint64_t amount = it != limit.borrowed.end() && now < it->second.ends ? it->second.amount : 0;
    if (sum > shortfall) {
        return static_cast<std::uint32_t>(amount * shortfall / sum);
    }
    return static_cast<std::uint32_t>(amount + shortfall - sum);
}

std::uint32_t ShareLedger::loanFor(const LimitState &limit, const base::RouterId &borrower, base::TimePoint now) const
{
    const std::uint32_t ownUse = std::max(std::min(limit.used, ownUsable(limit, now)), std::min(limit.needed, limit.own));
    const std::uint32_t pool = saturatingSubtract(limit.own, std::max(reservedQuota(limit.own), ownUse));
    std::uint64_t wantedByAll = 0;
    std::uint64_t committedToOthers = 0;
    for (const auto &[router, lent] : limit.lent) {
        wantedByAll += now < lent.ends ? lent.wanted : 0;
        committedToOthers += router == borrower ? 0 : committed(lent, now);
    }
    const std::uint64_t wanted = limit.lent.at(borrower).wanted;
    const std::uint64_t target = wantedByAll <= pool ? wanted : (pool * wanted + wantedByAll - 1) / wantedByAll;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(target, saturatingSubtract(pool, committedToOthers)));
}

std::size_t ShareLedger::countHeldKeys(const base::RouterId &lender, base::TimePoint now) const
{
    std::size_t n = 0;
    for (const auto &[key, limit] : m_limits) {
        const auto it = limit.borrowed.find(lender);
        n += it != limit.borrowed.end() && maxHeldOf(key, it->second, now) > 0 ? 1 : 0;
    }
    return n;
}

} // namespace carawaylatch::admission
