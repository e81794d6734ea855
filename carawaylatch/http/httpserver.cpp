// Wraps httplib::Server with an accept thread and a thread pool for requests.
#include "carawaylatch/http/httpserver.h"

#include <httplib.h>

#include <thread>
#include <utility>

#include "carawaylatch/http/threadpool.h"

namespace carawaylatch::http
{

namespace
{

constexpr int KeepAliveSeconds = 30;
constexpr std::size_t KeepAliveRequests = 1'000'000;

} // namespace

class HttpServer::Impl
{
public:
    Impl(base::Endpoint endpoint, std::size_t threads)
        : m_endpoint(std::move(endpoint))
    {
        m_server.new_task_queue = [threads] {
            return new ThreadPool(threads);
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

HttpServer::HttpServer(base::Endpoint endpoint, std::size_t threads)
    : m_impl(std::make_unique<Impl>(std::move(endpoint), threads))
{
}

HttpServer::~HttpServer()
{
    stop();
}

httplib::Server &HttpServer::server()
{
    return m_impl->m_server;
}

bool HttpServer::start()
{
    return m_impl->start();
}

void HttpServer::stop()
{
    m_impl->stop();
}

const base::Endpoint &HttpServer::endpoint() const
{
    return m_impl->m_endpoint;
}

} // namespace carawaylatch::http
