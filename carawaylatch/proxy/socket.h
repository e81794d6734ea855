// Socket setup shared by connections to callers, upstreams and other routers.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

using Tcp = boost::asio::ip::tcp;

// When the kernel sends keep-alive probes on a connection, and when it ends one whose peer acknowledges nothing.
struct SilenceLimits
{
    base::seconds idle; // from the last bytes received to the first probe
    base::seconds interval; // between probes
    base::Duration userTimeout; // for data that was sent; also decides when probes give up
};

// Returns the limits that end a connection `detection` after its last bytes, at least two seconds.
[[nodiscard]] SilenceLimits silenceLimits(base::seconds detection);

// Any silence of the peer that is shorter than this is survived by an idle connection.
[[nodiscard]] base::Duration toleratedSilence(const SilenceLimits &limits);

// Disables Nagle's algorithm and sets the limits.
void setSocketOptions(Tcp::socket &socket, const SilenceLimits &limits);

// Bytes that were sent on the socket and that the peer's system has not acknowledged.
[[nodiscard]] std::size_t unacknowledgedBytes(int descriptor);

// Returns the error of the connection that no call has reported yet, or an empty text. The system then forgets it.
[[nodiscard]] std::string takeError(int descriptor);

// True if the peer has ended an idle connection, or has sent bytes that nobody asked for. Its end may still be on the way.
[[nodiscard]] bool hasEnded(int descriptor);

// From when a request is written to a kept connection until its end is known, if the peer had closed it while it was idle. A
// request that may be sent again is sent on a new connection then: the end says nothing about the peer (RFC 9110, 9.2.2). A
// later end is another matter, since a response may have been lost with it.
constexpr base::Duration MaxCloseDelay = base::milliseconds{100};
// True if the peer has ended the connection.
[[nodiscard]] bool isClosedByPeer(const boost::system::error_code &ec);

// Opens, binds and listens. Unavailable if the address is in use or not local to this VM.
[[nodiscard]] base::Result<void> openAcceptor(Tcp::acceptor &acceptor, const base::Endpoint &endpoint);

// Lets the system ignore new connections, while handshakes under way are completed.
void refuseConnections(Tcp::acceptor &acceptor);

} // namespace carawaylatch::proxy
