// Division and merging of requestlimits.h.
#include "carawaylatch/proxy/requestlimits.h"

#include <algorithm>
#include <cmath>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr double MilliPerUnit = 1000;

// The number of routers that may share an upstream: they may all send at once, so no more than the limit
// allows in BurstTime, and a few where that is less than one.
std::uint32_t maxSharing(double perSecond)
{
    constexpr base::Duration BurstTime = base::seconds{2};
    constexpr std::uint32_t MinSharing = 2;
    return MinSharing + static_cast<std::uint32_t>(perSecond * base::toSeconds(BurstTime));
}

} // namespace

void RequestLimits::setRouters(std::span<const base::Endpoint> routers, const base::Endpoint &self, std::uint32_t count)
{
    if (count == m_count && std::equal(routers.begin(), routers.end(), m_fleet.begin(), m_fleet.end())) {
        return;
    }
    m_fleet.assign(routers.begin(), routers.end());
    m_count = count;
    m_others.clear();
    for (const base::Endpoint &router : routers) {
        if (router != self) {
            m_others.push_back(base::hash64(config::formatEndpoint(router)));
        }
    }
    m_self = base::hash64(config::formatEndpoint(self));
    const auto known = static_cast<std::uint32_t>(m_others.size() + 1);
    if (known < count) {
        m_others.clear();
    }
    m_routers = std::max(known, count);
    for (auto &[idHash, limit] : m_limits) {
        limit.interval = intervalOf(idHash, limit.milliPerSecond);
    }
}

base::Duration RequestLimits::intervalOf(std::uint64_t idHash, std::uint32_t milliPerSecond) const
{
    if (milliPerSecond == 0) {
        return {};
    }
    const double perSecond = milliPerSecond / MilliPerUnit;
    const auto isBefore = [idHash, own = base::combineHashes(idHash, m_self)](std::uint64_t router) {
        return base::combineHashes(idHash, router) > own;
    };
    const std::uint32_t sharing = m_others.empty() ? m_routers : std::min(m_routers, maxSharing(perSecond));
    const auto rank = static_cast<std::uint32_t>(std::count_if(m_others.begin(), m_others.end(), isBefore));
    return rank < sharing ? base::fromSeconds(sharing / perSecond) : base::Duration{};
}

const RequestLimits::Limit *RequestLimits::find(const UpstreamKey &upstream) const
{
    const auto it = m_limits.find(upstream.idHash);
    return it != m_limits.end() && it->second.startTimeMs == upstream.startTimeMs ? &it->second : nullptr;
}

RequestLimits::Limit &RequestLimits::findOrAdd(const UpstreamKey &upstream)
{
    if (m_limits.size() >= MaxReportedLimits && !m_limits.contains(upstream.idHash)) {
        m_limits.erase(std::min_element(m_limits.begin(), m_limits.end(), [](const auto &left, const auto &right) {
            return left.second.refreshedAt < right.second.refreshedAt;
        }));
    }
    Limit &limit = m_limits[upstream.idHash];
    if (limit.startTimeMs != upstream.startTimeMs) {
        limit = Limit{};
        limit.startTimeMs = upstream.startTimeMs;
    }
    return limit;
}

void RequestLimits::removeOutdated(base::TimePoint now)
{
    std::erase_if(m_limits, [now](const auto &it) {
        return now - it.second.refreshedAt >= MaxAge;
    });
}

void RequestLimits::set(std::uint64_t idHash, Limit &limit, std::uint32_t generation, std::uint32_t milliPerSecond, base::TimePoint now)
{
    if (limit.milliPerSecond == 0) {
        limit.begunAt = now;
        limit.lastRequestAt = now;
    }
    limit.generation = generation;
    limit.milliPerSecond = milliPerSecond;
    limit.interval = intervalOf(idHash, milliPerSecond);
    limit.namedAt = now;
    limit.refreshedAt = now;
    limit.isReported = false;
}

void RequestLimits::refresh(Limit &limit, base::TimePoint now)
{
    limit.namedAt = now;
    if (now - limit.refreshedAt >= RefreshInterval) {
        limit.refreshedAt = now;
        limit.isReported = false;
    }
}

