// Leases of shares; see the header for the rules.
//
// Lender: at most one loan a group. A loan runs until its time is over, or until its
// borrower has either left out the group in a poll or applied an answer above all that
// lent it. Only a poll with a higher sequence than any before extends a loan, and an
// answer to an older poll repeats a loan only if a later poll has extended it.
//
// A poll of an unknown incarnation is not considered while a loan to the former one
// runs, as the former process may still use it.
#include "carawaylatch/admission/quotaleases.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <sstream>

#include "carawaylatch/admission/borrowedshares.h"
#include "carawaylatch/admission/limitcandidates.h"
#include "carawaylatch/admission/startdelay.h"

namespace carawaylatch::admission
{

namespace
{

constexpr base::Duration MinPollInterval = base::milliseconds{150};
constexpr base::Duration PollIntervalPerRouter = base::milliseconds{2}; // a coordinator sends at most 500 polls a second
constexpr int PollsPerTerm = 4; // a lease survives three lost polls
constexpr base::Duration LeaseMargin = base::milliseconds{100}; // terms are rounded and clocks are read late
constexpr int DriftDivisor = 50; // rates of two clocks differ by 1/50 at most
constexpr int StartDivisor = 4; // a former process may have granted longer terms at another number of routers
constexpr int AcceptedTermDivisor = 10; // longer terms than this part above the own one are not covered by the start delay
constexpr base::Duration TakeoverDelay = base::seconds{1}; // a share does not move to a candidate that comes and goes
constexpr base::Duration LeastMoveTime = base::milliseconds{400}; // the next candidate may be on standby and must poll first

// What a lender knows of a candidate.
struct Candidate
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; // the highest of this incarnation
    GroupMask groups = 0; // of that poll
    base::TimePoint polledAt{};
    base::Duration nextPoll{};
    std::array<base::TimePoint, LimitGroups> since{}; // polls for the group without a gap

    [[nodiscard]] bool isAlive(std::uint32_t group, base::TimePoint now) const
    {
        return hasGroup(groups, group) && now - polledAt <= nextPoll * 5 / 2;
    }
};

struct Loan
{
    RouterKey borrower = 0;
    std::uint64_t incarnation = 0; // of the borrower
    base::TimePoint until; // never moves back
    std::uint64_t extendedBy = 0; // sequence of the poll
    std::uint64_t lastAnswer = 0; // the last one that lent the share
};

} // namespace

class QuotaLeases::Impl
{
public:
    Impl(RouterKey self, std::uint64_t incarnation, base::TimePoint now)
        : m_self(self)
        , m_incarnation(incarnation)
        , m_started(now)
        , m_startDelay(self, incarnation, now)
    {
    }

    void setRouters(std::span<const RouterKey> routers, std::uint32_t count, base::TimePoint now);
    void stop();
    std::vector<std::pair<RouterKey, SharePoll>> duePolls(base::TimePoint now);
    ShareAnswer onPoll(const SharePoll &poll, base::TimePoint now);
    void onAnswer(const ShareAnswer &answer, base::TimePoint now);
    std::optional<RouterKey> coordinator(std::uint32_t group, base::TimePoint now) const;
    std::optional<base::Duration> timeToShares(std::uint32_t group, base::TimePoint now) const;
    double heldShare(std::uint32_t group, base::TimePoint now) const;
    std::vector<RouterKey> heldFrom(std::uint32_t group, base::TimePoint now) const;
    std::vector<RouterKey> peers() const;
    std::string stateText(base::TimePoint now) const;
    const StartDelay &delay() const
    {
        return m_startDelay;
    }

private:
    const Loan *loan(std::uint32_t group, base::TimePoint now) const;
    const Candidate *aliveCandidate(RouterKey router, std::uint32_t group, base::TimePoint now) const;
    RouterKey target(std::uint32_t group, base::TimePoint now) const;
    bool ownsShare(std::uint32_t group, base::TimePoint now) const;
    bool isFirst(std::uint32_t group, base::TimePoint now) const;
    void dropCandidates(base::TimePoint now);
    Candidate *admit(const SharePoll &poll, base::TimePoint now);
    void applyPoll(const SharePoll &poll, Candidate &candidate, base::TimePoint now);
    bool lend(const SharePoll &poll, std::uint32_t group, bool isNewest, base::TimePoint now);
    void setGroups(GroupMask groups);
    std::optional<base::Duration> dueInterval(const BorrowedShares &lender, double phase, bool isFirstOfAny, base::TimePoint now) const;
    SharePoll makePoll(BorrowedShares &lender, base::Duration interval, base::TimePoint now);

