// Division of requestlimits.h.
#include "carawaylatch/proxy/requestlimits.h"

#include <algorithm>
#include <cmath>

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
    if (!m_routers.setRouters(routers, self, count)) {
        return;
    }
    for (auto &[idHash, pace] : m_paces) {
        pace.interval = intervalOf(idHash, m_limits.value({idHash, pace.startTimeMs}));
    }
}

base::Duration RequestLimits::intervalOf(std::uint64_t idHash, std::uint32_t milliPerSecond) const
{
    if (milliPerSecond == 0) {
        return {};
    }
    const double perSecond = milliPerSecond / MilliPerUnit;
    const std::uint32_t routers = m_routers.routers();
    const std::uint32_t sharing = m_routers.areAllKnown() ? std::min(routers, maxSharing(perSecond)) : routers;
    return m_routers.rank(idHash) < sharing ? base::fromSeconds(sharing / perSecond) : base::Duration{};
}

void RequestLimits::setPace(const UpstreamKey &upstream, bool hadLimit, base::TimePoint now)
{
    Pace &pace = m_paces[upstream.idHash];
    if (!hadLimit || pace.startTimeMs != upstream.startTimeMs) {
        pace.startTimeMs = upstream.startTimeMs;
        pace.lastRequestAt = now;
    }
    pace.interval = intervalOf(upstream.idHash, m_limits.value(upstream));
    if (m_paces.size() > MaxReportedNotices) {
        removeOutdated(now); // one that the notices have dropped
    }
}

void RequestLimits::removeOutdated(base::TimePoint now)
{
    m_limits.removeOutdated(now);
    std::erase_if(m_paces, [this](const auto &it) {
        return !m_limits.knows(it.first);
    });
}

bool RequestLimits::observe(const UpstreamKey &upstream, std::optional<double> perSecond, base::TimePoint sentAt, base::TimePoint now)
{
    const bool hadLimit = m_limits.value(upstream) > 0;
    const std::uint32_t milliPerSecond = perSecond ? static_cast<std::uint32_t>(std::max(1L, std::lround(*perSecond * MilliPerUnit))) : 0;
    const bool hasChanged = m_limits.observe(upstream, milliPerSecond, sentAt, now);
    if (hasChanged) {
        setPace(upstream, hadLimit, now);
    }
    return hasChanged;
}

bool RequestLimits::apply(const UpstreamNotice &notice, base::TimePoint now)
{
    const UpstreamKey upstream{notice.upstream, notice.startTimeMs};
    const bool hadLimit = m_limits.value(upstream) > 0;
    const bool hasChanged = m_limits.apply(notice, now);
    if (hasChanged) {
        setPace(upstream, hadLimit, now);
    }
    return hasChanged;
}

void RequestLimits::onRequest(const UpstreamKey &upstream, base::TimePoint now)
{
    const auto it = m_paces.find(upstream.idHash);
    if (it != m_paces.end() && it->second.startTimeMs == upstream.startTimeMs) {
        Pace &pace = it->second;
        pace.lastRequestAt = std::max(pace.lastRequestAt + pace.interval, now - MaxLateness);
    }
}

void RequestLimits::onListed(const UpstreamKey &upstream)
{
    m_limits.onListed(upstream);
}

double RequestLimits::perSecond(const UpstreamKey &upstream) const
{
    return m_limits.value(upstream) / MilliPerUnit;
}

std::optional<base::TimePoint> RequestLimits::nextRequestAt(const UpstreamKey &upstream) const
{
    if (m_limits.value(upstream) == 0) {
        return std::nullopt;
    }
    const Pace &pace = m_paces.at(upstream.idHash);
    return pace.interval > base::Duration{} ? pace.lastRequestAt + pace.interval : base::TimePoint::max();
}

bool RequestLimits::hasBegunAfter(const UpstreamKey &upstream, base::TimePoint at) const
{
    const KnownNotice *limit = m_limits.find(upstream);
    return limit != nullptr && limit->value > 0 && limit->begunAt > at;
}

std::size_t RequestLimits::size() const
{
    return m_limits.size();
}

std::vector<UpstreamNotice> RequestLimits::takeChanges()
{
    return m_limits.takeChanges();
}

std::vector<UpstreamNotice> RequestLimits::all() const
{
    return m_limits.all();
}

} // namespace carawaylatch::proxy
