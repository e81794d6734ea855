// One router: all roles in one object.
//
//     auto settings = config::loadSettings("router.ini");
//     router::Router router(settings.value());
//     if (auto started = router.start(); !started) { ... }
//     router.requestStop();   // from a signal; a second call cuts open streams
//     router.waitUntilStopped();
//
// The object owns its threads and sockets. It reads no other file and starts no
// other process; all that must last is in the platform's object store.
#pragma once

#include <memory>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/config/settings.h"

namespace carawaylatch::router
{

enum class StopKind {
    Graceful, // every open stream was finished
    Forced, // a second request ended what was still open
};

class Router
{
public:
    explicit Router(const config::Settings &settings);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    // Binds all ports and starts to serve as soon as it is ready. An error names
    // the setting to change.
    [[nodiscard]] base::Result<void> start();
    // Begins the planned stop; called again, it cuts what is still open. Any thread.
    void requestStop();
    // Returns once the planned stop has ended. After Cut the process should end at
    // once: destroying the router would wait for the open streams.
    [[nodiscard]] StopKind waitUntilStopped();

    // Bound addresses, known after start().
    [[nodiscard]] base::Endpoint callersEndpoint() const;
    [[nodiscard]] base::Endpoint operatorsEndpoint() const;
    [[nodiscard]] base::Endpoint peersEndpoint() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::router
