// Transitions of the graceful shutdown.
//
// Running -> NotReady on the first signal; -> Refusing after the load balancer's
// lag; -> Finishing once the hot state was handed over or on timeout; -> Departing
// when no stream is open; -> Exited when peers were notified or on timeout. A second
// signal before Departing aborts the open streams and ends the waits of NotReady and
// Refusing; it skips no step, so peers are always notified.
#include "carawaylatch/handover/shutdown.h"

#include <utility>

namespace carawaylatch::handover
{

using base::TimePoint;

Shutdown::Shutdown(ShutdownOptions options)
    : m_options(options)
{
}

void Shutdown::onEvent(ShutdownEvent event, std::size_t openStreams, TimePoint now)
{
    switch (event) {
    case ShutdownEvent::Signal:
        if (m_step == ShutdownStep::Running) {
            enter(ShutdownStep::NotReady, now);
        } else if (!m_isForced && m_step != ShutdownStep::Departing && m_step != ShutdownStep::Exited) {
            m_isForced = true;
            m_actions.push_back(ShutdownAction::AbortStreams);
        }
        break;
    case ShutdownEvent::HandedOver:
        m_isHandedOver = m_isHandedOver || m_step == ShutdownStep::Refusing;
        break;
    case ShutdownEvent::Departed:
        m_isDeparted = m_isDeparted || m_step == ShutdownStep::Departing;
        break;
    case ShutdownEvent::Tick:
    case ShutdownEvent::StreamsChanged:
        break;
    }
    advance(openStreams, now);
}

void Shutdown::enter(ShutdownStep step, TimePoint now)
{
    m_step = step;
    m_stepSince = now;
    switch (step) {
    case ShutdownStep::NotReady:
        m_actions.push_back(ShutdownAction::BecomeNotReady);
        break;
    case ShutdownStep::Refusing:
        m_actions.push_back(ShutdownAction::RefuseRequests);
        m_actions.push_back(ShutdownAction::HandOver);
        break;
    case ShutdownStep::Departing:
        m_actions.push_back(ShutdownAction::Depart);
        break;
    case ShutdownStep::Exited:
        m_actions.push_back(ShutdownAction::Exit);
        break;
    case ShutdownStep::Running:
    case ShutdownStep::Finishing:
        break;
    }
}

void Shutdown::advance(std::size_t openStreams, TimePoint now)
{
    if (m_step == ShutdownStep::NotReady && (m_isForced || now >= m_stepSince + m_options.drainLag)) {
        enter(ShutdownStep::Refusing, now);
    }
    if (m_step == ShutdownStep::Refusing && (m_isForced || m_isHandedOver || now >= m_stepSince + m_options.handOverTimeout)) {
        enter(ShutdownStep::Finishing, now);
    }
    if (m_step == ShutdownStep::Finishing && openStreams == 0) {
        enter(ShutdownStep::Departing, now);
    }
    if (m_step == ShutdownStep::Departing && (m_isDeparted || now >= m_stepSince + m_options.departTimeout)) {
        enter(ShutdownStep::Exited, now);
    }
}

std::vector<ShutdownAction> Shutdown::takeActions()
{
    return std::exchange(m_actions, {});
}

ShutdownStep Shutdown::step() const
{
    return m_step;
}

std::optional<TimePoint> Shutdown::nextDeadline() const
{
    switch (m_step) {
    case ShutdownStep::NotReady:
        return m_stepSince + m_options.drainLag;
    case ShutdownStep::Refusing:
        return m_stepSince + m_options.handOverTimeout;
    case ShutdownStep::Departing:
        return m_stepSince + m_options.departTimeout;
    case ShutdownStep::Running:
    case ShutdownStep::Finishing:
    case ShutdownStep::Exited:
        break;
    }
    return {};
}

} // namespace carawaylatch::handover