    RouterKey m_self;
    std::uint64_t m_incarnation;
    base::TimePoint m_started;
    StartDelay m_startDelay;
    LimitCandidates m_fleet;
    bool m_isStopped = false;
    // As a lender.
    std::array<std::optional<Loan>, LimitGroups> m_loans;
    std::map<RouterKey, Candidate> m_candidates; // candidates, and borrowers while their loan runs
    std::uint64_t m_lastAnswer = 0;
    // As a borrower.
    GroupMask m_groups = 0; // for which this router polls
    std::map<RouterKey, BorrowedShares> m_lenders; // all other routers, if this one is or was a candidate
    std::uint64_t m_lastPoll = 0;
};

void QuotaLeases::Impl::setRouters(std::span<const RouterKey> routers, std::uint32_t count, base::TimePoint now)
{
    m_fleet = LimitCandidates(routers, count, MaxCandidates);
    m_startDelay.setRouters(m_fleet, startDelay(m_fleet.count), now);
    dropCandidates(now);
    setGroups(m_isStopped ? 0 : m_fleet.groupsOf(m_self));
    std::erase_if(m_lenders, [this](const auto &it) {
        return !m_fleet.lists(it.first);
    });
    for (const RouterKey it : m_fleet.routers) {
        if (m_groups != 0 && it != m_self) {
            m_lenders.try_emplace(it, BorrowedShares{.created = now});
        }
    }
}

void QuotaLeases::Impl::stop()
{
    m_isStopped = true;
    setGroups(0);
}

void QuotaLeases::Impl::setGroups(GroupMask groups)
{
    m_groups = groups;
    for (auto &[key, lender] : m_lenders) {
        lender.keepOnly(groups);
    }
}

const Loan *QuotaLeases::Impl::loan(std::uint32_t group, base::TimePoint now) const
{
    const auto &loan = m_loans[group];
    return loan && now < loan->until ? &*loan : nullptr;
}

const Candidate *QuotaLeases::Impl::aliveCandidate(RouterKey router, std::uint32_t group, base::TimePoint now) const
{
    const auto it = m_candidates.find(router);
    return it != m_candidates.end() && it->second.isAlive(group, now) ? &it->second : nullptr;
}

// Returns the router at which the share should be: a candidate, or this router, also while no candidate is alive.
RouterKey QuotaLeases::Impl::target(std::uint32_t group, base::TimePoint now) const
{
    const Loan *lent = loan(group, now);
    // A share in use, by a borrower or by this router as coordinator, moves only to a candidate that stays.
    bool isFree = lent == nullptr && (m_isStopped || !m_fleet.isCandidate(m_self, group));
    const auto mayTakeOver = [&](const Candidate &candidate) {
        const bool wasBeforeUse = lent == nullptr && candidate.since[group] < m_startDelay.end(group);
        return isFree || wasBeforeUse || now - candidate.since[group] >= TakeoverDelay;
    };
    for (const RouterKey it : m_fleet.candidates[group]) {
        if (it == m_self && !m_isStopped) {
            return m_self;
        }
        const Candidate *candidate = aliveCandidate(it, group, now);
        if (lent != nullptr && it == lent->borrower) {
            if (candidate != nullptr) {
                return it;
            }
            isFree = true;
        } else if (candidate != nullptr && mayTakeOver(*candidate)) {
            return it;
        }
    }
    return m_self;
}

