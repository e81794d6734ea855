// Socket setup shared by connections to callers, upstreams and other routers.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

using Tcp = boost::asio::ip::tcp;

// Disables Nagle's algorithm, and lets the kernel end a connection whose peer has
// acknowledged nothing for `ackTimeout`, whether data is in flight or it is idle.
void setSocketOptions(Tcp::socket &socket, base::Duration ackTimeout);

// Opens, binds and listens. Unavailable if the address is in use or not local to this VM.
[[nodiscard]] base::Result<void> openAcceptor(Tcp::acceptor &acceptor, const base::Endpoint &endpoint);

// Lets the system ignore new connections, while handshakes under way are completed.
void refuseConnections(Tcp::acceptor &acceptor);

} // namespace carawaylatch::proxy
