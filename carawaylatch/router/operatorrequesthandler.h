// Handles the requests of the operators' port: readiness, metrics, status, dashboard,
// explain, drain and undrain.
#pragma once

#include <mutex>
#include <vector>

#include "carawaylatch/base/eventloop.h"
#include "carawaylatch/http/operatorsserver.h"
#include "carawaylatch/peer/transport.h"
#include "carawaylatch/router/statusbuilder.h"
#include "carawaylatch/router/trafficplane.h"
#include "carawaylatch/router/upstreamcontroller.h"
#include "carawaylatch/store/httpobjectstore.h"
#include "carawaylatch/telemetry/dashboardseries.h"

namespace carawaylatch::router
{

// Dependencies that outlive the handler.
struct OperatorDependencies
{
    const config::Settings &settings;
    base::Incarnation incarnation;
    const base::Clock &clock;
    base::EventLoop &loop;
    const ControlSnapshotPointer &published;
    const RoutingState &routingState;
    const admission::AdmissionController &admissionController;
    telemetry::Metrics &metrics;
    TrafficPlane &traffic;
    UpstreamController &upstreams;
    const peer::PeerTransport &transport;
    const store::HttpObjectStore &objects;
};

class OperatorRequestHandler : public http::OperatorHandler
{
public:
    explicit OperatorRequestHandler(const OperatorDependencies &dependencies);

    [[nodiscard]] std::string notReadyBecause() override;
    [[nodiscard]] std::string metricsText() override;
    [[nodiscard]] std::string statusJson() override;
    [[nodiscard]] std::string dashboard() override;
    [[nodiscard]] base::Result<std::string> explainJson(const http::CompletionCall &call) override;
    [[nodiscard]] base::Result<void> drain(const base::UpstreamId &upstream) override;
    [[nodiscard]] base::Result<void> undrain(const base::UpstreamId &upstream) override;

    // Records a sample for the dashboard's charts and the cost of the control plane;
    // called every few seconds.
    void sample(base::TimePoint now);

private:
    void recordControlTraffic();
    [[nodiscard]] telemetry::StatusReport report();
    [[nodiscard]] base::Result<void> checkUpstreamExists(const base::UpstreamId &upstream) const;

    const OperatorDependencies m_dependencies;
    const base::TimePoint m_startedAt;
    std::mutex m_mutex;
    // All members below are guarded by m_mutex.
    telemetry::DashboardSeries m_series;
    base::TimePoint m_sampledAt;
    base::Duration m_sampledProcessorTime{};
    double m_controlCoreShare = 0;
    std::vector<CustomerRate> m_rates;
};

} // namespace carawaylatch::router
