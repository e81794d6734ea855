// Builds the status report from the router's published state.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "carawaylatch/admission/admissioncontroller.h"
#include "carawaylatch/router/controlsnapshot.h"
#include "carawaylatch/router/routingstate.h"
#include "carawaylatch/telemetry/metrics.h"
#include "carawaylatch/telemetry/statusreport.h"

namespace carawaylatch::router
{

// Rate of a customer's admitted requests at this router.
struct CustomerRate
{
    base::CustomerId customer;
    std::uint64_t admitted = 0; // since the start
    double perSecond = 0; // over the last sampling interval
};

// Returns the rates over `interval`, at whose start the counters had the values in `earlier`.
[[nodiscard]] std::vector<CustomerRate> customerRates(const admission::AdmissionController &admissionController, std::span<const CustomerRate> earlier,
                                                      base::Duration interval);

// Sources of the report.
struct StatusSources
{
    const ControlSnapshotPointer &published;
    const RoutingState &routingState;
    const admission::AdmissionController &admissionController;
    const telemetry::Metrics &metrics;
    telemetry::RouterStatus self; // readiness, reason and revision are filled in from the snapshot
    double controlCoreShare = 0;
    std::vector<CustomerRate> rates;
};

// Thread-safe.
[[nodiscard]] telemetry::StatusReport buildStatus(const StatusSources &sources, base::TimePoint now);

} // namespace carawaylatch::router
