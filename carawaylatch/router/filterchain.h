// The filters that every request passes before it is executed.
//
//   check serving -> identify customer -> match route -> check size -> admit
//
// Each filter adds to the request's context or rejects the request with an error;
// none of them does I/O. TrafficPlane executes the request afterwards.
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
#include "carawaylatch/router/controlsnapshot.h"

namespace carawaylatch::router
{

// Properties of a request; the filters fill them in.
struct RequestContext
{
    // Set on arrival.
    const http::RequestMetadata &head;
    base::ModelId model; // empty for services
    std::string_view prompt; // the body for services
    std::uint32_t maxTokens = 0;
    base::TimePoint arrivedAt;
    // Owns the tables and views that the pointers below point into.
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

// Rejects requests with Unavailable while the router refuses requests or has no
// configuration.
class CheckServing : public Filter
{
public:
    [[nodiscard]] base::Result<void> apply(RequestContext &context) const override;
};

// Finds the customer of the bearer key. Unauthenticated if the key is missing or unknown.
class IdentifyCustomer : public Filter
{
public:
    [[nodiscard]] base::Result<void> apply(RequestContext &context) const override;
};

// Finds route and pool and sets the deadline. NotFound for an unknown path or model;
// Forbidden if the route does not allow the customer or the traffic class; Internal if
// the route's pool is not configured.
class MatchRoute : public Filter
{
public:
    [[nodiscard]] base::Result<void> apply(RequestContext &context) const override;
};

// Rejects prompts over the route's limit with InvalidArgument.
class CheckSize : public Filter
{
public:
    [[nodiscard]] base::Result<void> apply(RequestContext &context) const override;
};

// Estimates the time to first token at the upstreams for a request that is not admitted
// yet. Zero if unknown.
class WaitEstimator
{
public:
    virtual ~WaitEstimator() = default;
    [[nodiscard]] virtual base::Duration expectedFirstToken(const RequestContext &context) const = 0;
};

// Waits in the fair queue for admission. Rejects a request at once if it can't be
// served before its deadline.
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
