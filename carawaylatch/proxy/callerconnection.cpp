// States of a caller's connection: idle, reading a request, waiting for its
// exchange, writing the response, lingering. finishRequest() returns it to idle, or
// ends it once the response is written.
#include "carawaylatch/proxy/callerconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

#include "carawaylatch/proxy/exchange.h"
#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::proxy
{

namespace
{

// A caller that acknowledges nothing for this long is disconnected; streams send data every few milliseconds.
constexpr base::seconds SilenceDetection{6};
// A connection that has sent its end waits this long for the caller's; several round trips.
constexpr base::Duration LingerTimeout = base::milliseconds{500};
// Input discarded meanwhile; a caller that sends more is not waiting for an end.
constexpr std::size_t MaxDiscardedBytes = 1'048'576;
// The first request of a connection follows its opening within this time.
constexpr base::Duration FirstRequestDelay = base::seconds{1};
// A body that arrives slowly but steadily may take this many idle timeouts.
constexpr int MaxBodyTimeouts = 4;
// Sent bytes of a write below which they are kept until its end; what is queued for a caller that keeps up is shorter.
constexpr std::size_t MinReleasedBytes = 524'288;

} // namespace

CallerConnection::CallerConnection(TrafficPlane &plane, Tcp::socket socket)
    : m_plane(plane)
    , m_socket(std::move(socket))
    , m_buffered(plane.responseBytes())
    , m_acceptedAt(plane.now())
{
    setSocketOptions(m_socket, silenceLimits(SilenceDetection));
}

void CallerConnection::start()
{
    armTimer();
    read();
}

bool CallerConnection::isIdle() const
{
    return !m_exchange && !m_isReplying && !m_parser && m_input.empty() && !m_isWriting;
}

bool CallerConnection::hasPartialRequest() const
{
    return m_parser.has_value();
}

std::size_t CallerConnection::queuedBytes() const
{
    return m_writing.size() - m_written + m_queued.size();
}

base::TimePoint CallerConnection::progressAt() const
{
    return m_progressAt;
}

void CallerConnection::read()
{
    if (m_isReading || m_isClosed || m_input.size() > MaxPipelinedBytes) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
        self->m_isReading = false;
        if (ec) {
            self->onDisconnect();
            return;
        }
        self->m_plane.contain(
            "caller",
            [&] {
                self->onRead(n);
            },
            [&] {
                self->cancel();
            });
    });
}

void CallerConnection::onRead(std::size_t n)
{
    if (m_isClosed) {
        return;
    }
    if (m_isLingering) {
        if (m_discarded == 0 && !m_hasResponded) {
            ++m_plane.stopCounts().late;
        }
        m_discarded += n;
        if (m_discarded > MaxDiscardedBytes) {
            close();
            return;
        }
    } else {
        m_input.append(m_chunk.data(), n);
        consumeInput();
    }
    read();
}

void CallerConnection::consumeInput()
{
    const bool hasRoom = queuedBytes() <= MaxQueuedBytes;
    if (!m_exchange && !m_isReplying && !m_input.empty() && !m_isClosed && !m_isLingering && !m_hasAnnouncedClose && hasRoom) {
        consumeRequest();
    }
}

