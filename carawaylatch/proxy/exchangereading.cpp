// Reading of a response by the pace of its caller: reading pauses while much is queued for the caller, and goes on once
// the caller has taken it, or as far as unreadresponses.h allows.
#include "carawaylatch/proxy/exchange.h"

#include <algorithm>
#include <utility>

#include "carawaylatch/proxy/trafficplane.h"
#include "carawaylatch/proxy/unreadresponses.h"

namespace carawaylatch::proxy
{

// Pauses reading if the caller has more to read than the response may hold.
void Exchange::limitReading()
{
    const std::size_t held = m_caller->queuedBytes();
    Attempt &attempt = *m_attempt;
    if (held <= m_plane.responseBufferBytes()) {
        if (attempt.unread) {
            static_cast<void>(mayReadOn()); // notes how much of its room is in use
        }
        return;
    }
    if (!attempt.unread) {
        attempt.unread = m_plane.unread().add(m_plane.now());
        m_unreadTimer = m_plane.timers().every(m_plane.now(), UnreadResponses::CheckInterval, [weak = weak_from_this()](base::TimePoint) {
            if (const auto self = weak.lock(); self && self->m_attempt && self->m_attempt->isReadingPaused && self->mayReadOn()) {
                self->continueReading();
            }
        });
    }
    if (!mayReadOn()) {
        pauseReading();
    }
}

// True if a response whose caller has not taken all may be read on into memory.
bool Exchange::mayReadOn()
{
    const UnreadResponses::Response response{m_caller->progressAt(), m_caller->queuedBytes()};
    const UnreadResponses::Memory memory{*m_plane.responseBytes(), m_plane.settings().maxBufferedResponseBytes};
    return response.held < m_plane.unread().ask(*m_attempt->unread, response, memory, m_plane.now());
}

void Exchange::pauseReading()
{
    Attempt &attempt = *m_attempt;
    attempt.connection->pauseReading();
    if (!std::exchange(attempt.isReadingPaused, true)) {
        trackerOf(attempt).onReadingPaused(*attempt.record);
    }
}

void Exchange::continueReading()
{
    resumeReading();
    m_attempt->connection->resumeReading();
}

void Exchange::onCallerDrained()
{
    if (!m_attempt) {
        return;
    }
    forgetUnread();
    if (m_attempt->isReadingPaused) {
        continueReading();
    }
}

// The response is not read beyond its caller's pace any more.
void Exchange::forgetUnread()
{
    if (const auto ticket = std::exchange(m_attempt->unread, std::nullopt)) {
        m_unreadTimer.cancel();
        m_plane.unread().remove(*ticket);
    }
}

// The time of the pause was the caller's, not the upstream's.
void Exchange::resumeReading()
{
    Attempt &attempt = *m_attempt;
    attempt.isReadingPaused = false;
    m_lastEventAt = m_plane.now();
    trackerOf(attempt).onReadingResumed(*attempt.record, m_lastEventAt);
}

} // namespace carawaylatch::proxy
