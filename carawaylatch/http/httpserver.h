// An HTTP server bound to one address, with its threads: what the callers' port,
// the operators' port and the stand-ins have in common.
#pragma once

#include <cstdint>
#include <memory>

#include "carawaylatch/base/ids.h"

namespace httplib
{
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace carawaylatch::http
{

class HttpServer
{
public:
    static constexpr std::size_t DefaultThreads = 96;

    // Handlers are added to server() before start(). Port 0 takes a free one.
    // `threads` requests run at the same time; a stream or a waiting watch holds one.
    explicit HttpServer(base::Endpoint endpoint, std::size_t threads = DefaultThreads);
    ~HttpServer();

    [[nodiscard]] httplib::Server &server();
    // Binds and serves until stop(); false if the address can't be bound.
    [[nodiscard]] bool start();
    // Takes no new connections and waits for open requests to end.
    void stop();
    // The bound address; the port is known after start().
    [[nodiscard]] const base::Endpoint &endpoint() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::http
