// Graceful shutdown of a router, as a state machine without I/O.
//
// The router first reports not ready, so that the load balancer stops sending;
// requests that still arrive within the balancer's lag are served. Then new
// requests are refused, hot state is sent to a peer, every open stream is finished,
// and the process exits. Streams are aborted only if an operator sends a second
// signal.
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
    NotReady, // the load balancer may still send requests
    Refusing, // new requests are refused as not run; hot state is handed over
    Finishing, // waits for open streams to finish, without a timeout
    Departing, // peers are notified
    Exited,
};
constexpr ShutdownStep AllShutdownSteps[] = {ShutdownStep::Running,   ShutdownStep::NotReady,  ShutdownStep::Refusing,
                                             ShutdownStep::Finishing, ShutdownStep::Departing, ShutdownStep::Exited};

enum class ShutdownEvent {
    Signal, // the first starts the shutdown, the second aborts open streams
    Tick,
    HandedOver, // the hot state was sent, or there is no peer to send it to
    StreamsChanged, // the number of open streams changed
    Departed, // peers were notified
};
constexpr ShutdownEvent AllShutdownEvents[] = {ShutdownEvent::Signal, ShutdownEvent::Tick, ShutdownEvent::HandedOver, ShutdownEvent::StreamsChanged,
                                               ShutdownEvent::Departed};

enum class ShutdownAction {
    BecomeNotReady, // fail /readyz and announce Leaving to the members
    RefuseRequests, // new ones and those still queued
    HandOver, // send hot state to a peer, then report HandedOver
    AbortStreams, // on the second signal
    Depart, // notify peers, then report Departed
    Exit,
};

struct ShutdownOptions
{
    base::Duration drainLag = base::seconds{2}; // until the load balancer has seen that the router is not ready
    base::Duration handOverTimeout = base::seconds{2}; // for sending the hot state to a peer
    base::Duration departTimeout = base::milliseconds{500}; // for the last message to the peers
};

class Shutdown
{
public:
    explicit Shutdown(ShutdownOptions options);

    // `openStreams` counts requests in flight, queued ones included.
    void onEvent(ShutdownEvent event, std::size_t openStreams, base::TimePoint now);
    [[nodiscard]] std::vector<ShutdownAction> takeActions();
    [[nodiscard]] ShutdownStep step() const;
    // When to report Tick next if no other event occurs before; nothing if no timeout runs.
    [[nodiscard]] std::optional<base::TimePoint> nextDeadline() const;

private:
    void enter(ShutdownStep step, base::TimePoint now);
    void advance(std::size_t openStreams, base::TimePoint now);

    ShutdownOptions m_options;
    ShutdownStep m_step = ShutdownStep::Running;
    base::TimePoint m_stepSince; // when m_step was entered
    bool m_isHandedOver = false;
    bool m_isDeparted = false;
    bool m_isForced = false;
    std::vector<ShutdownAction> m_actions;
};

} // namespace carawaylatch::handover