bool QuotaLeases::Impl::ownsShare(std::uint32_t group, base::TimePoint now) const
{
    return m_fleet.lists(m_self) && now >= m_startDelay.end(group);
}

void QuotaLeases::Impl::dropCandidates(base::TimePoint now)
{
    std::erase_if(m_candidates, [this, now](const auto &it) {
        for (std::uint32_t i = 0; i < LimitGroups; ++i) {
            const Loan *lent = loan(i, now);
            if (m_fleet.isCandidate(it.first, i) || (lent != nullptr && lent->borrower == it.first)) {
                return false;
            }
        }
        return true;
    });
}

// Returns the record of the sender, or nothing if its poll must not be considered.
Candidate *QuotaLeases::Impl::admit(const SharePoll &poll, base::TimePoint now)
{
    dropCandidates(now);
    const auto it = m_candidates.find(poll.sender);
    if (it == m_candidates.end()) {
        if (poll.sender == m_self || m_fleet.groupsOf(poll.sender) == 0) {
            return nullptr;
        }
    } else if (it->second.incarnation == poll.incarnation) {
        return &it->second;
    }
    for (std::uint32_t i = 0; i < LimitGroups; ++i) {
        const Loan *lent = loan(i, now);
        if (lent != nullptr && lent->borrower == poll.sender && lent->incarnation != poll.incarnation) {
            return nullptr;
        }
    }
    Candidate &candidate = m_candidates[poll.sender];
    candidate = Candidate{.incarnation = poll.incarnation};
    return &candidate;
}

void QuotaLeases::Impl::applyPoll(const SharePoll &poll, Candidate &candidate, base::TimePoint now)
{
    for (std::uint32_t i = 0; i < LimitGroups; ++i) {
        if (!candidate.isAlive(i, now)) {
            candidate.since[i] = now;
        }
        auto &lent = m_loans[i];
        const bool isApplied = poll.lenderIncarnation == m_incarnation && lent && poll.appliedAnswer > lent->lastAnswer;
        if (lent && lent->borrower == poll.sender && (isApplied || !hasGroup(poll.groups, i))) {
            lent.reset();
        }
    }
    candidate.sequence = poll.sequence;
    candidate.groups = poll.groups;
    candidate.polledAt = now;
    candidate.nextPoll = std::clamp(poll.nextPoll, base::Duration{}, MaxTerm);
}

// Returns whether the sender has the share of the group by the answer to its poll.
bool QuotaLeases::Impl::lend(const SharePoll &poll, std::uint32_t group, bool isNewest, base::TimePoint now)
{
    const base::Duration term = std::min(poll.term, MaxTerm);
    const base::Duration longest = leaseTerm(m_fleet.count) + leaseTerm(m_fleet.count) / AcceptedTermDivisor;
    if (!hasGroup(poll.groups, group) || !ownsShare(group, now) || target(group, now) != poll.sender) {
        return false;
    }
    const Loan *running = loan(group, now);
    if (running != nullptr && running->borrower != poll.sender) {
        return false;
    }
    auto &lent = m_loans[group];
    if (!isNewest) {
        if (running == nullptr || lent->extendedBy < poll.sequence) {
            return false;
        }
    } else {
        if (term <= base::Duration{} || term > longest) {
            return false;
        }
        const base::TimePoint until = now + lentTime(term);
        const base::TimePoint former = running != nullptr ? running->until : until;
        lent = Loan{.borrower = poll.sender, .incarnation = poll.incarnation, .until = std::max(until, former), .extendedBy = poll.sequence, .lastAnswer = 0};
    }
    lent->lastAnswer = m_lastAnswer;
    return true;
}

