// The callers' port: completions, chat, models, plain services (docs/API.md).
#pragma once

#include <cstdint>
#include <memory>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/http/callerhandler.h"

namespace carawaylatch::http
{

struct CallersServerOptions
{
    base::Endpoint endpoint; // port 0 takes a free one
    std::uint32_t maxStreams = 512; // requests at the same time; each holds a thread
    std::uint64_t maxBodyBytes = 8'000'000;
};

class CallersServer
{
public:
    // `handler` must outlive the server.
    CallersServer(const CallersServerOptions &options, CallerHandler &handler);
    ~CallersServer();

    // Binds and serves; false if the address can't be bound.
    [[nodiscard]] bool start();
    // Takes no new connections, waits for open requests to end.
    void stop();
    // The bound address; the port is known after start().
    [[nodiscard]] const base::Endpoint &endpoint() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::http