void CallerConnection::consumeRequest()
{
    if (!m_parser) {
        m_parser.emplace(m_plane.parserLimits());
        m_requestStartedAt = m_plane.now();
        armTimer();
    }
    const bool hadHead = m_parser->isHeadComplete();
    const auto used = m_parser->feed(m_input);
    if (!used) {
        rejectInput(used.error());
        return;
    }
    m_input.erase(0, used.value());
    m_progressAt = m_plane.now();
    if (m_parser->isComplete()) {
        startExchange();
        return;
    }
    if (m_input.size() > MaxUnparsedBytes) {
        rejectInput(base::fail(base::ErrorKind::LimitExceeded, "the framing of the request is too long; send chunks without extensions"));
        return;
    }
    setBufferedBody(m_parser->body().size());
    if (m_plane.isBodyBufferFull()) {
        m_plane.logRejected({}, {}, "no_memory", 503);
        rejectRequest(Reply{503, {}, {{"Retry-After", base::formatSeconds(RetrySchedule::MinDelay)}}, "no_memory\n"});
        return;
    }
    if (!hadHead && m_parser->isHeadComplete()) {
        const std::string *expectation = findField(m_parser->head().fields, "expect");
        if (expectation != nullptr && equalsIgnoringCase(*expectation, "100-continue")) {
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        armTimer();
    }
}

void CallerConnection::rejectInput(const base::Error &error)
{
    const bool isTooLong = error.kind == base::ErrorKind::LimitExceeded;
    const unsigned status = !isTooLong ? 400 : (m_parser->isHeadComplete() ? 413 : 431);
    m_plane.logRejected({}, {}, error.message, status);
    rejectRequest(Reply{status, {}, {}, error.message + '\n'});
}

// Replies to a request of which a part was not read. The connection can't be used any more.
void CallerConnection::rejectRequest(const Reply &rejection)
{
    m_parser.reset();
    setBufferedBody(0);
    m_input.clear();
    m_closesAfterReply = true;
    reply(rejection);
}

// Counts the body bytes of the request that is being read.
void CallerConnection::setBufferedBody(std::size_t bytes)
{
    m_plane.onBodyBuffered(m_bufferedBody, bytes);
    m_bufferedBody = bytes;
}

void CallerConnection::startExchange()
{
    m_timer.cancel();
    m_isLastByCaller = !m_parser->keepsAlive();
    m_closesAfterReply = m_closesAfterReply || m_isLastByCaller || m_plane.isStopping();
    m_isChunked = m_parser->head().isHttp11;
    HttpRequestHead head = std::move(m_parser->head());
    std::string body = std::move(m_parser->body());
    m_parser.reset();
    setBufferedBody(0);
    if (m_plane.handleLocalPath(*this, head)) {
        return;
    }
    m_exchange = std::make_shared<Exchange>(m_plane, shared_from_this(), std::move(head), std::move(body), m_requestStartedAt);
    const auto exchange = m_exchange;
    exchange->start();
}

std::string CallerConnection::headText(const Reply &reply)
{
    std::string out = "HTTP/1.1 " + std::to_string(reply.status) + ' ';
    out.append(reply.reason.empty() ? reasonPhrase(reply.status) : std::string_view(reply.reason)).append("\r\n");
    for (const HttpField &field : reply.fields) {
        appendField(out, field.name, field.value);
    }
    if (m_closesAfterReply) {
        appendField(out, "Connection", "close");
        m_hasAnnouncedClose = true;
    }
    return out;
}

void CallerConnection::reply(const Reply &reply)
{
    if (m_isClosed) {
        return;
    }
    m_closesAfterReply = m_closesAfterReply || m_plane.isStopping();
    std::string out = headText(reply);
    if (reply.status != 204 && reply.status != 304) {
        appendField(out, "Content-Length", std::to_string(reply.body.size()));
    }
    out.append("\r\n").append(reply.body);
    write(out);
    finishRequest();
}

void CallerConnection::beginReply(const Reply &head)
{
    if (m_isClosed) {
        return;
    }
    m_closesAfterReply = m_closesAfterReply || m_plane.isStopping() || !m_isChunked;
    std::string out = headText(head);
    if (m_isChunked) {
        appendField(out, "Transfer-Encoding", "chunked");
    }
    m_isReplying = true;
    m_queued.append(out).append("\r\n"); // sent together with the body of `head`, if any
    if (head.body.empty()) {
        flush();
    } else {
        sendBodyBytes(head.body);
    }
}

void CallerConnection::sendBodyBytes(std::string_view bytes)
{
    if (m_isClosed || bytes.empty()) {
        return;
    }
    if (!m_isChunked) {
        m_queued.append(bytes);
        flush();
        return;
    }
    char size[20];
    const auto [end, ec] = std::to_chars(size, size + sizeof size, bytes.size(), 16);
    m_queued.append(size, end).append("\r\n").append(bytes).append("\r\n");
    flush();
}

void CallerConnection::endReply()
{
    if (m_isClosed) {
        return;
    }
    if (m_isChunked) {
        m_queued.append("0\r\n\r\n");
        flush();
    }
    m_isReplying = false;
    finishRequest();
}

void CallerConnection::finishRequest()
{
    m_exchange.reset();
    m_hasResponded = true;
    m_progressAt = m_plane.now();
    if (m_hasAnnouncedClose && !m_isWriting) {
        closeGracefully();
        return;
    }
    armTimer();
    continueInput();
    read();
}

void CallerConnection::continueInput()
{
    if (m_input.empty() || m_hasAnnouncedClose) {
        return;
    }
    // Posted, because a direct call would deepen the stack with each pipelined request.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_plane.contain(
            "caller",
            [&self] {
                self->consumeInput();
                self->read();
            },
            [&self] {
                self->cancel();
            });
    });
}

void CallerConnection::write(std::string_view bytes)
{
    m_queued.append(bytes);
    flush();
}

void CallerConnection::flush()
{
    m_buffered.set(queuedBytes());
    if (m_isWriting || m_isClosed || m_queued.empty()) {
        return;
    }
    m_writing = std::exchange(m_queued, {});
    m_written = 0;
    writeSome();
}

void CallerConnection::writeSome()
{
    m_isWriting = true;
    const auto rest = boost::asio::buffer(m_writing) + m_written;
    m_socket.async_write_some(rest, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
        self->m_isWriting = false;
        if (ec) {
            self->onDisconnect();
            return;
        }
        self->m_written += n;
        self->m_buffered.set(self->queuedBytes());
        self->onWritten();
    });
}

