// Computes own quotas for the ledger from the customers' limits, counts requests in
// flight, and runs a token bucket at the rate that the ledger allows.
//
// Own quota of L units over F routers: L / F each, and the remaining L mod F units go
// to the slots that follow hash(customer) mod F, so that the remainders of many
// customers are spread over the routers. Without a slot no router can own a
// remainder: each owns L / F rounded down, but at least one unit, and the bound is
// then max(L, F).
//
// A router reports its demand with a headroom of a quarter, so that it borrows
// before it has to refuse.
#include "carawaylatch/admission/limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "carawaylatch/admission/shareledger.h"
#include "carawaylatch/admission/tokenbucket.h"
#include "carawaylatch/base/hash.h"

namespace carawaylatch::admission
{

namespace
{

constexpr double DemandHeadroom = 1.25;
constexpr double ArrivalHalfLifeSeconds = 2;
constexpr double MinArrivalsPerSecond = 0.01; // lower rates count as zero

std::uint32_t ownQuota(std::uint64_t limit, const base::CustomerId &customer, const LimiterOptions &options)
{
    const std::uint64_t fleet = std::max(1U, options.fleetSize);
    const std::uint64_t evenQuota = limit / fleet;
    if (!options.slot) {
        return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, evenQuota));
    }
    const std::uint64_t first = base::hash64(customer.value()) % fleet;
    const std::uint64_t place = (*options.slot + fleet - first) % fleet;
    return static_cast<std::uint32_t>(evenQuota + (place < limit % fleet ? 1 : 0));
}

// Exponentially decayed average of arrivals per second.
class ArrivalRate
{
public:
    void add(base::TimePoint now)
    {
        m_sum = decayed(now) + 1;
        m_last = now;
    }
    [[nodiscard]] double perSecond(base::TimePoint now) const
    {
        return decayed(now) * std::log(2.0) / ArrivalHalfLifeSeconds;
    }

private:
    [[nodiscard]] double decayed(base::TimePoint now) const
    {
        return m_sum * std::exp2(-base::toSeconds(now - m_last) / ArrivalHalfLifeSeconds);
    }

    double m_sum = 0;
    base::TimePoint m_last;
};

struct CustomerState
{
    config::Customer limits;
    TokenBucket bucket;
    ArrivalRate arrivals;
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
};

} // namespace

class Limiter::Impl
{
public:
    Impl(const LimiterOptions &limiterOptions, base::TimePoint now)
        : options(limiterOptions)
        , ledger({.router = limiterOptions.router,
                  .incarnation = limiterOptions.incarnation,
                  .fleetSize = std::max(1U, limiterOptions.fleetSize),
                  .loanTerm = limiterOptions.loanTerm,
                  .longestRequest = limiterOptions.longestRequest},
                 now)
    {
    }

    // A limit of zero means unlimited.
    void setLimit(const ShareKey &key, std::uint64_t units)
    {
        if (units == 0) {
            ledger.removeLimit(key);
        } else {
            ledger.setOwnQuota(key, ownQuota(units, key.customer, options));
        }
    }

    void updateConcurrencyDemand(const CustomerState &state)
    {
        const double wanted = std::ceil((state.inFlight + state.waiting) * DemandHeadroom);
        ledger.setUsage({state.limits.id, Resource::Concurrency}, state.inFlight, static_cast<std::uint32_t>(wanted));
    }

    void updateRateDemand(const CustomerState &state, base::TimePoint now)
    {
        const double perSecond = state.arrivals.perSecond(now);
        const double units = perSecond < MinArrivalsPerSecond ? 0 : std::ceil(perSecond * DemandHeadroom * RateUnitsPerRequest);
        ledger.setUsage({state.limits.id, Resource::Rate}, 0, static_cast<std::uint32_t>(units));
    }

    // Updates token buckets and demand to `now`. Called before and after shares change.
    void refresh(base::TimePoint now)
    {
        for (auto &[id, state] : customers) {
            refill(state, now);
            updateRateDemand(state, now);
        }
    }

    void refill(CustomerState &state, base::TimePoint now) const
    {
        if (state.limits.requestsPerSecond > 0) {
            state.bucket.refill(static_cast<double>(ledger.usable({state.limits.id, Resource::Rate}, now)) / RateUnitsPerRequest, now);
        }
    }

    LimiterOptions options;
    ShareLedger ledger;
    // Configured customers, and removed ones until their requests have ended.
    std::map<base::CustomerId, CustomerState> customers;
};

Limiter::Limiter(const LimiterOptions &options, base::TimePoint now)
    : m_impl(std::make_unique<Impl>(options, now))
{
}

Limiter::~Limiter() = default;
Limiter::Limiter(Limiter &&) noexcept = default;
Limiter &Limiter::operator=(Limiter &&) noexcept = default;

void Limiter::raiseLongestRequest(base::Duration longest)
{
    m_impl->ledger.raiseLongestRequest(longest);
}

