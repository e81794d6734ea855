// The filters that every request passes before it runs.
//
//   identify customer -> match route -> check size -> admit -> (relay or order)
//
// Each filter adds to the request's context or ends the request with an error;
// none of them does I/O. What runs the request afterwards is trafficplane.h.
#pragma once

#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "carawaylatch/admission/admissioncontroller.h"
#include "carawaylatch/base/error.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/http/callerhandler.h"
#include "carawaylatch/router/published.h"

namespace carawaylatch::router
{

// What is known of a request; grows from filter to filter.
struct RequestContext
{
    // Set at the arrival.
    const http::RequestMetadata &head;
    base::ModelId model; // empty for services
    std::string_view prompt; // the body for services
    std::uint32_t maxTokens = 0;
    base::TimePoint arrivedAt;
    // Keeps tables and view alive; the pointers below point into it.
    std::shared_ptr<const ControlSnapshot> snapshot;

    const config::Customer *customer = nullptr; // set by IdentifyCustomer
    const config::Route *route = nullptr; // set by MatchRoute
    const config::Pool *pool = nullptr; // set by MatchRoute
    base::TimePoint deadline; // set by MatchRoute
    admission::Ticket ticket; // set by Admit
};

class Filter
{
public:
    virtual ~Filter() = default;
    [[nodiscard]] virtual base::Result<void> apply(RequestContext &context) const = 0;
};

// Runs the filters in order up to the first error.
[[nodiscard]] base::Result<void> runFilters(std::span<const std::unique_ptr<Filter>> filters, RequestContext &context);

// Refuses requests while the router doesn't serve (Unavailable, nothing ran).
class CheckServing : public Filter
{
public:
    [[nodiscard]] base::Result<void> apply(RequestContext &context) const override;
};

// Finds the customer of the bearer key, or Unauthenticated.
class IdentifyCustomer : public Filter
{
public:
    [[nodiscard]] base::Result<void> apply(RequestContext &context) const override;
};

// Finds route and pool: NotFound for an unknown path or model, Forbidden for a
// route of other customers. Sets the deadline.
class MatchRoute : public Filter
{
public:
    [[nodiscard]] base::Result<void> apply(RequestContext &context) const override;
};

// Refuses prompts over the route's limit.
class CheckSize : public Filter
{
public:
    [[nodiscard]] base::Result<void> apply(RequestContext &context) const override;
};

// Estimates the wait at the upstreams for a request that isn't admitted yet.
class WaitEstimator
{
public:
    virtual ~WaitEstimator() = default;
    [[nodiscard]] virtual base::Duration expectedFirstToken(const RequestContext &context) const = 0;
};

// Takes a place from the gate, waiting for its turn; refuses at once what can't
// be answered in time.
class Admit : public Filter
{
public:
    Admit(admission::AdmissionController &admissionController, const WaitEstimator &estimator, const base::Clock &clock);
    [[nodiscard]] base::Result<void> apply(RequestContext &context) const override;

private:
    admission::AdmissionController &m_admissionController;
    const WaitEstimator &m_estimator;
    const base::Clock &m_clock;
};

} // namespace carawaylatch::router