ShareAnswer QuotaLeases::Impl::onPoll(const SharePoll &poll, base::TimePoint now)
{
    ShareAnswer answer{.sender = m_self,
                       .incarnation = m_incarnation,
                       .sequence = ++m_lastAnswer,
                       .pollIncarnation = poll.incarnation,
                       .pollSequence = poll.sequence,
                       .lent = 0,
                       .routers = m_fleet.count};
    m_startDelay.onPoll(poll, m_fleet, now);
    Candidate *candidate = admit(poll, now);
    if (candidate == nullptr) {
        return answer;
    }
    const bool isNewest = poll.sequence > candidate->sequence;
    if (isNewest) {
        applyPoll(poll, *candidate, now);
    }
    for (std::uint32_t i = 0; i < LimitGroups; ++i) {
        answer.lent |= lend(poll, i, isNewest, now) ? groupBit(i) : 0;
    }
    return answer;
}

void QuotaLeases::Impl::onAnswer(const ShareAnswer &answer, base::TimePoint now)
{
    const auto found = m_lenders.find(answer.sender);
    if (found == m_lenders.end() || answer.pollIncarnation != m_incarnation) {
        return;
    }
    found->second.apply(answer, now);
}

// Whether this router would coordinate the group, as far as it hears of better candidates.
bool QuotaLeases::Impl::isFirst(std::uint32_t group, base::TimePoint now) const
{
    if (!hasGroup(m_groups, group)) {
        return false;
    }
    for (const RouterKey it : m_fleet.candidates[group]) {
        if (it == m_self) {
            return true;
        }
        if (aliveCandidate(it, group, now) != nullptr) {
            return false;
        }
    }
    return false;
}

// Returns the time to the next poll if one is due. Polls are sent when the lender's place in the interval passes, so
// that those to different lenders are spread over it.
std::optional<base::Duration> QuotaLeases::Impl::dueInterval(const BorrowedShares &lender, double phase, bool isFirstOfAny, base::TimePoint now) const
{
    const base::Duration fast = pollInterval(m_fleet.count);
    // A router that starts waits for answers to all candidates, also to those on standby.
    const bool isStarting = lender.applied == 0 && now - lender.created < startDelay(m_fleet.count);
    const bool isFast = isFirstOfAny || m_groups == 0 || isStarting || lender.holdsAny(now);
    const base::Duration interval = isFast ? fast : std::max(fast, StandbyInterval);
    const auto slot = [&](base::TimePoint at) {
        return std::floor(base::toSeconds(at - m_started) / base::toSeconds(interval) - phase);
    };
    const bool isNew = lender.sent.empty();
    const bool isSlot = slot(now) != slot(isNew ? lender.created : lender.sentAt);
    if (m_groups == 0) {
        const bool isReturned = isNew || lender.sent.back().groups == 0;
        return !isNew && now < lender.returnsUntil && (!isReturned || isSlot) ? std::optional(interval) : std::nullopt;
    }
    return isSlot || lender.isRestarted || (!isNew && now >= lender.sentAt + lender.promised) ? std::optional(interval) : std::nullopt;
}

SharePoll QuotaLeases::Impl::makePoll(BorrowedShares &lender, base::Duration interval, base::TimePoint now)
{
    const SharePoll poll{.sender = m_self,
                         .incarnation = m_incarnation,
                         .sequence = ++m_lastPoll,
                         .groups = m_groups,
                         .term = leaseTerm(m_fleet.count),
                         .nextPoll = interval,
                         .lenderIncarnation = lender.incarnation,
                         .appliedAnswer = lender.applied};
    lender.addPoll(poll, now);
    if (m_groups != 0) {
        lender.returnsUntil = now + lentTime(poll.term);
    }
    return poll;
}

std::vector<std::pair<RouterKey, SharePoll>> QuotaLeases::Impl::duePolls(base::TimePoint now)
{
    std::vector<std::pair<RouterKey, SharePoll>> polls;
    bool isFirstOfAny = false;
    for (std::uint32_t i = 0; i < LimitGroups; ++i) {
        isFirstOfAny = isFirstOfAny || isFirst(i, now);
    }
    double place = 0;
    for (auto &[key, lender] : m_lenders) {
        const double phase = place++ / static_cast<double>(m_lenders.size());
        if (const auto interval = dueInterval(lender, phase, isFirstOfAny, now)) {
            polls.emplace_back(key, makePoll(lender, *interval, now));
        }
    }
    if (m_groups == 0) {
        std::erase_if(m_lenders, [now](const auto &it) {
            return now >= it.second.returnsUntil;
        });
    }
    return polls;
}

