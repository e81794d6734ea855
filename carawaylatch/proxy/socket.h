// Socket options that both sides of the plane use.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

using Tcp = boost::asio::ip::tcp;

// Sends small writes at once, and ends a connection whose peer has acknowledged
// nothing for `silence`, whether bytes are under way or it is idle.
void setSocketOptions(Tcp::socket &socket, base::Duration ackTimeout);

// Opens, binds and listens. Unavailable if the address is taken or none of this VM.
[[nodiscard]] base::Result<void> openAcceptor(Tcp::acceptor &acceptor, const base::Endpoint &endpoint);

} // namespace carawaylatch::proxy
