// A bounded buffer: one mutex and one condition variable, on which both threads wait.
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
    m_hasStarted = true;
    m_phase = Phase::Open;
    m_changed.notify_all();
    return m_isCallerDisconnected ? relay::CallerState::Gone : relay::CallerState::Present;
}

relay::CallerState StreamBridge::token(std::uint64_t index, std::string_view text)
{
    const std::string event = encodeTokenEvent(m_identity, index, text);
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] {
        return m_buffer.size() < MaxBufferedBytes || m_isCallerDisconnected;
    });
    if (m_isCallerDisconnected) {
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
    m_hasStarted = true;
    m_phase = Phase::Complete;
    m_changed.notify_all();
}

void StreamBridge::abort(const base::Error &error)
{
    const std::lock_guard lock(m_mutex);
    m_error = error;
    if (m_hasStarted) {
        m_buffer += encodeErrorEvent(error);
    }
    m_phase = Phase::Failed;
    m_changed.notify_all();
}

relay::CallerState StreamBridge::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_isCallerDisconnected ? relay::CallerState::Gone : relay::CallerState::Present;
}

StreamBridge::StartResult StreamBridge::waitForStart()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] {
        return m_phase != Phase::Waiting;
    });
    return m_hasStarted ? StartResult::Started : StartResult::Refused;
}

const base::Error &StreamBridge::error() const
{
    const std::lock_guard lock(m_mutex);
    return *m_error;
}

std::string StreamBridge::takeBuffered(base::Duration timeout, Phase &phase)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [this] {
        return !m_buffer.empty() || m_phase == Phase::Complete || m_phase == Phase::Failed;
    });
    phase = m_phase;
    m_changed.notify_all();
    return std::exchange(m_buffer, {});
}

void StreamBridge::onCallerDisconnected()
{
    const std::lock_guard lock(m_mutex);
    m_isCallerDisconnected = true;
    m_changed.notify_all();
}

} // namespace carawaylatch::http
