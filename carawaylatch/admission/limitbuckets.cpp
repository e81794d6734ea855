// Levels and denials of a coordinator's buckets; see the header for the bound.
//
// A level is brought up to date when its bucket is used. The time since the last use is
// counted at the lower of the former and the new refill rate, so that a share that ended
// between two calls fills nothing, also after the process was suspended.
//
// Denied requests form a backlog of tokens that drains at the refill rate. A further
// denied request is told to come back when the backlog and its own tokens have been
// filled. Callers may give up, so the backlog is bounded by MaxBacklogTime, and a request
// that finds tokens takes them whatever was promised. The time in which the bucket fills
// for the request itself is never shortened, as the caller would come back in vain.
#include "carawaylatch/admission/limitbuckets.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <unordered_map>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::admission
{

namespace
{

constexpr double LeastFillSeconds = 0.25; // a capacity below this part of the rate is of little use to bursty callers
constexpr double ExtraLevel = 0.5; // of the capacity; below it only requests that wait are served
constexpr base::Duration PartTooSmallRetry = base::seconds{1}; // by then the shares have usually come together
// Absorbs rounding in levels and shares; far below one request.
constexpr double Rounding = 1e-6;

base::Duration toWholeMilliseconds(base::Duration duration)
{
    return base::milliseconds{base::toMilliseconds(duration)};
}

std::uint32_t wholeTokens(double tokens)
{
    constexpr double MaxTokens = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::floor(tokens + Rounding), 0.0, MaxTokens));
}

struct Bucket
{
    CustomerLimit limit;
    double wholeCapacity = 0; // of the whole limit
    double share = 0; // of the limit held here
    double level = 0; // at `last`; at most capacity()
    double promised = 0; // tokens that denied requests wait for and that are still to be filled, at `last`
    base::TimePoint last;

    [[nodiscard]] double rate() const
    {
        return limit.perSecond * share;
    }
    [[nodiscard]] double capacity() const
    {
        return wholeCapacity * share;
    }
    [[nodiscard]] double levelAt(double perSecond, base::TimePoint now) const
    {
        const double filled = now > last ? base::toSeconds(now - last) * perSecond : 0;
        return std::min(capacity(), level + filled);
    }
    void refill(double perSecond, base::TimePoint now)
    {
        level = levelAt(perSecond, now);
        if (now > last) {
            promised = std::max(0.0, promised - base::toSeconds(now - last) * perSecond);
            last = now;
        }
    }
    // Applies a change of limit or share; the level never rises by it.
    template <typename Change>
    void change(Change &&apply, base::TimePoint now)
    {
        const double formerRate = rate();
        const double formerCapacity = capacity();
        const Bucket former = *this;
        apply(*this);
        const double lower = std::min(formerRate, rate());
        level = std::min({capacity(), formerCapacity, former.levelAt(lower, now)});
        if (now > last) {
            promised = std::max(0.0, promised - base::toSeconds(now - last) * lower);
            last = now;
        }
        promised = std::min(promised, rate() * base::toSeconds(MaxBacklogTime));
    }
};

TokenGrantEntry deny(Bucket &bucket, const TokenRequestEntry &entry)
{
    const double backlog = bucket.promised > 0 ? bucket.promised : -bucket.level;
    const double missing = std::max(backlog + entry.smallest, entry.smallest - bucket.level);
    const double longest = bucket.rate() * base::toSeconds(MaxBacklogTime);
    bucket.promised = std::clamp(backlog + std::max(entry.needed, entry.smallest), 0.0, longest);
    const base::Duration place = missing < longest ? base::fromSeconds(missing / bucket.rate()) : MaxBacklogTime;
    const base::Duration wait = std::max(place, fillTime(entry.smallest - bucket.level, bucket.rate()));
    return {
        .customer = entry.customer, .verdict = GrantVerdict::Denied, .retryAfter = toWholeMilliseconds(std::max<base::Duration>(wait, base::milliseconds{1}))};
}

// What the level gives to the requests that wait; whole multiples of the smallest, since less may serve none of them.
// A requester that already holds enough for its smallest request asks with a smallest of zero, and may get nothing.
double partialGrant(double level, const TokenRequestEntry &entry)
{
    const double smallest = std::max<std::uint32_t>(entry.smallest, 1);
    return std::floor((level + Rounding) / smallest) * smallest;
}

