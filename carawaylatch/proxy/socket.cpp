// A broken network path sends no reset. TCP_USER_TIMEOUT bounds how long sent data may
// stay unacknowledged, and keep-alive probes detect a dead peer on a connection that
// only reads.
#include "carawaylatch/proxy/socket.h"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <iterator>

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

void refuseConnections(Tcp::acceptor &acceptor)
{
    constexpr std::uint32_t FlagsOffset = 13; // in the TCP header
    constexpr std::uint32_t SynFlag = 0x02;
    constexpr std::uint32_t WholeSegment = 0xffffffff;
    sock_filter code[] = {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset), BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, SynFlag, 0, 1), BPF_STMT(BPF_RET | BPF_K, 0),
                          BPF_STMT(BPF_RET | BPF_K, WholeSegment)};
    const sock_fprog program{std::size(code), code};
    // An error is ignored: the listener then takes connections until it closes.
    (void)::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
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
