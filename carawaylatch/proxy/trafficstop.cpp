// The steps of trafficstop.h.
#include "carawaylatch/proxy/trafficstop.h"

#include <algorithm>

#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::proxy
{

namespace
{

// A connection whose handshake has begun is established within this time.
constexpr base::Duration HandshakeTime = base::milliseconds{40};

} // namespace

TrafficStop::TrafficStop(TrafficPlane &plane, const TrafficStopSettings &settings, base::TimePoint now)
    : m_plane(plane)
    , m_settings(settings)
    , m_startedAt(now)
{
    m_plane.beginStop();
}

StopStep TrafficStop::poll(base::TimePoint now)
{
    const base::Duration elapsed = duration(now);
    if (m_step == StopStep::Serving && elapsed >= std::min(m_settings.balancerDelay, m_settings.grace - m_settings.answerReserve)) {
        m_step = StopStep::Refusing;
        m_refusingSince = now;
        m_plane.refuseConnections();
        return m_step;
    }
    if (m_step == StopStep::Refusing && now - m_refusingSince >= HandshakeTime) {
        m_step = StopStep::Leaving;
        m_plane.beginLeaving();
    }
    if (m_step == StopStep::Leaving && elapsed >= m_settings.grace - m_settings.answerReserve) {
        m_step = StopStep::Answering;
        m_cutRequests = m_plane.endRequests();
    }
    const bool isFinishing = m_step == StopStep::Leaving || m_step == StopStep::Answering;
    if (isFinishing && (m_plane.closeIdle() == 0 || elapsed >= m_settings.grace)) {
        m_step = StopStep::Complete;
    }
    return m_step;
}

std::size_t TrafficStop::cutRequests() const
{
    return m_cutRequests;
}

base::Duration TrafficStop::duration(base::TimePoint now) const
{
    return now - m_startedAt;
}

} // namespace carawaylatch::proxy
