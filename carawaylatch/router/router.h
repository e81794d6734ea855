// A complete router: traffic, control and operators' interface in one object.
//
//     auto settings = config::loadSettings("router.ini");
//     router::Router router(settings.value());
//     if (auto started = router.start(); !started) { ... }
//     router.requestStop();   // from a signal; a second call aborts open streams
//     const auto kind = router.waitUntilStopped();
//
// The object owns its threads and sockets. It reads no file and starts no process;
// persistent state is in the platform's object store.
#pragma once

#include <memory>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/config/settings.h"

namespace carawaylatch::router
{

enum class StopKind {
    Graceful, // every open stream finished
    Forced, // a second requestStop() ended it early; open streams are aborted
};

class Router
{
public:
    explicit Router(const config::Settings &settings);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    // Binds all ports; the router serves requests as soon as it is ready. The
    // message of an error names the setting to change.
    [[nodiscard]] base::Result<void> start();
    // Starts the graceful shutdown; a second call aborts open streams. Thread-safe.
    void requestStop();
    // Blocks until the shutdown has finished. After Forced the process should exit
    // at once: destroying the router would wait for the open streams.
    [[nodiscard]] StopKind waitUntilStopped();

    // Bound addresses, valid after start().
    [[nodiscard]] base::Endpoint callersEndpoint() const;
    [[nodiscard]] base::Endpoint operatorsEndpoint() const;
    [[nodiscard]] base::Endpoint peersEndpoint() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::router
