// The operators' port: health, metrics, status, explanation, drain (docs/API.md).
#pragma once

#include <memory>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/http/callerhandler.h"

namespace carawaylatch::http
{

// Implemented by the router; called from a few threads.
class OperatorHandler
{
public:
    virtual ~OperatorHandler() = default;
    // Returns why the router is not ready; empty when it is.
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
    // `handler` must outlive the server. Port 0 takes a free one.
    OperatorsServer(const base::Endpoint &endpoint, OperatorHandler &handler);
    ~OperatorsServer();

    [[nodiscard]] bool start();
    void stop();
    [[nodiscard]] const base::Endpoint &endpoint() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::http
