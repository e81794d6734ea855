// The planned stop of a router, as a state machine without I/O.
//
// Not ready first, so that the balancer sends no more; requests that still come
// within its lag are served. Then no new requests, hot state goes to a peer, every
// open stream is finished, and the process ends. Nothing is cut unless an
// operator sends a second signal.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "carawaylatch/base/time.h"

namespace carawaylatch::handover
{

enum class ShutdownStep {
    Running,
    NotReady, // the balancer may still send
    Refusing, // new requests are refused as not run; hot state is handed over
    Finishing, // open streams run on
    Departing, // peers are told
    Exited,
};
constexpr ShutdownStep AllShutdownSteps[] = {ShutdownStep::Running,   ShutdownStep::NotReady,  ShutdownStep::Refusing,
                                             ShutdownStep::Finishing, ShutdownStep::Departing, ShutdownStep::Exited};

enum class ShutdownEvent {
    Signal, // the first begins the stop, the second cuts what is open
    Tick,
    HandedOver, // a peer has the hot state, or none would take it
    StreamsChanged, // see the count
    Departed, // peers were told
};
constexpr ShutdownEvent AllShutdownEvents[] = {ShutdownEvent::Signal, ShutdownEvent::Tick, ShutdownEvent::HandedOver, ShutdownEvent::StreamsChanged,
                                               ShutdownEvent::Departed};

enum class ShutdownAction {
    BecomeNotReady, // /readyz says no; membership says Leaving
    RefuseRequests, // callers and peers
    HandOver, // send hot state to a peer, then report HandedOver
    AbortStreams, // an operator's second signal
    Depart, // tell peers, then report Departed
    Exit,
};

struct ShutdownOptions
{
    base::Duration drainLag = base::seconds{2}; // of the balancer
    base::Duration handOverTimeout = base::seconds{2}; // longest wait for a peer to take the hot state
    base::Duration departTimeout = base::milliseconds{500}; // longest wait for the last message
};

class Shutdown
{
public:
    explicit Shutdown(ShutdownOptions options);

    // `openStreams` counts requests in flight, queued ones included.
    void onEvent(ShutdownEvent event, std::size_t openStreams, base::TimePoint now);
    [[nodiscard]] std::vector<ShutdownAction> takeActions();
    [[nodiscard]] ShutdownStep step() const;
    // When to report Tick next, if nothing else happens.
    [[nodiscard]] std::optional<base::TimePoint> nextDeadline() const;

private:
    void enter(ShutdownStep step, base::TimePoint now);
    void advance(std::size_t openStreams, base::TimePoint now);

    ShutdownOptions m_options;
    ShutdownStep m_step = ShutdownStep::Running;
    base::TimePoint m_stepSince; // of the step
    bool m_isHandedOver = false;
    bool m_isDeparted = false;
    bool m_isForced = false;
    std::vector<ShutdownAction> m_actions;
};

} // namespace carawaylatch::handover
