// States of a caller's connection: idle, reading a request, waiting for its
// exchange, writing the response. finishRequest() returns it to idle.
#include "carawaylatch/proxy/callerconnection.h"

#include <boost/asio/buffer.hpp>
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
constexpr base::Duration CallerAckTimeout = base::seconds{5};

} // namespace

CallerConnection::CallerConnection(TrafficPlane &plane, Tcp::socket socket)
    : m_plane(plane)
    , m_socket(std::move(socket))
{
    setSocketOptions(m_socket, CallerAckTimeout);
}

void CallerConnection::start()
{
    armTimer();
    read();
}

bool CallerConnection::isIdle() const
{
    return !m_exchange && !m_parser && m_input.empty() && !m_isWriting;
}

std::size_t CallerConnection::queuedBytes() const
{
    return m_writing.size() + m_queued.size();
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
        } else {
            self->onRead(n);
        }
    });
}

void CallerConnection::onRead(std::size_t n)
{
    if (m_isClosed) {
        return;
    }
    m_input.append(m_chunk.data(), n);
    consumeInput();
    read();
}

void CallerConnection::consumeInput()
{
    if (!m_exchange && !m_isReplying && !m_input.empty() && !m_isClosed) {
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
    if (m_parser->isComplete()) {
        startExchange();
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
    m_parser.reset();
    m_input.clear();
    m_closesAfterReply = true;
    reply(Reply{status, {}, {}, error.message + '\n'});
}

void CallerConnection::startExchange()
{
    m_timer.cancel();
    m_closesAfterReply = m_closesAfterReply || !m_parser->keepsAlive() || m_plane.isStopping();
    m_isChunked = m_parser->head().isHttp11;
    HttpRequestHead head = std::move(m_parser->head());
    std::string body = std::move(m_parser->body());
    m_parser.reset();
    if (m_plane.handleLocalPath(*this, head)) {
        return;
    }
    m_exchange = std::make_shared<Exchange>(m_plane, shared_from_this(), std::move(head), std::move(body), m_requestStartedAt);
    const auto exchange = m_exchange;
    exchange->start();
}

std::string CallerConnection::headText(const Reply &reply) const
{
    std::string out = "HTTP/1.1 " + std::to_string(reply.status) + ' ';
    out.append(reply.reason.empty() ? reasonPhrase(reply.status) : std::string_view(reply.reason)).append("\r\n");
    for (const HttpField &field : reply.fields) {
        appendField(out, field.name, field.value);
    }
    if (m_closesAfterReply) {
        appendField(out, "Connection", "close");
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
    if (m_closesAfterReply) {
        if (!m_isWriting) {
            close();
        }
        return;
    }
    armTimer();
    if (!m_input.empty()) {
        // Posted, because a direct call would deepen the stack with each pipelined request.
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->consumeInput();
            self->read();
        });
    }
    read();
}

void CallerConnection::write(std::string_view bytes)
{
    m_queued.append(bytes);
    flush();
}

void CallerConnection::flush()
{
    if (m_isWriting || m_isClosed || m_queued.empty()) {
        return;
    }
    m_isWriting = true;
    m_writing = std::exchange(m_queued, {});
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
        self->m_isWriting = false;
        self->m_writing.clear();
        if (ec) {
            self->onDisconnect();
            return;
        }
        self->flush();
        if (self->m_isWriting) {
            return;
        }
        if (self->m_exchange) {
            self->m_exchange->onCallerDrained();
        } else if (self->m_closesAfterReply && !self->m_isReplying) {
            self->close();
        }
    });
}

void CallerConnection::armTimer()
{
    const CallerLimits limits = m_plane.callerLimits();
    base::Duration wait = limits.idleTimeout;
    if (m_parser) {
        wait = m_parser->isHeadComplete() ? limits.idleTimeout : limits.headTimeout;
    }
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
        m_parser.reset();
        m_closesAfterReply = true;
        m_plane.logRejected({}, {}, "the request did not arrive in time", 408);
        reply(Reply{408, {}, {}, "the request did not arrive in time; send it again\n"});
        return;
    }
    close();
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

void CallerConnection::closeWhenIdle()
{
    m_closesAfterReply = true;
    if (isIdle()) {
        close();
    }
}

void CallerConnection::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_plane.removeCaller(shared_from_this());
}

} // namespace carawaylatch::proxy
