// Each message is offered to all handlers; there are only about a dozen.
#include "carawaylatch/router/peerbus.h"

namespace carawaylatch::router
{

PeerBus::PeerBus(peer::PeerTransport &transport, base::EventLoop &loop)
    : m_transport(transport)
    , m_loop(loop)
{
}

void PeerBus::setResolver(Resolver resolver)
{
    m_resolver = std::move(resolver);
}

void PeerBus::send(const base::RouterId &to, const peer::PeerMessage &message)
{
    const base::Endpoint endpoint = m_resolver ? m_resolver(to) : base::Endpoint{};
    if (endpoint.port != 0) {
        m_transport.send(endpoint, message);
    }
}

void PeerBus::send(const base::Endpoint &to, const peer::PeerMessage &message)
{
    m_transport.send(to, message);
}

void PeerBus::deliver(const peer::PeerEnvelope &envelope)
{
    m_loop.post([this, envelope](base::TimePoint now) {
        for (const auto &it : m_handlers) {
            it(envelope, now);
        }
    });
}

} // namespace carawaylatch::router
