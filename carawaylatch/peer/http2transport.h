// PeerTransport over HTTP/2 (nghttp2, prior knowledge, plain TCP): a message is a
// POST on a stream of its own, its answer says whether it was taken.
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
    base::Endpoint listen; // port zero lets the system choose
    std::string key;
    std::uint32_t maxConnections = 64; // own ones; beyond it the one idle longest is closed
    std::size_t maxQueuedBytes = 4'000'000; // for one peer; beyond it messages are dropped
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
