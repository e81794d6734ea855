// Makes the status report out of the router's snapshots.
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

// How often a customer's requests were admitted at this router.
struct CustomerRate
{
    base::CustomerId customer;
    std::uint64_t admitted = 0; // since the start
    double perSecond = 0; // over the last sampling interval
};

// Returns the rates over an interval that began with `earlier`.
[[nodiscard]] std::vector<CustomerRate> customerRates(const admission::AdmissionController &admissionController, std::span<const CustomerRate> earlier,
                                                      base::Duration interval);

// Parts that the report is made of.
struct StatusSources
{
    const ControlSnapshotPointer &published;
    const RoutingState &routingState;
    const admission::AdmissionController &admissionController;
    const telemetry::Metrics &metrics;
    telemetry::RouterStatus self; // without what the snapshot holds
    double controlCoreShare = 0;
    std::vector<CustomerRate> rates;
};

// Safe from any thread.
[[nodiscard]] telemetry::StatusReport buildStatus(const StatusSources &sources, base::TimePoint now);

} // namespace carawaylatch::router
