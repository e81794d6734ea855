// One mutex, one condition variable, both sides wake each other.
#include "carawaylatch/http/streambridge.h"

#include <utility>

namespace carawaylatch::http
{

StreamBridge::StreamBridge(CompletionIdentity identity)
    : m_identity(std::move(identity))
{
}

relay::CallerState StreamBridge::begin(const relay::AttemptPlan &)
{
    const std::lock_guard lock(m_mutex);
    m_hasBegun = true;
    m_phase = Phase::Open;
    m_changed.notify_all();
    return m_isCallerGone ? relay::CallerState::Gone : relay::CallerState::Present;
}

relay::CallerState StreamBridge::token(std::uint64_t index, std::string_view text)
{
    const std::string event = encodeTokenEvent(m_identity, index, text);
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] {
        return m_buffer.size() < MaxBufferedBytes || m_isCallerGone;
    });
    if (m_isCallerGone) {
        return relay::CallerState::Gone;
    }
    m_buffer += event;
    m_changed.notify_all();
    return relay::CallerState::Present;
}

void StreamBridge::finish(const relay::DoneEvent &done)
{
    const std::lock_guard lock(m_mutex);
    m_buffer += encodeFinalEvent(m_identity, done);
    m_hasBegun = true;
    m_phase = Phase::Whole;
    m_changed.notify_all();
}

void StreamBridge::abort(const base::Error &error)
{
    const std::lock_guard lock(m_mutex);
    m_error = error;
    if (m_hasBegun) {
        m_buffer += encodeErrorEvent(error);
    }
    m_phase = Phase::Broken;
    m_changed.notify_all();
}

relay::CallerState StreamBridge::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_isCallerGone ? relay::CallerState::Gone : relay::CallerState::Present;
}

StreamBridge::Opening StreamBridge::waitForOpening()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] {
        return m_phase != Phase::Waiting;
    });
    return m_hasBegun ? Opening::Stream : Opening::Refused;
}

const base::Error &StreamBridge::error() const
{
    const std::lock_guard lock(m_mutex);
    return *m_error;
}

std::string StreamBridge::take(base::Duration atMost, Phase &phase)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, atMost, [this] {
        return !m_buffer.empty() || m_phase == Phase::Whole || m_phase == Phase::Broken;
    });
    phase = m_phase;
    m_changed.notify_all();
    return std::exchange(m_buffer, {});
}

void StreamBridge::callerLeft()
{
    const std::lock_guard lock(m_mutex);
    m_isCallerGone = true;
    m_changed.notify_all();
}

} // namespace carawaylatch::http
