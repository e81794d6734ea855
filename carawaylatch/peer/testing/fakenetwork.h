// In-memory PeerTransport with the contract of the real one, on a virtual network that
// can delay, lose, duplicate and partition messages.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "carawaylatch/peer/authenticatedcodec.h"
#include "carawaylatch/peer/transport.h"
#include "testing/virtualnetwork.h"

namespace carawaylatch::peer::testing
{

class FakeTransport;

// Transports by endpoint. Messages pass through the same codec as in the real
// transport.
struct FakeNetwork
{
    ::carawaylatch::testing::VirtualNetwork wire{1};
    std::map<base::Endpoint, FakeTransport *> transports;
    std::uint16_t lastPort = 1'000;
};

class FakeTransport : public PeerTransport
{
public:
    // Network partitions are between groups.
    FakeTransport(FakeNetwork &network, const PeerIdentity &self, const std::string &key, std::uint32_t group = 0, std::uint16_t port = 0)
        : m_network(network)
        , m_codec(self, key)
        , m_endpoint{"127.0.0.1", port != 0 ? port : ++network.lastPort}
        , m_group(group)
    {
    }
    ~FakeTransport() override
    {
        stop();
    }
    FakeTransport(const FakeTransport &) = delete;
    FakeTransport &operator=(const FakeTransport &) = delete;

    [[nodiscard]] base::Result<void> start(Handler handler) override
    {
        m_handler = std::move(handler);
        m_network.transports[m_endpoint] = this;
        return base::ok();
    }
    void stop() final
    {
        const auto it = m_network.transports.find(m_endpoint);
        if (it != m_network.transports.end() && it->second == this) {
            m_network.transports.erase(it);
        }
    }
    void send(const base::Endpoint &to, const PeerMessage &message) override
    {
        sendBytes(to, m_codec.encode(message));
    }
    // Sends raw bytes without encoding them, as an unauthenticated sender could.
    void sendBytes(const base::Endpoint &to, const std::string &bytes)
    {
        const auto target = m_network.transports.find(to);
        if (target == m_network.transports.end() || bytes.size() > MaxMessageBytes) {
            ++m_counters.dropped;
            return;
        }
        ++m_counters.sentMessages;
        m_counters.sentBytes += bytes.size();
        m_network.wire.send(m_group, target->second->m_group, [&network = m_network, to, bytes] {
            if (const auto it = network.transports.find(to); it != network.transports.end()) {
                it->second->receive(bytes);
            }
        });
    }
    // Counts a message that is rejected for its size.
    void refuseTooLarge()
    {
        ++m_counters.refused.at(static_cast<std::size_t>(PeerRefusal::TooLarge));
    }
    [[nodiscard]] base::Endpoint endpoint() const override
    {
        return m_endpoint;
    }
    [[nodiscard]] PeerCounters counters() const override
    {
        return m_counters;
    }

private:
    void receive(const std::string &bytes)
    {
        auto decoded = m_codec.decode(bytes);
        if (const auto *refusal = std::get_if<PeerRefusal>(&decoded)) {
            ++m_counters.refused.at(static_cast<std::size_t>(*refusal));
            return;
        }
        ++m_counters.receivedMessages;
        m_counters.receivedBytes += bytes.size();
        m_handler(std::get<PeerEnvelope>(decoded));
    }

    FakeNetwork &m_network;
    AuthenticatedCodec m_codec;
    base::Endpoint m_endpoint;
    std::uint32_t m_group;
    Handler m_handler;
    PeerCounters m_counters;
};

} // namespace carawaylatch::peer::testing
