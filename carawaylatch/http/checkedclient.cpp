// httplib reads a call's response through a stream, which process_socket() supplies.
#include "carawaylatch/http/checkedclient.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstring>
#include <optional>
#include <string>
#include <utility>

#include "carawaylatch/proxy/httpparser.h"
#include "carawaylatch/proxy/socket.h"

namespace carawaylatch::http
{

namespace
{

constexpr unsigned FirstFinalStatus = 200;
constexpr int MaxInterimResponses = 16; // before the final one
constexpr std::size_t MaxUnparsedBytes = 81'920; // a head, or the framing between two pieces of a body

// The socket of one call. The response is handed out as it was understood, not as it was received.
class CheckedStream : public httplib::Stream
{
public:
    struct Timeouts
    {
        std::chrono::milliseconds read;
        std::chrono::milliseconds write;
    };

    CheckedStream(socket_t socket, const Timeouts &timeouts)
        : m_socket(socket)
        , m_timeouts(timeouts)
    {
        m_parser.emplace();
    }

    [[nodiscard]] bool is_readable() const override
    {
        return !m_checked.empty() || waitFor(POLLIN, m_timeouts.read);
    }

    [[nodiscard]] bool is_writable() const override
    {
        return waitFor(POLLOUT, m_timeouts.write);
    }

    // Returns zero at the end of the response, -1 if it is invalid, incomplete or late.
    ssize_t read(char *buf, std::size_t size) override
    {
        while (m_checked.empty()) {
            if (m_isInvalid) {
                return -1;
            }
            if (m_parser->isComplete()) {
                return 0;
            }
            if (!receive()) {
                return m_hasEnded && isRequestDelivered() && m_parser->feedEof() ? 0 : -1;
            }
            check();
        }
        const std::size_t n = std::min(size, m_checked.size());
        std::memcpy(buf, m_checked.data(), n);
        m_checked.erase(0, n);
        return static_cast<ssize_t>(n);
    }

    ssize_t write(const char *buf, std::size_t size) override
    {
        return is_writable() ? ::send(m_socket, buf, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        ip.clear();
        port = -1;
    }

    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        ip.clear();
        port = -1;
    }

    [[nodiscard]] socket_t socket() const override
    {
        return m_socket;
    }

private:
    [[nodiscard]] bool waitFor(short event, std::chrono::milliseconds timeout) const
    {
        pollfd wait{m_socket, event, 0};
        int ready = 0;
        do {
            ready = ::poll(&wait, 1, static_cast<int>(timeout.count()));
        } while (ready < 0 && errno == EINTR);
        return ready == 1;
    }

    // A response without a length is complete only if the whole request was taken, see proxy::UpstreamConnection.
    [[nodiscard]] bool isRequestDelivered() const
    {
        return proxy::takeError(m_socket).empty() && proxy::unacknowledgedBytes(m_socket) == 0;
    }

    bool receive()
    {
        if (!waitFor(POLLIN, m_timeouts.read)) {
            return false;
        }
        std::array<char, 4096> buf{};
        const ssize_t n = ::recv(m_socket, buf.data(), buf.size(), 0);
        m_hasEnded = n == 0;
        if (n > 0) {
            m_received.append(buf.data(), static_cast<std::size_t>(n));
        }
        return n > 0;
    }

    // Parses what was received, and hands out what is valid.
    void check()
    {
        while (!m_received.empty() && !m_isInvalid && !m_parser->isComplete()) {
            const auto used = m_parser->feed(m_received);
            m_isInvalid = !used || (used.value() == 0 && m_received.size() > MaxUnparsedBytes);
            if (m_isInvalid || (used.value() == 0 && !m_parser->isComplete())) {
                return; // more bytes are needed
            }
            m_received.erase(0, used.value());
            if (!m_parser->isHeadComplete()) {
                continue;
            }
            if (m_parser->head().status < FirstFinalStatus) {
                m_parser.emplace();
                m_isInvalid = ++m_interimResponses > MaxInterimResponses;
                continue;
            }
            handOutHead();
            handOutBody();
        }
        if (!m_received.empty() && m_parser->isComplete()) {
            ::shutdown(m_socket, SHUT_RDWR); // nobody asked for more; it must not be taken for the response to the next call
        }
    }

    // Writes the head anew, without the fields that concern only this connection.
    void handOutHead()
    {
        if (std::exchange(m_hasHead, true)) {
            return;
        }
        const proxy::HttpResponseHead &head = m_parser->head();
        m_checked = "HTTP/1.1 " + std::to_string(head.status) + ' ' + head.reason + "\r\n";
        for (const proxy::HttpField &field : proxy::forwardableFields(head.fields)) {
            proxy::appendField(m_checked, field.name, field.value);
        }
        m_isChunked = proxy::findField(head.fields, "transfer-encoding") != nullptr;
        if (m_isChunked) {
            proxy::appendField(m_checked, "Transfer-Encoding", "chunked");
        } else if (const std::string *length = proxy::findField(head.fields, "content-length")) {
            proxy::appendField(m_checked, "Content-Length", *length);
        }
        if (!m_parser->keepsAlive()) {
            proxy::appendField(m_checked, "Connection", "close");
        }
        m_checked += "\r\n";
    }

    // Chunks are written anew without extensions and trailers, which httplib does not read.
    void handOutBody()
    {
        const std::string body = m_parser->takeBody();
        if (!m_isChunked) {
            m_checked += body;
            return;
        }
        if (!body.empty()) {
            std::array<char, 20> size{};
            const auto end = std::to_chars(size.data(), size.data() + size.size(), body.size(), 16).ptr;
            m_checked.append(size.data(), end).append("\r\n").append(body).append("\r\n");
        }
        if (m_parser->isComplete()) {
            m_checked += "0\r\n\r\n";
        }
    }

    const socket_t m_socket;
    const Timeouts m_timeouts;
    std::optional<proxy::HttpResponseParser> m_parser;
    std::string m_received; // not yet parsed
    std::string m_checked; // to be handed out
    bool m_hasHead = false; // the head was handed out
    bool m_isChunked = false;
    int m_interimResponses = 0;
    bool m_hasEnded = false; // the peer has closed the connection in order
    bool m_isInvalid = false;
};

std::chrono::milliseconds milliseconds(time_t seconds, time_t microseconds)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::seconds{seconds} + std::chrono::microseconds{microseconds});
}

} // namespace

bool CheckedClient::process_socket(const Socket &socket, std::function<bool(httplib::Stream &stream)> callback)
{
    CheckedStream stream(socket.sock, {milliseconds(read_timeout_sec_, read_timeout_usec_), milliseconds(write_timeout_sec_, write_timeout_usec_)});
    return callback(stream);
}

} // namespace carawaylatch::http
