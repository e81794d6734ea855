// Handles callers' requests on the traffic threads: runs the filter chain, then passes
// completions to the relay, at-most-once calls to the order executor and idempotent
// calls to a service.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "carawaylatch/admission/admissioncontroller.h"
#include "carawaylatch/http/callerhandler.h"
#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/relay/relaydriver.h"
#include "carawaylatch/router/completionplacer.h"
#include "carawaylatch/router/filterchain.h"
#include "carawaylatch/telemetry/explainreport.h"
#include "carawaylatch/telemetry/metrics.h"

namespace carawaylatch::router
{

// Dependencies of the traffic plane; all references outlive it.
struct TrafficDependencies
{
    PlacementDependencies placing;
    admission::AdmissionController &admissionController;
    relay::RelayDriver &relay;
    orders::OrderExecutor &executor;
    orders::ServiceConnection &services;
    relay::AttemptIdGenerator &attemptIds;
    telemetry::Metrics &metrics;
    base::Duration serviceTimeout; // of an idempotent call to a service
};

class TrafficPlane : public http::CallerHandler, public WaitEstimator
{
public:
    explicit TrafficPlane(const TrafficDependencies &dependencies);
    ~TrafficPlane() override;

    void complete(const http::CompletionCall &call, relay::CallerSink &sink) override;
    [[nodiscard]] http::ServiceResult callService(const http::ServiceCall &call) override;
    [[nodiscard]] base::Result<std::vector<base::ModelId>> models(const http::RequestMetadata &head) override;

    [[nodiscard]] base::Duration expectedFirstToken(const RequestContext &context) const override;
    // Returns where a request would be placed and why, without executing it.
    [[nodiscard]] base::Result<telemetry::ExplainReport> explain(const http::CompletionCall &call);
    // Number of requests in flight, queued ones included.
    [[nodiscard]] std::size_t openRequests() const;

private:
    // Counts a request as open during its lifetime.
    class OpenRequestScope;

    [[nodiscard]] RequestContext createContext(const http::RequestMetadata &head) const;
    void recordMetrics(const RequestContext &context, const relay::RelayReport &report, std::uint64_t wastedTokens);
    void recordRefusal(const RequestContext &context, const base::Error &error);
    [[nodiscard]] http::ServiceResult runOrder(const http::ServiceCall &call, RequestContext &context);
    [[nodiscard]] http::ServiceResult runIdempotentCall(const http::ServiceCall &call, RequestContext &context);
    [[nodiscard]] orders::ServiceRequest serviceRequest(const http::ServiceCall &call, const RequestContext &context) const;

    TrafficDependencies m_dependencies;
    std::vector<std::unique_ptr<Filter>> m_filters; // of every request
    std::vector<std::unique_ptr<Filter>> m_explainFilters; // the same without Admit
    std::atomic<std::size_t> m_openRequests = 0;
};

} // namespace carawaylatch::router
