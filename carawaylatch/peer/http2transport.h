// PeerTransport over HTTP/2 (nghttp2, prior knowledge, plain TCP). Each message is a
// POST request on its own stream; the response status indicates whether the receiver
// accepted it.
#pragma once

#include <memory>
#include <string>

#include "carawaylatch/base/time.h"
#include "carawaylatch/peer/transport.h"

namespace carawaylatch::peer
{

struct Http2TransportOptions
{
    PeerIdentity self;
    base::Endpoint listen; // port 0 lets the system choose a free port
    std::string key; // HMAC key shared by all routers of the fleet
    std::uint32_t maxConnections = 64; // client connections; above it the least recently used one is closed
    std::size_t maxQueuedBytes = 4'000'000; // per peer; above it messages are dropped
    base::Duration connectTimeout = base::seconds{1};
};

class Http2Transport : public PeerTransport
{
public:
    explicit Http2Transport(Http2TransportOptions options);
    ~Http2Transport() override;

    [[nodiscard]] base::Result<void> start(Handler handler) override;
    void stop() override;
    void send(const base::Endpoint &to, const PeerMessage &message) override;
    [[nodiscard]] base::Endpoint endpoint() const override;
    [[nodiscard]] PeerCounters counters() const override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::peer
