// The planned stop of a traffic plane.
//
// Steps: not ready, while the load balancer still sends connections; then no new
// connections; then no listener, and idle connections close; then the end, once the last response is written.
// Requests that have no response shortly before the end of the grace period get an
// explicit one. poll() is called at a fixed interval by the owner of the event loop.
#pragma once

#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

class TrafficPlane;

struct TrafficStopSettings
{
    base::Duration balancerDelay; // from not ready until the load balancer sends nothing more
    base::Duration grace; // from the start of the stop to its end at the latest
    base::Duration answerReserve; // before the end, for writing the responses of requests that are cut off
};

enum class StopStep {
    Serving, // the load balancer may still send connections
    Refusing, // no new connections; those whose handshake is under way are established
    Leaving, // requests in progress are finished
    Answering, // requests that are not finished have been given a response
    Complete,
};

class TrafficStop
{
public:
    // Begins the stop. The plane must outlive it.
    TrafficStop(TrafficPlane &plane, const TrafficStopSettings &settings, base::TimePoint now);

    // Moves on and returns the step that is reached.
    StopStep poll(base::TimePoint now);
    // Requests that did not end by themselves.
    [[nodiscard]] std::size_t cutRequests() const;
    [[nodiscard]] base::Duration duration(base::TimePoint now) const;

private:
    TrafficPlane &m_plane;
    const TrafficStopSettings m_settings;
    const base::TimePoint m_startedAt;
    StopStep m_step = StopStep::Serving;
    base::TimePoint m_refusingSince; // from StopStep::Refusing on
    std::size_t m_cutRequests = 0;
};

} // namespace carawaylatch::proxy