bool RequestLimits::observe(const UpstreamKey &upstream, std::optional<double> perSecond, base::TimePoint sentAt, base::TimePoint now)
{
    const Limit *known = find(upstream);
    if (!perSecond) {
        // An answer without a limit may be older than one that named it, unless its request was sent afterwards.
        const bool hasEnded = known != nullptr && known->milliPerSecond > 0 && sentAt > known->namedAt;
        if (hasEnded) {
            set(upstream.idHash, findOrAdd(upstream), known->generation + 1, 0, now);
        }
        return hasEnded;
    }
    const auto milliPerSecond = static_cast<std::uint32_t>(std::max(1L, std::lround(*perSecond * MilliPerUnit)));
    Limit &limit = findOrAdd(upstream);
    if (limit.milliPerSecond == milliPerSecond) {
        refresh(limit, now);
        return false;
    }
    set(upstream.idHash, limit, limit.generation + 1, milliPerSecond, now);
    return true;
}

bool RequestLimits::apply(const UpstreamLimit &notice, base::TimePoint now)
{
    const auto it = m_limits.find(notice.upstream);
    if (it != m_limits.end() && it->second.startTimeMs > notice.startTimeMs) {
        return false;
    }
    Limit &limit = findOrAdd({notice.upstream, notice.startTimeMs});
    if (notice.generation < limit.generation) {
        limit.isReported = false; // the sender has missed the change
        return false;
    }
    const bool isSame = notice.milliPerSecond == limit.milliPerSecond;
    if (notice.generation == limit.generation) {
        if (isSame) {
            refresh(limit, now);
            return false;
        }
        // Seen by two routers at the same time: the lower limit is the safe one, and any limit is safer than none.
        const bool isSafer = limit.milliPerSecond == 0 || (notice.milliPerSecond > 0 && notice.milliPerSecond < limit.milliPerSecond);
        if (!isSafer) {
            limit.isReported = false;
            return false;
        }
    }
    set(notice.upstream, limit, notice.generation, notice.milliPerSecond, now);
    return !isSame;
}

void RequestLimits::onRequest(const UpstreamKey &upstream, base::TimePoint now)
{
    const auto it = m_limits.find(upstream.idHash);
    if (it != m_limits.end() && it->second.startTimeMs == upstream.startTimeMs) {
        Limit &limit = it->second;
        limit.lastRequestAt = std::max(limit.lastRequestAt + limit.interval, now - MaxLateness);
    }
}

void RequestLimits::onListed(const UpstreamKey &upstream)
{
    const auto it = m_limits.find(upstream.idHash);
    if (it != m_limits.end() && it->second.startTimeMs < upstream.startTimeMs) {
        m_limits.erase(it);
    }
}

double RequestLimits::perSecond(const UpstreamKey &upstream) const
{
    const Limit *limit = find(upstream);
    return limit != nullptr ? limit->milliPerSecond / MilliPerUnit : 0;
}

std::optional<base::TimePoint> RequestLimits::nextRequestAt(const UpstreamKey &upstream) const
{
    const Limit *limit = m_limits.empty() ? nullptr : find(upstream);
    if (limit == nullptr || limit->milliPerSecond == 0) {
        return std::nullopt;
    }
    return limit->interval > base::Duration{} ? limit->lastRequestAt + limit->interval : base::TimePoint::max();
}

bool RequestLimits::hasBegunAfter(const UpstreamKey &upstream, base::TimePoint at) const
{
    const Limit *limit = find(upstream);
    return limit != nullptr && limit->milliPerSecond > 0 && limit->begunAt > at;
}

std::size_t RequestLimits::size() const
{
    return static_cast<std::size_t>(std::count_if(m_limits.begin(), m_limits.end(), [](const auto &it) {
        return it.second.milliPerSecond > 0;
    }));
}

UpstreamLimit RequestLimits::noticeOf(std::uint64_t idHash, const Limit &limit)
{
    return {idHash, limit.startTimeMs, limit.generation, limit.milliPerSecond};
}

std::vector<UpstreamLimit> RequestLimits::takeChanges()
{
    std::vector<UpstreamLimit> out;
    for (auto &[idHash, limit] : m_limits) {
        if (!limit.isReported) {
            limit.isReported = true;
            out.push_back(noticeOf(idHash, limit));
        }
    }
    return out;
}

std::vector<UpstreamLimit> RequestLimits::all() const
{
    std::vector<UpstreamLimit> out;
    for (const auto &[idHash, limit] : m_limits) {
        out.push_back(noticeOf(idHash, limit));
    }
    return out;
}

} // namespace carawaylatch::proxy
