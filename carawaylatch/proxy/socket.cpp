// A broken network path sends no reset. TCP_USER_TIMEOUT bounds how long sent data may
// stay unacknowledged, and keep-alive probes detect a dead peer on a connection that
// only reads.
//
// Linux checks at each probe's time, and a user timeout replaces the count of probes: the connection ends at the first
// check at which its last bytes are older than the user timeout and a probe is unanswered. A peer that was silent in
// between is saved by the last probe before that check, if it is sent after the silence.
#include "carawaylatch/proxy/socket.h"

#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>

#include <algorithm>
#include <cerrno>
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

constexpr int Backlog = 1024; // connections waiting to be accepted; many callers may connect at once

} // namespace

SilenceLimits silenceLimits(base::seconds detection)
{
    constexpr base::seconds ProbeInterval{1}; // the shortest that can be set
    SilenceLimits limits{ProbeInterval, ProbeInterval, {}};
    // Half an interval before the check that is meant, so that its own delay does not decide which one it is.
    limits.userTimeout = std::max(detection, limits.idle + limits.interval) - base::Duration(limits.interval) / 2;
    return limits;
}

base::Duration toleratedSilence(const SilenceLimits &limits)
{
    base::Duration lastProbe = limits.idle; // before the check that ends the connection
    while (lastProbe + limits.interval < limits.userTimeout) {
        lastProbe += limits.interval;
    }
    return lastProbe - limits.idle; // the silence may begin right before the first probe
}

void setSocketOptions(Tcp::socket &socket, const SilenceLimits &limits)
{
    // Errors are ignored: without an option the request's own timer still bounds the wait.
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(UserTimeoutOption(static_cast<int>(base::toMilliseconds(limits.userTimeout))), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IdleOption(static_cast<int>(limits.idle.count())), ignored);
    socket.set_option(IntervalOption(static_cast<int>(limits.interval.count())), ignored);
}

std::size_t unacknowledgedBytes(int descriptor)
{
    int bytes = 0;
    return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

std::string takeError(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error == 0) {
        return {};
    }
    return boost::system::error_code(error, boost::system::system_category()).message();
}

bool hasEnded(int descriptor)
{
    char byte = 0;
    const ssize_t n = ::recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool isClosedByPeer(const boost::system::error_code &ec)
{
    return ec == boost::asio::error::eof || ec == boost::asio::error::connection_reset || ec == boost::asio::error::broken_pipe;
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
