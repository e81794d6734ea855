// A broken network path sends no reset. TCP_USER_TIMEOUT bounds how long sent data may
// stay unacknowledged, and keep-alive probes detect a dead peer on a connection that
// only reads.
#include "carawaylatch/proxy/socket.h"

#include <netinet/tcp.h>

#include <algorithm>

#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::proxy
{

namespace
{

using UserTimeoutOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using IdleOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using IntervalOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using CountOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

constexpr int Backlog = 1024; // connections waiting to be accepted; many callers may connect at once

} // namespace

void setSocketOptions(Tcp::socket &socket, base::Duration ackTimeout)
{
    // Errors are ignored: without an option the request's own timer still bounds the wait.
    boost::system::error_code ignored;
    const int milliseconds = static_cast<int>(base::toMilliseconds(ackTimeout));
    const int seconds = std::max(1, milliseconds / 2000);
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(UserTimeoutOption(milliseconds), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IdleOption(seconds), ignored);
    socket.set_option(IntervalOption(seconds), ignored);
    socket.set_option(CountOption(2), ignored);
}

base::Result<void> openAcceptor(Tcp::acceptor &acceptor, const base::Endpoint &endpoint)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(endpoint.address, ec);
    const Tcp::endpoint local(address, endpoint.port);
    if (!ec) {
        acceptor.open(local.protocol(), ec);
    }
    if (!ec) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(local, ec);
    }
    if (!ec) {
        acceptor.listen(Backlog, ec);
    }
    if (ec) {
        return base::fail(base::ErrorKind::Unavailable, "can't listen on " + config::formatEndpoint(endpoint) + " (" + ec.message() + "); set a free address");
    }
    return base::ok();
}

} // namespace carawaylatch::proxy
