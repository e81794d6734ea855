// The traffic threads' side of the router: callers' requests through the filter
// chain to the relay, to the order desk or to a plain service.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "carawaylatch/admission/admissioncontroller.h"
#include "carawaylatch/http/callerhandler.h"
#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/relay/relaydriver.h"
#include "carawaylatch/router/filterchain.h"
#include "carawaylatch/router/routeplacer.h"
#include "carawaylatch/telemetry/explainreport.h"
#include "carawaylatch/telemetry/metrics.h"

namespace carawaylatch::router
{

// Parts that the traffic plane uses; all outlive it.
struct TrafficParts
{
    PlacingParts placing;
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
    explicit TrafficPlane(const TrafficParts &parts);
    ~TrafficPlane() override;

    void complete(const http::CompletionCall &call, relay::CallerSink &sink) override;
    [[nodiscard]] http::ServiceResult callService(const http::ServiceCall &call) override;
    [[nodiscard]] base::Result<std::vector<base::ModelId>> models(const http::RequestMetadata &head) override;

    [[nodiscard]] base::Duration expectedFirstToken(const RequestContext &context) const override;
    // Says where a request would go and why, without running it.
    [[nodiscard]] base::Result<telemetry::ExplainReport> explain(const http::CompletionCall &call);
    // Requests in flight, waiting ones included.
    [[nodiscard]] std::size_t openRequests() const;

private:
    // Counts a request while it is open.
    class OpenRequest;

    [[nodiscard]] RequestContext contextOf(const http::RequestMetadata &head) const;
    void account(const RequestContext &context, const relay::RelayReport &report, std::uint64_t wastedTokens);
    void accountRefusal(const RequestContext &context, const base::Error &error);
    [[nodiscard]] http::ServiceResult runOrder(const http::ServiceCall &call, RequestContext &context);
    [[nodiscard]] http::ServiceResult runPlainCall(const http::ServiceCall &call, RequestContext &context);
    [[nodiscard]] orders::ServiceRequest serviceRequest(const http::ServiceCall &call, const RequestContext &context) const;

    TrafficParts m_parts;
    std::vector<std::unique_ptr<Filter>> m_filters; // of every request
    std::vector<std::unique_ptr<Filter>> m_explainFilters; // the same without admission
    std::atomic<std::size_t> m_open = 0;
};

} // namespace carawaylatch::router
