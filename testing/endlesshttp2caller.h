// A faulty HTTP/2 client over loopback that sends requests without end and reads no response.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace carawaylatch::testing
{

class EndlessHttp2Caller : public std::enable_shared_from_this<EndlessHttp2Caller>
{
public:
    explicit EndlessHttp2Caller(boost::asio::io_context &loop)
        : m_loop(loop)
        , m_socket(loop)
    {
    }

    void start(std::uint16_t port)
    {
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        m_output = std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") + frame(Settings, 0, 0, {});
        write();
    }
    [[nodiscard]] std::size_t sentBytes() const
    {
        return m_sent;
    }
    // Runs the loop until the server takes no more bytes for a while, or has closed the connection; false if it takes them for
    // five seconds.
    bool runUntilStopped()
    {
        constexpr std::chrono::milliseconds Pause{300};
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{5};
        while (std::chrono::steady_clock::now() < end) {
            const std::size_t before = m_sent;
            m_loop.run_for(Pause);
            if (m_sent == before) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr char Settings = 4;
    static constexpr char Headers = 1;
    static constexpr char EndOfStreamAndHeaders = 5;

    static std::string frame(char type, char flags, std::uint32_t stream, const std::string &payload)
    {
        std::string out;
        for (int shift = 16; shift >= 0; shift -= 8) {
            out.push_back(static_cast<char>(payload.size() >> shift));
        }
        out.push_back(type);
        out.push_back(flags);
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.push_back(static_cast<char>(stream >> shift));
        }
        return out + payload;
    }

    void write()
    {
        constexpr std::size_t PieceBytes = 65'536;
        while (m_output.size() < PieceBytes) {
            m_output += frame(Headers, EndOfStreamAndHeaders, m_stream, "\x83\x86\x84"); // POST http /, RFC 7541, appendix A
            m_stream += 2;
        }
        m_socket.async_write_some(boost::asio::buffer(m_output), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
            self->m_sent += n;
            self->m_output.erase(0, n);
            if (!ec) {
                self->write();
            }
        });
    }

    boost::asio::io_context &m_loop;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_output; // of the pending write, and what follows
    std::uint32_t m_stream = 1; // of the next request
    std::size_t m_sent = 0;
};

} // namespace carawaylatch::testing
