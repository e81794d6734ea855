// Connects shares, buckets and balances, and pairs responses with the messages of this
// router.
//
// The shares that the leases say are held are passed to the buckets before each use of a
// bucket, so that nothing is granted from a share whose lease has ended.
//
// A request for tokens is in flight until its response, its failure or AskTimeout; then
// the customer may be asked for again. The record is kept until the end of GrantTerm, so
// that a late grant still fills the balance.
#include "carawaylatch/admission/customerlimits.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "carawaylatch/admission/tokenbalances.h"

namespace carawaylatch::admission
{

namespace
{

// A request for tokens of this router. At most one for each customer is in flight, and one each AskTimeout is kept.
struct Ask
{
    RouterKey to = 0;
    base::TimePoint sent;
    std::vector<CustomerKey> customers; // those not yet answered
};

} // namespace

class CustomerLimits::Impl
{
public:
    Impl(RouterKey self, std::uint64_t incarnation, std::uint64_t seed, base::TimePoint now)
        : m_self(self)
        , m_leases(self, incarnation, now)
        , m_buckets(now)
        , m_balances(seed)
    {
    }

    [[nodiscard]] bool isOn() const
    {
        return m_balances.customers() != 0;
    }
    void syncShare(std::uint32_t group, base::TimePoint now);
    void syncShares(base::TimePoint now);
    [[nodiscard]] LimitDecision unavailable(LimitAccount &account, base::TimePoint now);
    void syncRetries(base::TimePoint now);
    [[nodiscard]] LimitDecision request(LimitAccount &account, std::uint32_t cost, base::TimePoint now);
    [[nodiscard]] LimitDecision takeOwn(LimitAccount &account, std::uint32_t cost, base::TimePoint now);
    void serveFromOwn(LimitAccount &account, base::TimePoint now);
    void forgetOldAsks(base::TimePoint now);
    void addAsks(std::vector<LimitMessage> &messages, base::TimePoint now);
    void addPolls(std::vector<LimitMessage> &messages, base::TimePoint now);
    void onEntry(std::uint64_t id, const Ask &ask, const TokenGrantEntry &entry, base::TimePoint now);
    void onNoGrant(LimitAccount &account, const Ask &ask, base::TimePoint now);

