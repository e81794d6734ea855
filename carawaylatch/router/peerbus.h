// Message bus between routers: sends by router id, dispatches by message type.
//
// The member controller resolves router ids to endpoints. Handlers are called on the
// control thread. Control thread only, except for deliver().
#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "carawaylatch/base/eventloop.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/peer/transport.h"

namespace carawaylatch::router
{

class PeerBus
{
public:
    // Returns the endpoint of a router; port 0 if it is not known.
    using Resolver = std::function<base::Endpoint(const base::RouterId &router)>;

    // Both outlive the bus.
    PeerBus(peer::PeerTransport &transport, base::EventLoop &loop);

    void setResolver(Resolver resolver);
    // Sends to a router; the message is dropped if its endpoint is not known.
    void send(const base::RouterId &to, const peer::PeerMessage &message);
    void send(const base::Endpoint &to, const peer::PeerMessage &message);

    // Calls `handler(sender, message, now)` for each message of type Message.
    template <typename Message, typename Handler>
    void subscribe(Handler handler)
    {
        m_handlers.push_back([handler = std::move(handler)](const peer::PeerEnvelope &envelope, base::TimePoint now) {
            if (const auto *message = std::get_if<Message>(&envelope.message)) {
                handler(envelope.sender, *message, now);
            }
        });
    }

    // Posts a received message to the control thread. Thread-safe.
    void deliver(const peer::PeerEnvelope &envelope);

private:
    using Dispatcher = std::function<void(const peer::PeerEnvelope &envelope, base::TimePoint now)>;

    peer::PeerTransport &m_transport;
    base::EventLoop &m_loop;
    Resolver m_resolver;
    std::vector<Dispatcher> m_handlers; // not modified after messages can arrive
};

} // namespace carawaylatch::router
