// Framing delimits responses; the echoed request id matches them to requests.
#include "carawaylatch/proxy/upstreamconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::proxy
{

namespace
{

// An upstream that acknowledges nothing for this long is unreachable. A sound one may fall silent for a second or so,
// and a request that must not be repeated has to survive that.
constexpr base::seconds SilenceDetection{4};
// Time for which an idle connection is expected to stay open if the upstream announces none.
constexpr base::Duration DefaultKeepAlive = base::milliseconds{800};
// Share of the announced idle time that is used, so that a request does not race with the close.
constexpr double KeepAliveReuseShare = 0.7;
// Between checks whether the upstream has acknowledged the request; SilenceDetection ends the wait.
constexpr base::Duration DeliveryCheckInterval = base::milliseconds{5};

} // namespace

UpstreamConnection::UpstreamConnection(TrafficPlane &plane, base::UpstreamId upstream, std::uint64_t startTimeMs)
    : m_plane(plane)
    , m_upstream(std::move(upstream))
    , m_startTimeMs(startTimeMs)
    , m_socket(plane.executor())
{
}

const base::UpstreamId &UpstreamConnection::upstream() const
{
    return m_upstream;
}

std::uint64_t UpstreamConnection::startTimeMs() const
{
    return m_startTimeMs;
}

const std::string &UpstreamConnection::requestId() const
{
    return m_requestId;
}

bool UpstreamConnection::isReused() const
{
    return m_isReused;
}

base::TimePoint UpstreamConnection::reusableUntil() const
{
    return m_reusableUntil;
}

void UpstreamConnection::connect(const base::Endpoint &endpoint, base::Duration timeout, std::function<void(std::string_view)> done)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(endpoint.address, ec);
    if (ec) {
        boost::asio::post(m_plane.executor(), [done = std::move(done)] {
            done("the endpoint is not an IP address");
        });
        return;
    }
    m_isConnecting = true;
    m_plane.reach().onConnecting(m_upstream, m_plane.now());
    const auto callback = std::make_shared<std::function<void(std::string_view)>>(std::move(done));
    m_connectTimer = m_plane.timers().after(m_plane.now(), timeout, [weak = weak_from_this(), callback](base::TimePoint) {
        if (const auto self = weak.lock(); self && !self->m_isClosed) {
            self->onConnectFailed();
            (*callback)("connect timed out");
        }
    });
    m_socket.async_connect(Tcp::endpoint(address, endpoint.port), [self = shared_from_this(), callback](const boost::system::error_code &error) {
        if (self->m_isClosed) {
            return;
        }
        self->m_connectTimer.cancel();
        if (error) {
            self->onConnectFailed();
            (*callback)(error.message());
            return;
        }
        self->m_isConnecting = false;
        self->m_plane.reach().onConnected(self->m_upstream, self->m_plane.now());
        setSocketOptions(self->m_socket, silenceLimits(SilenceDetection));
        (*callback)({});
    });
}

void UpstreamConnection::onConnectFailed()
{
    m_isConnecting = false;
    m_plane.reach().onConnectFailed(m_upstream, m_plane.now());
    close();
}

void UpstreamConnection::send(std::string head, std::shared_ptr<const std::string> body, std::string requestId, bool isHeadRequest,
                              std::weak_ptr<ResponseListener> listener)
{
    m_head = std::move(head);
    m_body = std::move(body);
    m_requestId = std::move(requestId);
    m_isHeadRequest = isHeadRequest;
    m_listener = std::move(listener);
    m_parser.emplace(isHeadRequest);
    m_hasSeenHead = false;
    m_isMismatched = false;
    m_mismatchedResponses = 0;
    m_mismatchedBytes = 0;
    m_interimResponses = 0;
    m_isPaused = false;
    m_hasEnded = false;
    m_writeProblem.clear();
    m_isWriting = true;
    const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(m_head), boost::asio::buffer(*m_body)};
    boost::asio::async_write(m_socket, buffers, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
        self->onWritten(ec);
    });
    read();
}

void UpstreamConnection::onWritten(const boost::system::error_code &ec)
{
    m_isWriting = false;
    m_body.reset();
    if (ec) {
        m_writeProblem = ec.message();
    }
    if (m_isClosed || !m_parser) {
        return;
    }
    if (m_hasEnded) {
        finishOnceDelivered();
    } else if (ec && !m_hasSeenHead && !m_isReading) {
        fail(m_writeProblem);
    }
    // Otherwise the pending read reports the outcome: an upstream may respond and close before it has
    // read the whole request.
}

// The upstream has closed the connection in order, or so it seems: the system reports a reset only once, and if a write
// got the error, reads end like those of a closed connection.
void UpstreamConnection::onEnd()
{
    if (!m_hasSeenHead || m_isMismatched) {
        fail("the connection ended before the response");
    } else if (const auto ended = m_parser->feedEof(); !ended) {
        fail(ended.error().message);
    } else {
        m_hasEnded = true;
        finishOnceDelivered();
    }
}

// Ends a response without a length. It is complete if the upstream has taken the whole request: one that was still
// taking it has failed, or another part of the response was lost with the reset that follows.
void UpstreamConnection::finishOnceDelivered()
{
    if (m_isWriting) {
        return; // onWritten() calls this again
    }
    if (m_writeProblem.empty()) {
        m_writeProblem = takeError(m_socket.native_handle());
    }
    if (!m_writeProblem.empty()) {
        fail("the connection broke before the request was delivered: " + m_writeProblem);
    } else if (unacknowledgedBytes(m_socket.native_handle()) == 0) {
        finishResponse();
    } else {
        m_deliveryTimer = m_plane.timers().after(m_plane.now(), DeliveryCheckInterval, [weak = weak_from_this()](base::TimePoint) {
            if (const auto self = weak.lock(); self && !self->m_isClosed && self->m_parser) {
                self->finishOnceDelivered();
            }
        });
    }
}

