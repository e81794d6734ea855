// HTTP server for callers: completions, chat, models, plain services (docs/API.md).
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
    base::Endpoint endpoint; // port 0 lets the system choose a free port
    std::uint32_t maxStreams = 512; // concurrent requests; each occupies a thread
    std::uint64_t maxBodyBytes = 8'000'000;
};

class CallersServer
{
public:
    // `handler` must outlive the server.
    CallersServer(const CallersServerOptions &options, CallerHandler &handler);
    ~CallersServer();

    // Binds the address and starts to serve. Returns false if it can't be bound.
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
