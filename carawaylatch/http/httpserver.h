// HTTP server on one address with its own threads. Shared by the callers' server, the
// operators' server and the stand-ins.
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

    // Handlers must be added to server() before start(). Port 0 lets the system choose a
    // free port. At most `threads` requests run concurrently; an open stream or a
    // long-polling watch occupies a thread.
    explicit HttpServer(base::Endpoint endpoint, std::size_t threads = DefaultThreads);
    ~HttpServer();

    [[nodiscard]] httplib::Server &server();
    // Binds the address and serves until stop(). Returns false if it can't be bound.
    [[nodiscard]] bool start();
    // Stops accepting connections and waits until the open requests end.
    void stop();
    // Returns the bound address. A port chosen by the system is known after start().
    [[nodiscard]] const base::Endpoint &endpoint() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::http
