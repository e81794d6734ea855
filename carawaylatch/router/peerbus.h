// Messages to other routers by name, and handlers by kind of message.
//
// Controllers send to router ids; the member controller knows where these are.
// Messages arrive on the control thread. Control thread only, but for deliver().
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
    // Finds where a router listens; an endpoint with port 0 if that isn't known.
    using Resolver = std::function<base::Endpoint(const base::RouterId &router)>;

    // Both outlive the bus.
    PeerBus(peer::PeerTransport &transport, base::EventLoop &loop);

    void setResolver(Resolver resolver);
    // Sends to a router; dropped if it isn't known.
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

    // Hands a message to the control thread. Any thread.
    void deliver(const peer::PeerEnvelope &envelope);

private:
    using Dispatcher = std::function<void(const peer::PeerEnvelope &envelope, base::TimePoint now)>;

    peer::PeerTransport &m_transport;
    base::EventLoop &m_loop;
    Resolver m_resolver;
    std::vector<Dispatcher> m_handlers; // complete before messages arrive
};

} // namespace carawaylatch::router