void UpstreamConnection::keepIdle()
{
    m_reusableUntil = m_plane.now() + DefaultKeepAlive;
    m_plane.addIdleConnection(shared_from_this());
    read();
}

void UpstreamConnection::pauseReading()
{
    m_isPaused = true;
}

void UpstreamConnection::resumeReading()
{
    if (m_isPaused) {
        m_isPaused = false;
        read();
    }
}

void UpstreamConnection::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    if (std::exchange(m_isConnecting, false)) {
        m_plane.reach().onConnectAbandoned(m_upstream);
    }
    m_connectTimer.cancel();
    m_deliveryTimer.cancel();
    m_listener.reset();
    boost::system::error_code ignored;
    if (m_parser && m_plane.reach().isSuspected(m_upstream)) {
        // The system drops what it has not delivered, so that the request does not arrive when the path is back.
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    m_socket.close(ignored);
    m_plane.removeIdleConnection(*this);
}

std::shared_ptr<ResponseListener> UpstreamConnection::listener() const
{
    return m_listener.lock();
}

void UpstreamConnection::read()
{
    if (m_isReading || m_isClosed || m_isPaused) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
        self->m_isReading = false;
        if (self->m_isClosed) {
            return;
        }
        if (!ec) {
            self->m_plane.contain(
                "upstream",
                [&] {
                    self->onRead(n);
                },
                [&] {
                    self->fail("unexpected error");
                });
            return;
        }
        if (ec == boost::asio::error::eof && self->m_parser) {
            self->onEnd();
        } else {
            self->fail(ec.message());
        }
    });
}

void UpstreamConnection::onRead(std::size_t n)
{
    if (!m_parser) {
        close(); // unsolicited bytes
        return;
    }
    m_input.append(m_chunk.data(), n);
    consumeInput();
    if (m_parser || !m_isClosed) {
        read();
    }
}

void UpstreamConnection::consumeInput()
{
    while (m_parser && !m_input.empty() && !m_isClosed) {
        const auto used = m_parser->feed(m_input);
        if (!used) {
            fail(used.error().message);
            return;
        }
        m_input.erase(0, used.value());
        if (m_parser->isHeadComplete() && !m_hasSeenHead && !m_isMismatched) {
            consumeHead();
        }
        if (m_isClosed || !m_parser) {
            return;
        }
        takeBody();
        if (m_isClosed || !m_parser) {
            return;
        }
        if (!m_parser->isComplete()) {
            if (m_input.size() > MaxUnparsedBytes) {
                fail("the framing of the response is too long");
            }
            return; // more bytes are needed
        }
        if (m_isMismatched || (m_parser->head().status < 200 && !m_hasSeenHead)) {
            if (!m_isMismatched && ++m_interimResponses > MaxInterimResponses) {
                fail("too many interim responses");
                return;
            }
            m_isMismatched = false;
            m_parser.emplace(m_isHeadRequest);
            continue;
        }
        finishResponse();
        return;
    }
}

// Passes the body bytes that have arrived to the listener; those of another request are dropped.
void UpstreamConnection::takeBody()
{
    std::string bytes = m_parser->takeBody();
    if (bytes.empty()) {
        return;
    }
    if (m_isMismatched) {
        m_mismatchedBytes += bytes.size();
        if (m_mismatchedBytes > MaxMismatchedBytes) {
            fail("the response to another request is too long");
        }
    } else if (const auto it = listener()) {
        it->onResponseBody(std::move(bytes));
    }
}

void UpstreamConnection::consumeHead()
{
    const HttpResponseHead &head = m_parser->head();
    if (head.status < 200) {
        return; // an interim response; the final one follows
    }
    const UpstreamResponse response = m_plane.dialect().parseResponse(head);
    // Without an id, only the first response of a connection certainly belongs to this request.
    if (response.requestId.empty() && (m_isReused || m_mismatchedResponses > 0)) {
        fail("response without a request id on a reused connection");
        return;
    }
    if (!response.requestId.empty() && response.requestId != m_requestId) {
        ++m_plane.counts().mismatchedResponses;
        if (++m_mismatchedResponses > MaxMismatchedResponses) {
            fail("too many responses to other requests");
            return;
        }
        m_isMismatched = true;
        return;
    }
    m_hasSeenHead = true;
    if (response.keepAlive) {
        m_keepAlive = *response.keepAlive;
    }
    if (const auto it = listener()) {
        it->onResponseHead(head, response);
    }
}

void UpstreamConnection::finishResponse()
{
    const bool isReusable = m_parser->keepsAlive() && !m_isWriting && m_writeProblem.empty() && m_input.empty() && m_mismatchedResponses == 0;
    const auto it = listener();
    m_parser.reset();
    m_listener.reset();
    m_isReused = true;
    const base::Duration reuseTime = m_keepAlive > base::Duration{} ? base::fromSeconds(base::toSeconds(m_keepAlive) * KeepAliveReuseShare) : DefaultKeepAlive;
    m_reusableUntil = m_plane.now() + reuseTime;
    if (isReusable) {
        m_isPaused = false;
        m_plane.addIdleConnection(shared_from_this());
    } else {
        close();
    }
    if (it) {
        it->onResponseEnd();
    }
}

void UpstreamConnection::fail(std::string_view problem)
{
    const auto it = m_parser ? listener() : nullptr;
    m_parser.reset();
    close();
    if (it) {
        it->onResponseError(problem);
    }
}

} // namespace carawaylatch::proxy
