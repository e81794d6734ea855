// RelayClient and RelaySource over HTTP/2 (peer::Http2Session) between routers, on the
// control thread's loop.
//
// A router has a connection for each kind of object to the reader that it polls, with one
// poll in flight.
#pragma once

#include <map>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "carawaylatch/gateway/watchrelay.h"
#include "carawaylatch/proxy/socket.h"

namespace carawaylatch::gateway
{

class Http2Relay : public RelayClient
{
public:
    // `self` is where other routers poll this one; port zero disables it.
    Http2Relay(boost::asio::io_context &loop, base::Endpoint self);
    ~Http2Relay() override;
    Http2Relay(const Http2Relay &) = delete;
    Http2Relay &operator=(const Http2Relay &) = delete;

    // Binds the address; polls are answered by `source`, which must outlive the loop.
    // Unavailable: the address is in use.
    [[nodiscard]] base::Result<void> listen(RelaySource &source);
    // The endpoint with the actual port if the settings leave it to the system.
    [[nodiscard]] base::Endpoint endpoint() const;

    [[nodiscard]] Awaitable<base::Result<RelayAnswer>> poll(base::Endpoint reader, RelayPoll poll, base::Duration timeout) override;
    void interrupt(const base::Endpoint &reader) override;
    void interrupt(ObjectKind kind) override;

private:
    class Channel;
    class Inbound;

    void accept();

    boost::asio::io_context &m_loop;
    const base::Endpoint m_self;
    RelaySource *m_source = nullptr;
    proxy::Tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptPause;
    std::map<ObjectKind, std::shared_ptr<Channel>> m_channels;
    std::set<std::shared_ptr<Inbound>> m_inbound;
};

} // namespace carawaylatch::gateway