    RouterKey m_self;
    QuotaLeases m_leases;
    LimitBuckets m_buckets;
    TokenBalances m_balances;
    std::array<double, LimitGroups> m_shares{}; // as last passed to the buckets
    std::map<std::uint64_t, Ask> m_asks; // by message; sent within GrantTerm
    std::uint64_t m_lastId = 0;
};

void CustomerLimits::Impl::syncShare(std::uint32_t group, base::TimePoint now)
{
    const double share = m_leases.heldShare(group, now);
    if (share != m_shares.at(group)) {
        m_shares.at(group) = share;
        m_buckets.setHeldShare(group, share, now);
    }
}

void CustomerLimits::Impl::syncShares(base::TimePoint now)
{
    for (std::uint32_t group = 0; group < LimitGroups; ++group) {
        syncShare(group, now);
    }
}

void CustomerLimits::Impl::syncRetries(base::TimePoint now)
{
    for (std::uint32_t group = 0; group < LimitGroups; ++group) {
        m_balances.setTimeToShares(group, m_leases.timeToShares(group, now));
    }
}

LimitDecision CustomerLimits::Impl::unavailable(LimitAccount &account, base::TimePoint now)
{
    syncRetries(now);
    return m_balances.unavailable(account);
}

LimitDecision CustomerLimits::Impl::request(LimitAccount &account, std::uint32_t cost, base::TimePoint now)
{
    LimitDecision decision = m_balances.decide(account, cost, now);
    if (decision.verdict != LimitVerdict::Pending) {
        return decision;
    }
    if (m_leases.coordinator(limitGroup(account.key), now) == m_self) {
        return takeOwn(account, cost, now);
    }
    if (m_balances.waiting() >= MaxPending) {
        return unavailable(account, now);
    }
    decision.ticket = m_balances.wait(account, cost, now);
    return decision;
}

LimitDecision CustomerLimits::Impl::takeOwn(LimitAccount &account, std::uint32_t cost, base::TimePoint now)
{
    syncShare(limitGroup(account.key), now);
    const TokenGrantEntry grant = m_buckets.take({.customer = account.key, .needed = cost, .smallest = cost}, now);
    switch (grant.verdict) {
    case GrantVerdict::Granted:
        return m_balances.granted(account, cost, now + GrantTerm, now);
    case GrantVerdict::Denied:
        return m_balances.overLimit(account, grant.retryAfter);
    case GrantVerdict::TooLarge:
        return m_balances.tooLarge(account);
    case GrantVerdict::NoCoordinator:
        break;
    }
    return unavailable(account, now);
}

// Requests began to wait before this router became the coordinator.
void CustomerLimits::Impl::serveFromOwn(LimitAccount &account, base::TimePoint now)
{
    syncShare(limitGroup(account.key), now);
    const TokenGrantEntry entry = m_buckets.take(TokenBalances::entry(account, now), now);
    const Ask ask{.to = m_self, .sent = now, .customers = {}};
    onEntry(account.askId, ask, entry, now);
}

void CustomerLimits::Impl::forgetOldAsks(base::TimePoint now)
{
    for (auto it = m_asks.begin(); it != m_asks.end();) {
        const bool isTimedOut = now - it->second.sent >= AskTimeout;
        for (const CustomerKey key : it->second.customers) {
            LimitAccount *account = m_balances.find(key);
            if (isTimedOut && account && account->askId == it->first) {
                account->askId = 0;
            }
        }
        const bool isOver = it->second.customers.empty() || now - it->second.sent >= GrantTerm;
        it = isOver ? m_asks.erase(it) : std::next(it);
    }
}

void CustomerLimits::Impl::addAsks(std::vector<LimitMessage> &messages, base::TimePoint now)
{
    std::map<RouterKey, std::vector<LimitAccount *>> asked;
    const std::vector<CustomerKey> waiting(m_balances.waitingCustomers().begin(), m_balances.waitingCustomers().end());
    for (const CustomerKey key : waiting) {
        LimitAccount &account = *m_balances.find(key);
        if (account.askId != 0) {
            continue;
        }
        const std::optional<RouterKey> coordinator = m_leases.coordinator(limitGroup(key), now);
        if (!coordinator) {
            continue; // waits until there is one, or for AskTimeout
        }
        if (*coordinator == m_self) {
            serveFromOwn(account, now);
        } else {
            asked[*coordinator].push_back(&account);
        }
    }
    for (const auto &[to, accounts] : asked) {
        for (std::size_t first = 0; first < accounts.size(); first += MaxTokenEntries) {
            const std::size_t n = std::min(MaxTokenEntries, accounts.size() - first);
            Ask ask{.to = to, .sent = now, .customers = {}};
            TokenRequest request{.sender = m_self, .entries = {}};
            const std::uint64_t id = ++m_lastId;
            for (LimitAccount *account : std::span(accounts).subspan(first, n)) {
                ask.customers.push_back(account->key);
                request.entries.push_back(TokenBalances::entry(*account, now));
                account->askId = id;
            }
            m_asks.emplace(id, std::move(ask));
            messages.push_back({.to = to, .id = id, .content = std::move(request)});
            ++m_balances.counts().asks;
        }
    }
}

void CustomerLimits::Impl::addPolls(std::vector<LimitMessage> &messages, base::TimePoint now)
{
    for (auto &[to, poll] : m_leases.duePolls(now)) {
        messages.push_back({.to = to, .id = ++m_lastId, .content = poll});
    }
}

void CustomerLimits::Impl::onEntry(std::uint64_t id, const Ask &ask, const TokenGrantEntry &entry, base::TimePoint now)
{
    LimitAccount *account = m_balances.find(entry.customer);
    if (!account) {
        return; // has no limit any more
    }
    if (entry.verdict == GrantVerdict::Granted) {
        m_balances.onGranted(*account, {.usableUntil = ask.sent + GrantTerm, .tokens = entry.tokens}, now);
    }
    if (account->askId != id) {
        return; // a late answer; a newer one decides on the requests that wait
    }
    account->askId = 0;
    if (entry.verdict == GrantVerdict::Granted) {
        m_balances.refusePassedOver(*account, now);
    } else if (entry.verdict == GrantVerdict::Denied) {
        m_balances.onDenied(*account, entry.retryAfter, now);
    } else if (entry.verdict == GrantVerdict::TooLarge) {
        m_balances.onTooLarge(*account);
    } else if (entry.verdict == GrantVerdict::NoCoordinator) {
        onNoGrant(*account, ask, now);
    }
}

// Requests go on waiting, for their own time, if there is another coordinator by now, or if it is being determined.
void CustomerLimits::Impl::onNoGrant(LimitAccount &account, const Ask &ask, base::TimePoint now)
{
    if (m_leases.coordinator(limitGroup(account.key), now) == ask.to) {
        syncRetries(now);
        m_balances.onUnavailable(account);
    }
}

CustomerLimits::CustomerLimits(RouterKey self, std::uint64_t incarnation, std::uint64_t seed, base::TimePoint now)
    : m_impl(std::make_unique<Impl>(self, incarnation, seed, now))
{
}

CustomerLimits::~CustomerLimits() = default;

void CustomerLimits::configure(std::span<const NamedLimit> limits, const LimitTolerance &tolerance, base::TimePoint now)
{
    m_impl->syncShares(now);
    m_impl->m_buckets.configure(limits, tolerance, now);
    m_impl->m_balances.configure(limits, tolerance, now);
}

void CustomerLimits::setRouters(std::span<const RouterKey> routers, std::uint32_t count, base::TimePoint now)
{
    m_impl->syncShares(now);
    m_impl->m_leases.setRouters(routers, count, now);
    m_impl->syncShares(now);
}

void CustomerLimits::stop()
{
    m_impl->m_leases.stop();
}

LimitDecision CustomerLimits::request(const base::CustomerId &customer, std::uint32_t cost, base::TimePoint now)
{
    LimitAccount *account = m_impl->m_balances.find(customer);
    if (!account) {
        return {.verdict = LimitVerdict::Granted, .retryAfter = {}, .usableUntil = now + GrantTerm};
    }
    return m_impl->request(*account, cost, now);
}

void CustomerLimits::cancel(std::uint64_t ticket)
{
    m_impl->m_balances.cancel(ticket);
}

void CustomerLimits::refund(const base::CustomerId &customer, std::uint32_t cost, base::TimePoint usableUntil, base::TimePoint now)
{
    LimitAccount *account = m_impl->m_balances.find(customer);
    if (account && usableUntil > now) {
        m_impl->m_balances.onGranted(*account, {.usableUntil = usableUntil, .tokens = cost}, now);
    }
}

std::vector<TicketDecision> CustomerLimits::takeDecisions(base::TimePoint now)
{
    if (m_impl->m_balances.waiting() != 0) {
        m_impl->syncRetries(now);
    }
    return m_impl->m_balances.takeDecisions(now);
}

std::vector<LimitMessage> CustomerLimits::takeMessages(base::TimePoint now)
{
    std::vector<LimitMessage> messages;
    m_impl->forgetOldAsks(now);
    if (!m_impl->isOn()) {
        return messages;
    }
    m_impl->syncShares(now);
    m_impl->addAsks(messages, now);
    m_impl->addPolls(messages, now);
    return messages;
}

ShareAnswer CustomerLimits::onPoll(const SharePoll &poll, base::TimePoint now)
{
    m_impl->syncShares(now);
    ShareAnswer answer = m_impl->m_leases.onPoll(poll, now);
    m_impl->syncShares(now);
    return answer;
}

TokenGrant CustomerLimits::onTokenRequest(const TokenRequest &request, base::TimePoint now)
{
    m_impl->syncShares(now);
    TokenGrant grant;
    const std::size_t n = std::min(request.entries.size(), MaxTokenEntries);
    grant.entries.reserve(n);
    for (const TokenRequestEntry &entry : std::span(request.entries).first(n)) {
        grant.entries.push_back(m_impl->m_buckets.take(entry, now));
        m_impl->m_balances.counts().grants += grant.entries.back().verdict == GrantVerdict::Granted ? 1 : 0;
    }
    return grant;
}

void CustomerLimits::onAnswer(const ShareAnswer &answer, base::TimePoint now)
{
    m_impl->syncShares(now);
    m_impl->m_leases.onAnswer(answer, now);
    m_impl->syncShares(now);
}

void CustomerLimits::onGrant(std::uint64_t id, const TokenGrant &grant, base::TimePoint now)
{
    const auto it = m_impl->m_asks.find(id);
    if (it == m_impl->m_asks.end()) {
        return;
    }
    Ask ask = std::move(it->second);
    m_impl->m_asks.erase(it);
    for (const TokenGrantEntry &entry : grant.entries) {
        if (std::erase(ask.customers, entry.customer) != 0) {
            m_impl->onEntry(id, ask, entry, now);
        }
    }
    for (const CustomerKey key : ask.customers) { // asked for, but not in the answer
        m_impl->onEntry(id, ask, {.customer = key, .verdict = GrantVerdict::NoCoordinator, .retryAfter = {}}, now);
    }
}

void CustomerLimits::onFailure(std::uint64_t id, base::TimePoint now)
{
    onGrant(id, {}, now);
}

std::vector<RouterKey> CustomerLimits::peers() const
{
    return m_impl->isOn() ? m_impl->m_leases.peers() : std::vector<RouterKey>{};
}

std::size_t CustomerLimits::limitedCustomers() const
{
    return m_impl->m_balances.customers();
}

double CustomerLimits::heldShare(std::uint32_t group, base::TimePoint now) const
{
    return m_impl->m_leases.heldShare(group, now);
}

std::optional<base::Duration> CustomerLimits::startDelayLasted(base::TimePoint now) const
{
    return m_impl->m_leases.startDelayLasted(now);
}

const LimitCounts &CustomerLimits::counts() const
{
    return m_impl->m_balances.counts();
}

std::vector<LimitUse> CustomerLimits::takeRefusals()
{
    return m_impl->m_balances.takeRefusals();
}

} // namespace carawaylatch::admission
