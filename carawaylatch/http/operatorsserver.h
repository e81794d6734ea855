// HTTP server for operators: health, metrics, status, explain, drain (docs/API.md).
#pragma once

#include <memory>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/http/callerhandler.h"

namespace carawaylatch::http
{

// Implemented by the router. Called concurrently by the server's threads.
class OperatorHandler
{
public:
    virtual ~OperatorHandler() = default;
    // Returns the reason why the router is not ready, empty if it is ready.
    [[nodiscard]] virtual std::string notReadyBecause() = 0;
    [[nodiscard]] virtual std::string metricsText() = 0;
    [[nodiscard]] virtual std::string statusJson() = 0;
    [[nodiscard]] virtual std::string dashboard() = 0;
    [[nodiscard]] virtual base::Result<std::string> explainJson(const CompletionCall &call) = 0;
    [[nodiscard]] virtual base::Result<void> drain(const base::UpstreamId &upstream) = 0;
    [[nodiscard]] virtual base::Result<void> undrain(const base::UpstreamId &upstream) = 0;
};

class OperatorsServer
{
public:
    // `handler` must outlive the server. Port 0 lets the system choose a free port.
    OperatorsServer(const base::Endpoint &endpoint, OperatorHandler &handler);
    ~OperatorsServer();

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