void Limiter::configure(std::span<const config::Customer> customers, base::TimePoint now)
{
    std::map<base::CustomerId, CustomerState> next;
    for (const config::Customer &it : customers) {
        const auto known = m_impl->customers.find(it.id);
        CustomerState state =
            known != m_impl->customers.end() ? std::move(known->second) : CustomerState{.limits = {}, .bucket = TokenBucket(now), .arrivals = {}};
        state.limits = it;
        m_impl->setLimit({it.id, Resource::Concurrency}, it.concurrency);
        m_impl->setLimit({it.id, Resource::Rate}, static_cast<std::uint64_t>(std::llround(it.requestsPerSecond * RateUnitsPerRequest)));
        next.insert_or_assign(it.id, std::move(state));
    }
    for (auto &[id, state] : m_impl->customers) {
        if (next.contains(id)) {
            continue;
        }
        m_impl->ledger.removeLimit({id, Resource::Rate});
        m_impl->ledger.removeLimit({id, Resource::Concurrency});
        if (state.inFlight > 0) {
            state.limits.concurrency = 0;
            state.limits.requestsPerSecond = 0;
            next.insert_or_assign(id, std::move(state));
        }
    }
    m_impl->customers = std::move(next);
    for (const auto &[id, state] : m_impl->customers) {
        m_impl->updateConcurrencyDemand(state);
    }
}

base::Result<void> Limiter::consumeRate(const base::CustomerId &customer, base::TimePoint now)
{
    const auto it = m_impl->customers.find(customer);
    if (it == m_impl->customers.end()) {
        return base::fail(base::ErrorKind::Forbidden, "the customer is not configured; add it with carawaylatchctl apply");
    }
    CustomerState &state = it->second;
    state.arrivals.add(now);
    if (state.limits.requestsPerSecond <= 0) {
        return base::ok();
    }
    m_impl->refill(state, now);
    if (!state.bucket.tryConsume()) {
        return base::fail(base::ErrorKind::LimitExceeded, "the customer's request rate limit is reached; send more slowly or raise requests_per_second",
                          state.bucket.timeToNextToken());
    }
    return base::ok();
}

bool Limiter::mayStart(const base::CustomerId &customer, base::TimePoint now) const
{
    const auto it = m_impl->customers.find(customer);
    if (it == m_impl->customers.end()) {
        return false;
    }
    const CustomerState &state = it->second;
    return state.limits.concurrency == 0 || state.inFlight < m_impl->ledger.usable({customer, Resource::Concurrency}, now);
}

bool Limiter::tryStart(const base::CustomerId &customer, base::TimePoint now)
{
    if (!mayStart(customer, now)) {
        return false;
    }
    CustomerState &state = m_impl->customers.at(customer);
    ++state.inFlight;
    m_impl->updateConcurrencyDemand(state);
    return true;
}

void Limiter::finish(const base::CustomerId &customer)
{
    const auto it = m_impl->customers.find(customer);
    if (it != m_impl->customers.end() && it->second.inFlight > 0) {
        --it->second.inFlight;
        m_impl->updateConcurrencyDemand(it->second);
    }
}

void Limiter::setWaiting(const base::CustomerId &customer, std::uint32_t waiting)
{
    const auto it = m_impl->customers.find(customer);
    if (it != m_impl->customers.end()) {
        it->second.waiting = waiting;
        m_impl->updateConcurrencyDemand(it->second);
    }
}

DemandReport Limiter::report(const base::RouterId &to, base::TimePoint now)
{
    m_impl->refresh(now);
    return m_impl->ledger.report(to, now);
}

ShareTable Limiter::answer(const DemandReport &report, base::TimePoint now)
{
    m_impl->refresh(now);
    ShareTable table = m_impl->ledger.answer(report, now);
    m_impl->refresh(now);
    return table;
}

void Limiter::apply(const ShareTable &table, base::TimePoint now)
{
    m_impl->refresh(now);
    m_impl->ledger.apply(table, now);
    m_impl->refresh(now);
}

bool Limiter::hasUnmetDemand(base::TimePoint now) const
{
    const auto hasShortfall = [&](const base::CustomerId &id) {
        return m_impl->ledger.shortfall({id, Resource::Concurrency}, now) > 0 || m_impl->ledger.shortfall({id, Resource::Rate}, now) > 0;
    };
    return std::any_of(m_impl->customers.begin(), m_impl->customers.end(), [&](const auto &it) {
        return hasShortfall(it.first);
    });
}

std::uint32_t Limiter::share(const base::CustomerId &customer, Resource resource, base::TimePoint now) const
{
    return m_impl->ledger.usable({customer, resource}, now);
}

std::uint32_t Limiter::inFlight(const base::CustomerId &customer) const
{
    const auto it = m_impl->customers.find(customer);
    return it == m_impl->customers.end() ? 0 : it->second.inFlight;
}

std::size_t Limiter::memoryBytes() const
{
    constexpr std::size_t MapNodeBytes = 48; // overhead of a map node in addition to its value
    return m_impl->ledger.memoryBytes() + m_impl->customers.size() * (sizeof(CustomerState) + sizeof(base::CustomerId) + MapNodeBytes);
}

} // namespace carawaylatch::admission
