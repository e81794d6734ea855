// A server, its thread, and the encodings of docs/design/wire.md.
#include "standin/httpprogram.h"

#include <httplib.h>

#include <charconv>
#include <random>
#include <thread>
#include <utility>

namespace carawaylatch::standin
{

namespace
{

constexpr std::size_t ServerThreads = 96; // a waiting watch or a stream holds one each
constexpr int KeepAliveSeconds = 30;
constexpr std::size_t KeepAliveRequests = 1'000'000;
constexpr int HexBase = 16;
constexpr std::size_t HexDigits = 16;

} // namespace

class HttpProgram::Impl
{
public:
    explicit Impl(base::Endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {
        m_server.new_task_queue = [] {
            return new httplib::ThreadPool(ServerThreads);
        };
        m_server.set_keep_alive_timeout(KeepAliveSeconds);
        m_server.set_keep_alive_max_count(KeepAliveRequests);
        m_server.set_tcp_nodelay(true);
    }

    bool start()
    {
        if (m_endpoint.port == 0) {
            const int port = m_server.bind_to_any_port(m_endpoint.address);
            if (port <= 0) {
                return false;
            }
            m_endpoint.port = static_cast<std::uint16_t>(port);
        } else if (!m_server.bind_to_port(m_endpoint.address, m_endpoint.port)) {
            return false;
        }
        m_thread = std::thread([this] {
            m_server.listen_after_bind();
        });
        while (!m_server.is_running()) {
            std::this_thread::yield();
        }
        return true;
    }

    void stop()
    {
        m_server.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    httplib::Server m_server;
    base::Endpoint m_endpoint;
    std::thread m_thread;
};

HttpProgram::HttpProgram(base::Endpoint endpoint)
    : m_impl(std::make_unique<Impl>(std::move(endpoint)))
{
}

HttpProgram::~HttpProgram()
{
    stop();
}

httplib::Server &HttpProgram::server()
{
    return m_impl->m_server;
}

bool HttpProgram::start()
{
    return m_impl->start();
}

void HttpProgram::stop()
{
    m_impl->stop();
}

const base::Endpoint &HttpProgram::endpoint() const
{
    return m_impl->m_endpoint;
}

std::string toHex(std::uint64_t value)
{
    std::string digits(HexDigits, '0');
    char buf[HexDigits];
    const auto end = std::to_chars(std::begin(buf), std::end(buf), value, HexBase).ptr;
    const auto n = static_cast<std::size_t>(end - std::begin(buf));
    digits.replace(HexDigits - n, n, std::string_view(std::begin(buf), n));
    return digits;
}

std::uint64_t fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, HexBase);
    return ec == std::errc{} && end == text.data() + text.size() ? value : 0;
}

base::Incarnation newIncarnation()
{
    std::random_device device;
    return {(static_cast<std::uint64_t>(device()) << 32U) | device() | 1U};
}

} // namespace carawaylatch::standin
