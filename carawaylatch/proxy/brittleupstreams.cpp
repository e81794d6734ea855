// Certain room and risks of brittleupstreams.h.
#include "carawaylatch/proxy/brittleupstreams.h"

#include <algorithm>
#include <cmath>

namespace carawaylatch::proxy
{

namespace
{

constexpr std::size_t MaxUses = 2 * MaxReportedNotices; // those that are known to be brittle, and others of their pools
constexpr std::uint32_t MaxRejections = 1000; // a greater number makes no difference

// Of the rejections that an upstream takes, the number that routers may risk; the others are for requests that
// seemed to have room.
std::uint32_t riskedRejections(std::uint32_t rejections)
{
    return rejections / 2;
}

} // namespace

void BrittleUpstreams::setRouters(std::span<const base::Endpoint> routers, const base::Endpoint &self, std::uint32_t count)
{
    (void)m_routers.setRouters(routers, self, count);
}

bool BrittleUpstreams::observe(const UpstreamKey &upstream, std::optional<std::uint32_t> rejections, base::TimePoint sentAt, base::TimePoint now)
{
    return m_notices.observe(upstream, rejections ? std::min(*rejections, MaxRejections) + 1 : 0, sentAt, now);
}

bool BrittleUpstreams::apply(const UpstreamNotice &notice, base::TimePoint now)
{
    return m_notices.apply(notice, now);
}

void BrittleUpstreams::onListed(const UpstreamKey &upstream)
{
    m_notices.onListed(upstream);
}

void BrittleUpstreams::removeOutdated(base::TimePoint now)
{
    m_notices.removeOutdated(now);
    for (auto &[idHash, use] : m_uses) {
        removeOld(use, now);
    }
    std::erase_if(m_uses, [this](const auto &it) {
        const bool isUnused = it.second.risks.empty() && it.second.recent.empty();
        return isUnused && m_notices.value({it.first, it.second.startTimeMs}) == 0;
    });
}

const BrittleUpstreams::Use *BrittleUpstreams::findUse(const UpstreamKey &upstream) const
{
    const auto it = m_uses.find(upstream.idHash);
    return it != m_uses.end() && it->second.startTimeMs == upstream.startTimeMs ? &it->second : nullptr;
}

BrittleUpstreams::Use &BrittleUpstreams::findOrAddUse(const UpstreamKey &upstream, base::TimePoint now)
{
    if (m_uses.size() >= MaxUses) {
        removeOutdated(now);
    }
    Use &use = m_uses[upstream.idHash];
    if (use.startTimeMs != upstream.startTimeMs) {
        use = Use{};
        use.startTimeMs = upstream.startTimeMs;
    }
    removeOld(use, now);
    return use;
}

void BrittleUpstreams::removeOld(Use &use, base::TimePoint now)
{
    while (!use.risks.empty() && now - use.risks.front() >= Window) {
        use.risks.pop_front();
    }
    while (!use.recent.empty() && now - use.recent.front().at >= ReportDelay) {
        use.recent.pop_front();
    }
}

double BrittleUpstreams::partOf(std::uint64_t idHash, double room, double need) const
{
    if (need <= 0 || room < need) {
        return 0;
    }
    const auto parts = static_cast<std::uint32_t>(std::min(static_cast<double>(m_routers.routers()), room / need));
    return m_routers.rank(idHash) < parts ? std::floor(room / parts / need) * need : 0;
}

bool BrittleUpstreams::isCertain(std::uint64_t idHash, const CapacityUse &use, double recent, bool isHeard) const
{
    // A request that needs more than all there is runs alone.
    const double need = std::min(use.need, use.capacity);
    if (use.own + use.others + need > use.capacity) {
        return false;
    }
    const double kept = partOf(idHash, use.capacity * (isHeard ? ReservedShare : 1), need);
    if (use.own + need <= kept || !isHeard) {
        return use.own + need <= kept;
    }
    // The others count this router with what is kept for it, or with what it had when reports were last due.
    const double counted = std::max(kept, use.own - recent);
    return use.own + need <= counted + partOf(idHash, use.capacity - use.reserved - counted, need);
}

bool BrittleUpstreams::isBelowRejection(const Use &use, std::uint32_t rejections, double underWay, base::TimePoint now) const
{
    if (!use.maxUnderWay) {
        return true;
    }
    // Each router adds one in this time, so that all of them together cause fewer rejections than are risked.
    const double perWindow = std::max(1.0, static_cast<double>(riskedRejections(rejections)));
    const double interval = base::toSeconds(Window) * std::max(1.0, m_routers.routers() / perWindow);
    const auto added = static_cast<std::uint64_t>(base::toSeconds(now - use.rejectedAt) / interval);
    return underWay < static_cast<double>(*use.maxUnderWay + added);
}

std::uint32_t BrittleUpstreams::maxRisks(std::uint64_t idHash, std::uint32_t rejections) const
{
    const std::uint32_t risks = riskedRejections(rejections);
    const std::uint32_t sharing = std::min(m_routers.routers(), risks);
    return m_routers.rankFromEnd(idHash) < sharing ? risks / sharing : 0;
}

Room BrittleUpstreams::room(const UpstreamKey &upstream, std::uint32_t rejections, const CapacityUse &slots, const CapacityUse &memory, bool isHeard,
                            base::TimePoint now) const
{
    double recentRequests = 0;
    double recentTokens = 0;
    std::size_t risks = 0;
    const Use *use = findUse(upstream);
    if (use != nullptr) {
        for (const Sent &sent : use->recent) {
            const bool isRecent = now - sent.at < ReportDelay;
            recentRequests += isRecent ? 1 : 0;
            recentTokens += isRecent ? static_cast<double>(sent.memoryTokens) : 0;
        }
        risks = static_cast<std::size_t>(std::count_if(use->risks.begin(), use->risks.end(), [now](base::TimePoint at) {
            return now - at < Window;
        }));
    }
    const bool isBelow = use == nullptr || isBelowRejection(*use, rejections, slots.own, now);
    // Requests that have ended no longer use anything.
    const bool fits = slots.capacity > 0 && isCertain(upstream.idHash, slots, std::min(recentRequests, slots.own), isHeard)
                      && (memory.capacity == 0 || isCertain(upstream.idHash, memory, std::min(recentTokens, memory.own), isHeard));
    if (isBelow && fits) {
        return Room::Certain;
    }
    return risks < maxRisks(upstream.idHash, rejections) ? Room::Risk : Room::None;
}

bool BrittleUpstreams::isForOthers(const UpstreamKey &upstream, std::uint32_t rejections, double slots) const
{
    return maxRisks(upstream.idHash, rejections) == 0 && partOf(upstream.idHash, slots, 1) == 0;
}

void BrittleUpstreams::onRequest(const UpstreamKey &upstream, Room room, std::uint64_t memoryTokens, base::TimePoint now)
{
    Use &use = findOrAddUse(upstream, now);
    use.recent.push_back({now, memoryTokens});
    if (room == Room::Risk) {
        use.risks.push_back(now);
    }
}

void BrittleUpstreams::onRejected(const UpstreamKey &upstream, Room room, std::uint32_t underWay, base::TimePoint now)
{
    Use &use = findOrAddUse(upstream, now);
    ++use.rejected;
    use.maxUnderWay = underWay;
    use.rejectedAt = now;
    if (room != Room::Risk && use.risks.size() < MaxRejections) {
        use.risks.push_back(now);
    }
}

std::optional<std::uint32_t> BrittleUpstreams::rejections(const UpstreamKey &upstream) const
{
    const std::uint32_t value = m_notices.value(upstream);
    return value > 0 ? std::optional(value - 1) : std::nullopt;
}

std::uint64_t BrittleUpstreams::rejected(const UpstreamKey &upstream) const
{
    const Use *use = findUse(upstream);
    return use != nullptr ? use->rejected : 0;
}

std::uint32_t BrittleUpstreams::routers() const
{
    return m_routers.routers();
}

bool BrittleUpstreams::isEmpty() const
{
    return m_notices.isEmpty();
}

std::size_t BrittleUpstreams::size() const
{
    return m_notices.size();
}

std::vector<UpstreamNotice> BrittleUpstreams::takeChanges()
{
    return m_notices.takeChanges();
}

std::vector<UpstreamNotice> BrittleUpstreams::all() const
{
    return m_notices.all();
}

} // namespace carawaylatch::proxy
