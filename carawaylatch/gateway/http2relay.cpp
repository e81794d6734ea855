// Channel is the polling side of a connection, Inbound the answering side.
#include "carawaylatch/gateway/http2relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>

#include "carawaylatch/peer/http2session.h"

namespace carawaylatch::gateway
{

namespace
{

constexpr base::Duration ConnectTimeout = base::milliseconds{400}; // routers of one failure domain
constexpr base::seconds SilenceDetection{2}; // a poll is sent again, and changes must not come late
constexpr base::Duration AcceptPause = base::milliseconds{20};
constexpr std::size_t MaxPollBytes = 4096;
constexpr std::size_t MaxPolls = 4; // in progress on one connection; a router sends one after the other
constexpr std::size_t MaxInbound = 2048; // connections of other routers, four for each
constexpr int StatusOk = 200;
constexpr int StatusRejected = 400;
constexpr std::size_t ChunkBytes = 8192;

base::Error noAnswer(const std::string &problem)
{
    return base::fail(base::ErrorKind::Unavailable, "the reader does not answer (" + problem + "); another router or the store is asked instead");
}

} // namespace

class Http2Relay::Channel
{
public:
    Channel(boost::asio::io_context &loop, base::Endpoint reader)
        : m_loop(loop)
        , m_reader(std::move(reader))
    {
    }

    [[nodiscard]] const base::Endpoint &reader() const
    {
        return m_reader;
    }

    // A poll on a connection that the reader closed while it was idle is sent once more, on a new one.
    Awaitable<base::Result<std::string>> call(std::string body, base::Duration timeout)
    {
        const bool isKept = m_stream.has_value();
        const auto sentAt = std::chrono::steady_clock::now();
        std::string text;
        auto ec = co_await exchange(body, timeout, text);
        if (isKept && proxy::isClosedByPeer(ec) && std::chrono::steady_clock::now() - sentAt < proxy::MaxCloseDelay) {
            ec = co_await exchange(body, timeout, text);
        }
        if (ec) {
            co_return noAnswer(ec.message());
        }
        co_return text;
    }