std::optional<RouterKey> QuotaLeases::Impl::coordinator(std::uint32_t group, base::TimePoint now) const
{
    if (group >= LimitGroups || now < m_startDelay.end(group)) {
        return std::nullopt;
    }
    if (m_fleet.lists(m_self)) {
        const Loan *lent = loan(group, now);
        const RouterKey holder = lent != nullptr ? lent->borrower : m_self;
        return lent == nullptr || target(group, now) == holder ? std::optional(holder) : std::nullopt;
    }
    // A router that owns nothing asks where it would lend.
    for (const RouterKey it : m_fleet.candidates[group]) {
        if (aliveCandidate(it, group, now) != nullptr) {
            return it;
        }
    }
    return std::nullopt;
}

std::optional<base::Duration> QuotaLeases::Impl::timeToShares(std::uint32_t group, base::TimePoint now) const
{
    if (group >= LimitGroups || m_startDelay.end(group) == base::TimePoint::max() || coordinator(group, now)) {
        return std::nullopt;
    }
    if (now < m_startDelay.end(group)) {
        return m_startDelay.end(group) - now + pollInterval(m_fleet.count);
    }
    const Loan *lent = loan(group, now);
    return lent != nullptr ? std::optional(std::max(lent->until - now, LeastMoveTime)) : std::nullopt;
}

double QuotaLeases::Impl::heldShare(std::uint32_t group, base::TimePoint now) const
{
    if (group >= LimitGroups) {
        return 0;
    }
    double share = ownsShare(group, now) && loan(group, now) == nullptr ? 1.0 / m_fleet.count : 0.0;
    for (const auto &[key, lender] : m_lenders) {
        share += now < lender.ends[group] ? 1.0 / lender.routers : 0.0;
    }
    return std::min(share, 1.0);
}

std::vector<RouterKey> QuotaLeases::Impl::heldFrom(std::uint32_t group, base::TimePoint now) const
{
    std::vector<RouterKey> owners;
    if (group >= LimitGroups) {
        return owners;
    }
    if (ownsShare(group, now) && loan(group, now) == nullptr) {
        owners.push_back(m_self);
    }
    for (const auto &[key, lender] : m_lenders) {
        if (now < lender.ends[group]) {
            owners.push_back(key);
        }
    }
    return owners;
}

std::vector<RouterKey> QuotaLeases::Impl::peers() const
{
    std::vector<RouterKey> peers;
    if (m_fleet.groupsOf(m_self) != 0) {
        peers = m_fleet.routers;
    } else {
        for (const auto &it : m_fleet.candidates) {
            peers.insert(peers.end(), it.begin(), it.end());
        }
        std::sort(peers.begin(), peers.end());
        peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    }
    std::erase(peers, m_self);
    return peers;
}

std::string QuotaLeases::Impl::stateText(base::TimePoint now) const
{
    std::ostringstream out;
    // Times long past no longer matter.
    const auto since = [now](base::TimePoint at) {
        return std::max<std::int64_t>(-2 * MaxTerm.count(), (at - now).count());
    };
    out << m_incarnation << ',' << m_startDelay.stateText(now) << ',' << m_isStopped << m_groups << ',' << m_lastAnswer << ',' << m_lastPoll;
    for (const auto &it : m_loans) {
        if (it && now < it->until) {
            out << "|l" << it->borrower << ',' << it->incarnation << ',' << since(it->until) << ',' << it->extendedBy << ',' << it->lastAnswer;
        }
    }
    for (const auto &[key, it] : m_candidates) {
        out << "|c" << key << ',' << it.incarnation << ',' << it.sequence << ',' << it.groups << ',' << since(it.polledAt) << ',' << it.nextPoll.count();
        for (std::uint32_t i = 0; i < LimitGroups; ++i) {
            out << ',' << (it.isAlive(i, now) ? std::max(since(it.since[i]), -TakeoverDelay.count()) : 1);
        }
    }
    for (const auto &[key, it] : m_lenders) {
        out << "|b" << key << ',' << it.incarnation << ',' << it.applied << ',' << it.appliedPoll << ',' << it.routers << ',' << since(it.sentAt) << ','
            << it.promised.count() << ',' << it.isRestarted << ',' << (it.applied == 0 ? since(it.created) : 0);
        for (const base::TimePoint ends : it.ends) {
            out << ',' << std::max<std::int64_t>(0, since(ends));
        }
        for (const BorrowedShares::SentPoll &sent : it.sent) {
            out << ';' << sent.sequence << ',' << std::max<std::int64_t>(0, since(sent.ends)) << ',' << sent.groups;
        }
    }
    return out.str();
}