void CallerConnection::onWritten()
{
    m_progressAt = m_plane.now();
    if (m_isClosed) {
        return;
    }
    if (m_written < m_writing.size()) {
        releaseWritten();
        writeSome();
        return;
    }
    m_writing.clear();
    m_written = 0;
    flush();
    if (m_isWriting) {
        return;
    }
    if (m_exchange) {
        m_exchange->onCallerDrained();
    } else if (m_hasAnnouncedClose && !m_isReplying) {
        closeGracefully();
    } else {
        continueInput(); // which may have waited for the caller to read
    }
}

// Frees the part of a long write that was sent, once it is the larger one: only what is queued is counted as used. All
// copies of a write together are no longer than the write.
void CallerConnection::releaseWritten()
{
    if (m_written >= MinReleasedBytes && m_written >= m_writing.size() - m_written) {
        m_writing = std::string(m_writing, m_written);
        m_written = 0;
    }
}

void CallerConnection::armTimer()
{
    const CallerLimits limits = m_plane.callerLimits();
    base::Duration wait = limits.idleTimeout;
    if (m_parser) {
        wait = m_parser->isHeadComplete() ? limits.idleTimeout : limits.headTimeout;
    }
    armTimer(wait);
}

void CallerConnection::armTimer(base::Duration wait)
{
    m_timer = m_plane.timers().after(m_plane.now(), wait, [weak = weak_from_this()](base::TimePoint) {
        if (const auto self = weak.lock()) {
            self->onTimeout();
        }
    });
}

void CallerConnection::onTimeout()
{
    if (m_isClosed || m_exchange || m_isReplying) {
        return;
    }
    if (m_parser) {
        onRequestTimeout();
        return;
    }
    const base::Duration stalled = m_plane.now() - m_progressAt;
    const base::Duration limit = m_plane.callerLimits().idleTimeout;
    if (m_isWriting && !m_isLingering && stalled < limit) {
        armTimer(limit - stalled); // the caller reads the response slowly
        return;
    }
    close();
}

void CallerConnection::onRequestTimeout()
{
    const base::TimePoint now = m_plane.now();
    const base::Duration limit = m_plane.callerLimits().idleTimeout;
    const base::Duration stalled = now - m_progressAt;
    if (m_parser->isHeadComplete() && stalled < limit && now - m_requestStartedAt < limit * MaxBodyTimeouts) {
        armTimer(limit - stalled); // the body arrives slowly
        return;
    }
    m_plane.logRejected({}, {}, "the request did not arrive in time", 408);
    rejectRequest(Reply{408, {}, {}, "the request did not arrive in time; send it again\n"});
}

void CallerConnection::onDisconnect()
{
    const auto exchange = std::exchange(m_exchange, nullptr);
    close();
    if (exchange) {
        exchange->cancel();
    }
}

void CallerConnection::abort()
{
    m_exchange.reset();
    if (m_isClosed) {
        return;
    }
    // Zero linger sends a reset, which can't be taken for the end of a body without a length.
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void CallerConnection::cancel()
{
    onDisconnect();
}

// True if the caller may have sent a request that was not read yet.
bool CallerConnection::mayHaveRequestUnderWay()
{
    boost::system::error_code ec;
    if (m_socket.available(ec) > 0) {
        return true;
    }
    return !m_hasResponded && m_plane.now() - m_acceptedAt < FirstRequestDelay;
}

void CallerConnection::closeWhenIdle()
{
    m_closesAfterReply = true;
    if (!isIdle() || m_isLingering) {
        return;
    }
    // Posted, because a request may have been read whose handler has not run yet.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->closeIfIdle();
    });
}

void CallerConnection::closeIfIdle()
{
    if (!m_isClosed && isIdle() && !mayHaveRequestUnderWay()) {
        if (!m_hasResponded && !m_isLingering) {
            ++m_plane.stopCounts().unused;
        }
        closeGracefully();
    }
}

bool CallerConnection::endRequest()
{
    if (!m_exchange) {
        return false;
    }
    const auto exchange = m_exchange;
    exchange->end("stopping");
    return true;
}

void CallerConnection::endBlockedRequest()
{
    if (const auto exchange = m_exchange) {
        exchange->endIfBlocked();
    }
}

void CallerConnection::onWeightsNamed()
{
    if (m_exchange) {
        m_exchange->onWeightsNamed();
    }
}

void CallerConnection::onPoolCut()
{
    if (const auto exchange = m_exchange) {
        exchange->onPoolCut();
    }
}

void CallerConnection::closeGracefully()
{
    if (m_isClosed || m_isLingering) {
        return;
    }
    if (m_isLastByCaller && m_input.empty()) {
        close();
        return;
    }
    m_isLingering = true;
    m_parser.reset();
    setBufferedBody(0);
    m_input.clear();
    boost::system::error_code ec;
    m_socket.shutdown(Tcp::socket::shutdown_send, ec);
    if (ec) {
        close();
        return;
    }
    armTimer(LingerTimeout);
    read();
}

void CallerConnection::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_timer.cancel();
    m_buffered.set(0);
    setBufferedBody(0);
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_plane.removeCaller(shared_from_this());
}

} // namespace carawaylatch::proxy
