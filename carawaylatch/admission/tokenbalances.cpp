// Balances, waiting requests and denials; see the header.
#include "carawaylatch/admission/tokenbalances.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace carawaylatch::admission
{

namespace
{

constexpr base::Duration MaxRetryJitter = base::milliseconds{50}; // parts callers that were refused by many routers at once
constexpr base::Duration UnavailableRetry = base::milliseconds{400}; // most of the time in which shares move on
constexpr base::Duration UnavailableJitter = UnavailableRetry / 2;
constexpr int KnownTimeJitterDivisor = 3; // parts callers that were all refused until the same time

std::uint32_t saturated(std::uint64_t n)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(n, std::numeric_limits<std::uint32_t>::max()));
}

std::uint64_t lessHeld(std::uint64_t n, std::uint64_t held)
{
    return n > held ? n - held : 0;
}

} // namespace

void TokenBalance::add(TokenLot lot)
{
    if (lot.tokens == 0) {
        return;
    }
    const auto later = std::upper_bound(m_lots.begin(), m_lots.end(), lot, [](const TokenLot &a, const TokenLot &b) {
        return a.usableUntil < b.usableUntil;
    });
    m_lots.insert(later, lot);
    if (m_lots.size() > MaxLots) {
        m_lots[0].tokens += m_lots[1].tokens;
        m_lots.erase(m_lots.begin() + 1);
    }
}

TokenLot TokenBalance::take(std::uint32_t cost, base::TimePoint now)
{
    std::erase_if(m_lots, [now](const TokenLot &lot) {
        return lot.usableUntil <= now;
    });
    if (total(now) < cost) {
        return {};
    }
    const TokenLot taken{.usableUntil = m_lots.front().usableUntil, .tokens = cost};
    std::uint64_t left = cost;
    for (TokenLot &lot : m_lots) {
        const std::uint64_t n = std::min(left, lot.tokens);
        lot.tokens -= n;
        left -= n;
    }
    std::erase_if(m_lots, [](const TokenLot &lot) {
        return lot.tokens == 0;
    });
    return taken;
}

std::uint64_t TokenBalance::total(base::TimePoint now) const
{
    std::uint64_t sum = 0;
    for (const TokenLot &lot : m_lots) {
        sum += lot.usableUntil > now ? lot.tokens : 0;
    }
    return sum;
}

void TokenBalance::clear()
{
    m_lots.clear();
}

std::int64_t RecentUse::slotIndex(base::TimePoint now)
{
    return now.time_since_epoch() / (CustomerLimits::ExtraTime / Slots);
}

void RecentUse::add(std::uint64_t tokens, base::TimePoint now)
{
    const std::int64_t index = slotIndex(now);
    Slot &slot = m_slots[static_cast<std::size_t>(index) % Slots];
    if (slot.index != index) {
        slot = {.index = index};
    }
    slot.tokens += tokens;
}

std::uint64_t RecentUse::total(base::TimePoint now) const
{
    const std::int64_t first = slotIndex(now) - static_cast<std::int64_t>(Slots) + 1;
    std::uint64_t sum = 0;
    for (const Slot &slot : m_slots) {
        sum += slot.index >= first ? slot.tokens : 0;
    }
    return sum;
}

TokenBalances::TokenBalances(std::uint64_t seed)
    : m_random(seed)
{
}

void TokenBalances::configure(std::span<const NamedLimit> limits, const LimitTolerance &tolerance, base::TimePoint now)
{
    std::unordered_map<base::CustomerId, std::unique_ptr<LimitAccount>> accounts;
    for (const NamedLimit &named : limits) {
        std::unique_ptr<LimitAccount> &account = accounts[named.customer];
        if (const auto it = m_accounts.find(named.customer); it != m_accounts.end()) {
            account = std::move(it->second);
            m_accounts.erase(it);
        }
        if (!account) {
            account = std::make_unique<LimitAccount>();
            account->customer = named.customer;
            account->key = base::hash64(named.customer.value());
            account->countedFrom = now;
        }
        if (account->limit.unit != named.limit.unit) {
            account->balance.clear();
            account->countedFrom = now;
        }
        if (account->limit != named.limit) {
            account->deniedUntil = now;
        }
        account->limit = named.limit;
        account->capacity = bucketCapacity(named.limit, tolerance);
    }
    for (const auto &[customer, account] : m_accounts) { // those without a limit now
        settle(*account, [now](const WaitingRequest & /*request*/) {
            return LimitDecision{.verdict = LimitVerdict::Granted, .retryAfter = {}, .usableUntil = now + GrantTerm};
        });
    }
    m_accounts = std::move(accounts);
    m_byKey.clear();
    for (const auto &[customer, account] : m_accounts) {
        m_byKey[account->key] = account.get();
        settle(*account, [&, &of = *account](const WaitingRequest &request) {
            return request.cost > of.capacity ? tooLarge(of) : LimitDecision{.verdict = LimitVerdict::Pending, .retryAfter = {}, .usableUntil = {}};
        });
    }
}