    void interrupt()
    {
        if (m_stream) {
            m_stream->cancel();
        }
    }

private:
    Awaitable<boost::system::error_code> exchange(std::string body, base::Duration timeout, std::string &text)
    {
        boost::system::error_code ec;
        if (!m_stream) {
            ec = co_await connect(std::min<base::Duration>(ConnectTimeout, timeout));
        }
        if (!ec) {
            m_stream->expires_after(timeout);
            const std::int32_t id = m_session->submit(std::move(body));
            ec = id > 0 ? ec : boost::asio::error::connection_aborted;
            while (!ec) {
                if (const std::string output = m_session->takeOutput(); !output.empty()) {
                    co_await boost::asio::async_write(*m_stream, boost::asio::buffer(output), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
                }
                for (auto &response : m_session->takeResponses()) {
                    if (response.stream == id && response.status == StatusOk) {
                        text = std::move(response.body);
                        co_return ec;
                    }
                }
                if (!ec) {
                    ec = co_await receive();
                }
            }
        }
        m_stream.reset();
        co_return ec;
    }

    Awaitable<boost::system::error_code> connect(base::Duration timeout)
    {
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address(m_reader.address, ec);
        m_stream.emplace(m_loop);
        m_session.emplace(peer::Http2Session::Role::Client, MaxRelayBytes);
        m_stream->expires_after(timeout);
        if (!ec) {
            const proxy::Tcp::endpoint endpoint(address, m_reader.port);
            co_await m_stream->async_connect(endpoint, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        }
        if (!ec) {
            proxy::setSocketOptions(m_stream->socket(), proxy::silenceLimits(SilenceDetection));
        }
        co_return ec;
    }

    Awaitable<boost::system::error_code> receive()
    {
        boost::system::error_code ec;
        const std::size_t n = co_await m_stream->async_read_some(boost::asio::buffer(m_chunk), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        if (!ec && !m_session->receive({m_chunk.data(), n})) {
            ec = boost::asio::error::connection_aborted;
        }
        co_return ec;
    }

    boost::asio::io_context &m_loop;
    const base::Endpoint m_reader;
    std::optional<boost::beast::tcp_stream> m_stream; // empty while not connected
    std::optional<peer::Http2Session> m_session; // of the connection
    std::array<char, ChunkBytes> m_chunk{};
};

class Http2Relay::Inbound : public std::enable_shared_from_this<Inbound>
{
public:
    Inbound(Http2Relay &relay, proxy::Tcp::socket socket)
        : m_relay(&relay)
        , m_socket(std::move(socket))
        , m_session(peer::Http2Session::Role::Server, MaxPollBytes)
    {
        proxy::setSocketOptions(m_socket, proxy::silenceLimits(SilenceDetection));
    }

    // Reads on once all output is written, so that a router that does not read makes no more of it.
    void read()
    {
        if (m_isReading || !m_output.empty()) {
            return;
        }
        m_isReading = true;
        m_socket.async_read_some(boost::asio::buffer(m_chunk), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
            self->m_isReading = false;
            if (ec || self->m_relay == nullptr || !self->m_session.receive({self->m_chunk.data(), n})) {
                self->close();
                return;
            }
            for (const auto &request : self->m_session.takeRequests()) {
                self->onRequest(request.stream, request.body);
            }
            self->write();
            self->read();
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        if (m_relay != nullptr) {
            std::exchange(m_relay, nullptr)->m_inbound.erase(shared_from_this());
        }
    }

private:
    void onRequest(std::int32_t stream, const std::string &body)
    {
        const auto poll = decodeRelayPoll(body);
        if (!poll || m_polls == MaxPolls) {
            m_session.respond(stream, StatusRejected);
            return;
        }
        ++m_polls;
        boost::asio::co_spawn(m_socket.get_executor(), m_relay->m_source->answer(poll.value()),
                              [self = shared_from_this(), stream](const std::exception_ptr & /*error*/, const std::unique_ptr<RelayAnswer> &answer) {
                                  --self->m_polls;
                                  if (self->m_relay != nullptr) {
                                      self->m_session.respond(stream, StatusOk, encodeRelayAnswer(answer ? *answer : RelayAnswer{}));
                                      self->write();
                                  }
                              });
    }

    void write()
    {
        if (!m_output.empty()) {
            return; // the handler of the pending write calls write() again
        }
        m_output = m_session.takeOutput();
        if (m_output.empty()) {
            return;
        }
        boost::asio::async_write(m_socket, boost::asio::buffer(m_output), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            self->m_output.clear();
            if (ec || self->m_relay == nullptr) {
                self->close();
                return;
            }
            self->write();
            self->read();
        });
    }

    Http2Relay *m_relay; // nullptr once closed
    proxy::Tcp::socket m_socket;
    peer::Http2Session m_session;
    std::array<char, MaxPollBytes> m_chunk{};
    std::string m_output; // buffer of the pending write
    std::size_t m_polls = 0; // whose answers are not ready
    bool m_isReading = false;
};

Http2Relay::Http2Relay(boost::asio::io_context &loop, base::Endpoint self)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_acceptor(loop)
    , m_acceptPause(loop)
{
}

Http2Relay::~Http2Relay()
{
    const auto inbound = std::exchange(m_inbound, {});
    for (const auto &it : inbound) {
        it->close();
    }
}

base::Result<void> Http2Relay::listen(RelaySource &source)
{
    m_source = &source;
    if (m_self.port == 0 && m_self.address.empty()) {
        return base::ok();
    }
    if (auto opened = proxy::openAcceptor(m_acceptor, m_self); !opened) {
        return opened;
    }
    accept();
    return base::ok();
}

base::Endpoint Http2Relay::endpoint() const
{
    boost::system::error_code ec;
    const auto local = m_acceptor.local_endpoint(ec);
    return ec ? m_self : base::Endpoint{local.address().to_string(), local.port()};
}

void Http2Relay::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &ec, proxy::Tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec && m_inbound.size() < MaxInbound) {
            const auto inbound = std::make_shared<Inbound>(*this, std::move(socket));
            m_inbound.insert(inbound);
            inbound->read();
        }
        if (!ec) {
            accept();
            return;
        }
        // Usually out of descriptors; waits until other connections have closed.
        m_acceptPause.expires_after(AcceptPause);
        m_acceptPause.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                accept();
            }
        });
    });
}

Awaitable<base::Result<RelayAnswer>> Http2Relay::poll(base::Endpoint reader, RelayPoll poll, base::Duration timeout)
{
    std::shared_ptr<Channel> &known = m_channels[poll.kind];
    if (!known || known->reader() != reader) {
        known = std::make_shared<Channel>(m_loop, reader);
    }
    const std::shared_ptr<Channel> channel = known;
    auto text = co_await channel->call(encodeRelayPoll(poll), timeout);
    if (!text) {
        co_return text.error();
    }
    co_return decodeRelayAnswer(text.value());
}

void Http2Relay::interrupt(const base::Endpoint &reader)
{
    for (const auto &[kind, channel] : m_channels) {
        if (channel->reader() == reader) {
            channel->interrupt();
        }
    }
}

void Http2Relay::interrupt(ObjectKind kind)
{
    if (const auto it = m_channels.find(kind); it != m_channels.end()) {
        it->second->interrupt();
    }
}

} // namespace carawaylatch::gateway
