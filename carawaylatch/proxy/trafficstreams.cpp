// The software of streams, for trafficplane.h: what is stored, told to other routers and heard from them.
#include "carawaylatch/proxy/trafficplane.h"

#include <utility>

namespace carawaylatch::proxy
{

StreamOrigins &TrafficPlane::origins()
{
    return m_origins;
}

// The routers' reports come first: they tell of a stream that other routers sent too.
std::optional<OriginAnswer> TrafficPlane::originOf(std::uint64_t stream) const
{
    if (auto told = m_peerStreams.find(stream, now())) {
        return told;
    }
    const auto software = m_origins.find(stream, now());
    return software ? std::optional(OriginAnswer{OriginVerdict::Known, *software}) : std::nullopt;
}

void TrafficPlane::storeStreams(base::TimePoint at)
{
    std::vector<StreamOrigin> due = m_origins.takeDue(at);
    if (!due.empty()) {
        m_observer.onStreamsSent(std::move(due));
    }
}

StreamReport TrafficPlane::takeStreamChanges()
{
    m_peerStreams.onSent(m_origins.takeUntold(now()), now());
    return m_peerStreams.takeChanges(now());
}

StreamReport TrafficPlane::fullStreamReport() const
{
    return m_peerStreams.fullReport(now());
}

void TrafficPlane::onStreamReport(const StreamReport &report)
{
    m_peerStreams.apply(report, now());
}

} // namespace carawaylatch::proxy