QuotaLeases::QuotaLeases(RouterKey self, std::uint64_t incarnation, base::TimePoint now)
    : m_impl(std::make_unique<Impl>(self, incarnation, now))
{
}

QuotaLeases::~QuotaLeases() = default;
QuotaLeases::QuotaLeases(const QuotaLeases &other)
    : m_impl(std::make_unique<Impl>(*other.m_impl))
{
}
QuotaLeases &QuotaLeases::operator=(const QuotaLeases &other)
{
    *m_impl = *other.m_impl;
    return *this;
}
QuotaLeases::QuotaLeases(QuotaLeases &&) noexcept = default;
QuotaLeases &QuotaLeases::operator=(QuotaLeases &&) noexcept = default;

void QuotaLeases::setRouters(std::span<const RouterKey> routers, std::uint32_t count, base::TimePoint now)
{
    m_impl->setRouters(routers, count, now);
}

void QuotaLeases::stop()
{
    m_impl->stop();
}

std::vector<std::pair<RouterKey, SharePoll>> QuotaLeases::duePolls(base::TimePoint now)
{
    return m_impl->duePolls(now);
}

ShareAnswer QuotaLeases::onPoll(const SharePoll &poll, base::TimePoint now)
{
    return m_impl->onPoll(poll, now);
}

void QuotaLeases::onAnswer(const ShareAnswer &answer, base::TimePoint now)
{
    m_impl->onAnswer(answer, now);
}

std::optional<RouterKey> QuotaLeases::coordinator(std::uint32_t group, base::TimePoint now) const
{
    return m_impl->coordinator(group, now);
}

std::optional<base::Duration> QuotaLeases::timeToShares(std::uint32_t group, base::TimePoint now) const
{
    return m_impl->timeToShares(group, now);
}

double QuotaLeases::heldShare(std::uint32_t group, base::TimePoint now) const
{
    return m_impl->heldShare(group, now);
}

std::vector<RouterKey> QuotaLeases::heldFrom(std::uint32_t group, base::TimePoint now) const
{
    return m_impl->heldFrom(group, now);
}

std::vector<RouterKey> QuotaLeases::peers() const
{
    return m_impl->peers();
}

std::optional<base::Duration> QuotaLeases::startDelayLasted(base::TimePoint now) const
{
    return m_impl->delay().lasted(now);
}

std::string QuotaLeases::stateText(base::TimePoint now) const
{
    return m_impl->stateText(now);
}

base::Duration QuotaLeases::pollInterval(std::uint32_t routers)
{
    return std::clamp<base::Duration>(routers * PollIntervalPerRouter, MinPollInterval, MaxTerm / PollsPerTerm);
}

base::Duration QuotaLeases::leaseTerm(std::uint32_t routers)
{
    return PollsPerTerm * pollInterval(routers);
}

base::Duration QuotaLeases::lentTime(base::Duration term)
{
    return term + term / DriftDivisor + LeaseMargin;
}

base::Duration QuotaLeases::startDelay(std::uint32_t routers)
{
    const base::Duration term = leaseTerm(routers);
    return term + term / StartDivisor + LeaseMargin;
}

} // namespace carawaylatch::admission