LimitAccount *TokenBalances::find(const base::CustomerId &customer)
{
    const auto it = m_accounts.find(customer);
    return it != m_accounts.end() ? it->second.get() : nullptr;
}

LimitAccount *TokenBalances::find(CustomerKey key)
{
    const auto it = m_byKey.find(key);
    return it != m_byKey.end() ? it->second : nullptr;
}

std::size_t TokenBalances::customers() const
{
    return m_accounts.size();
}

std::size_t TokenBalances::waiting() const
{
    return m_tickets.size();
}

const std::set<CustomerKey> &TokenBalances::waitingCustomers() const
{
    return m_waitingCustomers;
}

LimitDecision TokenBalances::decide(LimitAccount &account, std::uint32_t cost, base::TimePoint now)
{
    const TokenLot lot = account.balance.take(cost, now);
    if (lot.tokens != 0) {
        return granted(account, cost, lot.usableUntil, now);
    }
    if (cost > account.capacity) {
        return tooLarge(account);
    }
    if (now < account.deniedUntil && cost >= account.deniedCost) {
        return overLimit(account, nextPlace(account, cost, now));
    }
    return {.verdict = LimitVerdict::Pending, .retryAfter = {}, .usableUntil = {}};
}

LimitDecision TokenBalances::granted(LimitAccount &account, std::uint32_t cost, base::TimePoint usableUntil, base::TimePoint now)
{
    account.use.add(cost, now);
    return {.verdict = LimitVerdict::Granted, .retryAfter = {}, .usableUntil = usableUntil};
}

LimitDecision TokenBalances::overLimit(LimitAccount &account, base::Duration retryAfter)
{
    ++account.overLimit;
    ++m_counts.overLimit;
    const auto jitter = base::Duration{m_random.below(MaxRetryJitter.count())};
    return {.verdict = LimitVerdict::OverLimit, .retryAfter = retryAfter + jitter, .usableUntil = {}};
}

LimitDecision TokenBalances::tooLarge(LimitAccount &account)
{
    ++account.overLimit;
    ++m_counts.overLimit;
    return {.verdict = LimitVerdict::TooLarge, .retryAfter = {}, .usableUntil = {}};
}

LimitDecision TokenBalances::unavailable(LimitAccount &account)
{
    ++account.unavailable;
    ++m_counts.unavailable;
    const std::optional<base::Duration> &known = m_timeToShares.at(limitGroup(account.key));
    const base::Duration most = known ? *known / KnownTimeJitterDivisor : UnavailableJitter;
    const auto jitter = base::Duration{m_random.below(std::max<std::int64_t>(1, most.count()))};
    return {.verdict = LimitVerdict::Unavailable, .retryAfter = known.value_or(UnavailableRetry) + jitter, .usableUntil = {}};
}

void TokenBalances::setTimeToShares(std::uint32_t group, std::optional<base::Duration> time)
{
    m_timeToShares.at(group) = time;
}

std::uint64_t TokenBalances::wait(LimitAccount &account, std::uint32_t cost, base::TimePoint now)
{
    const std::uint64_t ticket = ++m_lastTicket;
    account.waiting.push_back({.ticket = ticket, .cost = cost, .deadline = now + CustomerLimits::AskTimeout});
    m_tickets.emplace(ticket, account.key);
    m_waitingCustomers.insert(account.key);
    return ticket;
}

void TokenBalances::cancel(std::uint64_t ticket)
{
    const auto hasTicket = [ticket](const WaitingRequest &request) {
        return request.ticket == ticket;
    };
    if (const auto it = m_tickets.find(ticket); it != m_tickets.end()) {
        LimitAccount &account = *m_byKey.at(it->second);
        std::erase_if(account.waiting, hasTicket);
        if (account.waiting.empty()) {
            m_waitingCustomers.erase(account.key);
        }
        m_tickets.erase(it);
        return;
    }
    const auto decided = std::find_if(m_decided.begin(), m_decided.end(), [ticket](const Decided &entry) {
        return entry.result.ticket == ticket;
    });
    if (decided == m_decided.end()) {
        return;
    }
    if (LimitAccount *account = find(decided->customer); account && decided->result.decision.verdict == LimitVerdict::Granted) {
        credit(*account, {.usableUntil = decided->result.decision.usableUntil, .tokens = decided->cost});
    }
    m_decided.erase(decided);
}

TokenRequestEntry TokenBalances::entry(LimitAccount &account, base::TimePoint now)
{
    std::uint64_t needed = 0;
    std::uint32_t smallest = std::numeric_limits<std::uint32_t>::max();
    for (WaitingRequest &request : account.waiting) {
        ++request.asks;
        needed += request.cost;
        smallest = std::min(smallest, request.cost);
    }
    const std::uint64_t held = account.balance.total(now);
    account.askedSmallest = smallest;
    return {.customer = account.key,
            .needed = saturated(lessHeld(needed, held)),
            .smallest = saturated(lessHeld(smallest, held)),
            .extra = saturated(lessHeld(account.use.total(now), held))};
}