TokenGrantEntry grant(Bucket &bucket, const TokenRequestEntry &entry)
{
    const double needed = std::max(entry.needed, entry.smallest);
    double tokens = bucket.level + Rounding >= needed ? needed : partialGrant(bucket.level, entry);
    const double spare = bucket.level - tokens - bucket.capacity() * ExtraLevel;
    tokens = wholeTokens(tokens + std::clamp<double>(spare, 0.0, entry.extra));
    bucket.level = std::max(0.0, bucket.level - tokens);
    return {.customer = entry.customer, .verdict = GrantVerdict::Granted, .tokens = static_cast<std::uint32_t>(tokens), .retryAfter = {}};
}

} // namespace

double bucketCapacity(const CustomerLimit &limit, const LimitTolerance &tolerance)
{
    const double delay = base::toSeconds(GrantTerm + tolerance.maxQueueWait);
    const double inWindow = limit.perSecond * base::toSeconds(tolerance.window) + limit.burst;
    const double allowed = limit.burst + tolerance.overshoot * inWindow + tolerance.slack - limit.perSecond * delay;
    const double wanted = std::max({limit.burst, limit.perSecond * LeastFillSeconds, 1.0});
    return std::max(0.0, std::min(wanted, allowed));
}

class LimitBuckets::Impl
{
public:
    std::unordered_map<CustomerKey, Bucket> m_buckets; // one for each customer with a limit
    std::array<double, LimitGroups> m_shares{};
};

LimitBuckets::LimitBuckets(base::TimePoint /*now*/)
    : m_impl(std::make_unique<Impl>())
{
}

LimitBuckets::~LimitBuckets() = default;
LimitBuckets::LimitBuckets(LimitBuckets &&) noexcept = default;
LimitBuckets &LimitBuckets::operator=(LimitBuckets &&) noexcept = default;

void LimitBuckets::configure(std::span<const NamedLimit> limits, const LimitTolerance &tolerance, base::TimePoint now)
{
    std::unordered_map<CustomerKey, Bucket> buckets;
    for (const NamedLimit &named : limits) {
        const CustomerKey key = base::hash64(named.customer.value());
        Bucket &bucket = buckets[key];
        const double capacity = bucketCapacity(named.limit, tolerance);
        const auto former = m_impl->m_buckets.find(key);
        if (former != m_impl->m_buckets.end() && former->second.limit.unit == named.limit.unit) {
            bucket = former->second;
            bucket.change(
                [&](Bucket &changed) {
                    changed.limit = named.limit;
                    changed.wholeCapacity = capacity;
                },
                now);
        } else {
            bucket = {.limit = named.limit, .wholeCapacity = capacity, .share = m_impl->m_shares[limitGroup(key)], .last = now};
        }
    }
    m_impl->m_buckets = std::move(buckets);
}

void LimitBuckets::setHeldShare(std::uint32_t group, double share, base::TimePoint now)
{
    const double bounded = std::clamp(share, 0.0, 1.0);
    m_impl->m_shares.at(group) = bounded > 1 - Rounding * Rounding ? 1 : bounded;
    for (auto &[key, bucket] : m_impl->m_buckets) {
        if (limitGroup(key) == group) {
            bucket.change(
                [&](Bucket &changed) {
                    changed.share = m_impl->m_shares.at(group);
                },
                now);
        }
    }
}

TokenGrantEntry LimitBuckets::take(const TokenRequestEntry &entry, base::TimePoint now)
{
    const auto it = m_impl->m_buckets.find(entry.customer);
    if (it == m_impl->m_buckets.end() || it->second.share <= 0) {
        return {.customer = entry.customer, .verdict = GrantVerdict::NoCoordinator, .retryAfter = {}};
    }
    Bucket &bucket = it->second;
    bucket.refill(bucket.rate(), now);
    if (entry.smallest > bucket.wholeCapacity + Rounding) {
        return {.customer = entry.customer, .verdict = GrantVerdict::TooLarge, .retryAfter = {}};
    }
    if (entry.smallest > bucket.capacity() + Rounding) {
        return {.customer = entry.customer, .verdict = GrantVerdict::Denied, .retryAfter = PartTooSmallRetry};
    }
    return bucket.level + Rounding >= entry.smallest ? grant(bucket, entry) : deny(bucket, entry);
}

double LimitBuckets::level(CustomerKey customer, base::TimePoint now) const
{
    const auto it = m_impl->m_buckets.find(customer);
    return it != m_impl->m_buckets.end() ? it->second.levelAt(it->second.rate(), now) : 0;
}

} // namespace carawaylatch::admission