template <typename Decide>
void TokenBalances::settle(LimitAccount &account, Decide &&decide)
{
    std::erase_if(account.waiting, [&](const WaitingRequest &request) {
        LimitDecision decision = decide(request);
        if (decision.verdict == LimitVerdict::Pending) {
            return false;
        }
        m_tickets.erase(request.ticket);
        m_decided.push_back({.result = {.ticket = request.ticket, .decision = decision}, .customer = account.key, .cost = request.cost});
        return true;
    });
    if (account.waiting.empty()) {
        m_waitingCustomers.erase(account.key);
    }
}

base::Duration TokenBalances::nextPlace(LimitAccount &account, std::uint32_t cost, base::TimePoint now)
{
    const base::Duration step = fillTime(cost, account.limit.perSecond);
    account.nextRetry = std::min(std::max(account.nextRetry, now) + step, now + std::max(step, MaxBacklogTime));
    return account.nextRetry - now;
}

void TokenBalances::credit(LimitAccount &account, const TokenLot &lot)
{
    if (lot.usableUntil - GrantTerm >= account.countedFrom) {
        account.balance.add(lot);
    }
}

void TokenBalances::onGranted(LimitAccount &account, const TokenLot &lot, base::TimePoint now)
{
    credit(account, lot);
    settle(account, [&](const WaitingRequest &request) {
        const TokenLot taken = account.balance.take(request.cost, now);
        return taken.tokens != 0 ? granted(account, request.cost, taken.usableUntil, now)
                                 : LimitDecision{.verdict = LimitVerdict::Pending, .retryAfter = {}, .usableUntil = {}};
    });
}

void TokenBalances::onDenied(LimitAccount &account, base::Duration retryAfter, base::TimePoint now)
{
    account.deniedUntil = now + CustomerLimits::DeniedInterval;
    account.deniedCost = account.askedSmallest;
    account.nextRetry = now + std::clamp<base::Duration>(retryAfter, base::milliseconds{1}, MaxRetryAfter);
    bool isFirst = true;
    settle(account, [&](const WaitingRequest &request) {
        if (request.cost < account.deniedCost) {
            return LimitDecision{.verdict = LimitVerdict::Pending, .retryAfter = {}, .usableUntil = {}};
        }
        if (std::exchange(isFirst, false)) { // the time of the denial is that of the smallest request
            account.nextRetry += fillTime(request.cost - account.deniedCost, account.limit.perSecond);
            return overLimit(account, account.nextRetry - now);
        }
        return overLimit(account, nextPlace(account, request.cost, now));
    });
}

void TokenBalances::refusePassedOver(LimitAccount &account, base::TimePoint now)
{
    constexpr std::uint32_t MaxAsks = 2;
    settle(account, [&](const WaitingRequest &request) {
        return request.asks >= MaxAsks ? overLimit(account, nextPlace(account, request.cost, now))
                                       : LimitDecision{.verdict = LimitVerdict::Pending, .retryAfter = {}, .usableUntil = {}};
    });
}

void TokenBalances::onTooLarge(LimitAccount &account)
{
    settle(account, [&](const WaitingRequest &request) {
        return request.cost >= account.askedSmallest ? tooLarge(account) : LimitDecision{.verdict = LimitVerdict::Pending, .retryAfter = {}, .usableUntil = {}};
    });
}

void TokenBalances::onUnavailable(LimitAccount &account)
{
    settle(account, [&](const WaitingRequest & /*request*/) {
        return unavailable(account);
    });
}

void TokenBalances::expire(base::TimePoint now)
{
    const std::vector<CustomerKey> customers(m_waitingCustomers.begin(), m_waitingCustomers.end());
    for (const CustomerKey key : customers) {
        LimitAccount &account = *m_byKey.at(key);
        settle(account, [&](const WaitingRequest &request) {
            return request.deadline <= now ? unavailable(account) : LimitDecision{.verdict = LimitVerdict::Pending, .retryAfter = {}, .usableUntil = {}};
        });
    }
}

std::vector<TicketDecision> TokenBalances::takeDecisions(base::TimePoint now)
{
    expire(now);
    std::vector<TicketDecision> results;
    results.reserve(m_decided.size());
    for (Decided &decided : m_decided) {
        LimitDecision &decision = decided.result.decision;
        LimitAccount *account = find(decided.customer);
        // The process was suspended after the decision; the tokens are no longer counted by the coordinator.
        if (account && decision.verdict == LimitVerdict::Granted && decision.usableUntil < now) {
            decision = unavailable(*account);
        }
        results.push_back(decided.result);
    }
    m_decided.clear();
    return results;
}

LimitCounts &TokenBalances::counts()
{
    return m_counts;
}

std::vector<LimitUse> TokenBalances::takeRefusals()
{
    std::vector<LimitUse> refusals;
    for (const auto &[customer, account] : m_accounts) {
        if (account->overLimit != 0 || account->unavailable != 0) {
            refusals.push_back({.customer = customer, .overLimit = account->overLimit, .unavailable = account->unavailable});
            account->overLimit = 0;
            account->unavailable = 0;
        }
    }
    return refusals;
}

} // namespace carawaylatch::admission
