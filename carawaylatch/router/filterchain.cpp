// Routes are matched by path, model, customer and traffic class in this order, so that
// the error can say which of them did not match.
#include "carawaylatch/router/filterchain.h"

#include <algorithm>
#include <array>

#include "carawaylatch/config/keydigest.h"
#include "carawaylatch/prefix/chain.h"

namespace carawaylatch::router
{

namespace
{

constexpr base::Duration NotServingRetryAfter = base::seconds{1};

// A route's path matches itself and, for services, all paths below it.
bool matchesPath(const config::Route &route, std::string_view path)
{
    path = path.substr(0, path.find('?'));
    return path == route.path || (route.model.isEmpty() && path.starts_with(route.path) && path.substr(route.path.size()).starts_with('/'));
}

bool allowsCustomer(const config::Route &route, const base::CustomerId &customer)
{
    return route.customers.empty() || std::find(route.customers.begin(), route.customers.end(), customer) != route.customers.end();
}

// How many properties of a route a request matches. The error is about the route that
// matches most.
enum class MatchLevel {
    None,
    Path,
    Model,
    Customer,
    All,
};

MatchLevel matchLevel(const config::Route &route, const RequestContext &context)
{
    if (!matchesPath(route, context.head.path)) {
        return MatchLevel::None;
    }
    if (route.model != context.model) {
        return MatchLevel::Path;
    }
    if (!allowsCustomer(route, context.customer->id)) {
        return MatchLevel::Model;
    }
    return !route.trafficClass || *route.trafficClass == context.head.trafficClass ? MatchLevel::All : MatchLevel::Customer;
}

base::Error noRouteError(MatchLevel level, const RequestContext &context)
{
    switch (level) {
    case MatchLevel::None:
        return base::fail(base::ErrorKind::NotFound, "no route serves " + context.head.path + "; GET /v1/models lists models, operators list routes");
    case MatchLevel::Path:
        return base::fail(base::ErrorKind::NotFound, "no route serves model '" + context.model.value() + "'; GET /v1/models lists the models");
    case MatchLevel::Model:
        return base::fail(base::ErrorKind::Forbidden, "this key may not use the route; ask the operators to add the customer to it");
    case MatchLevel::Customer:
    case MatchLevel::All:
        break;
    }
    return base::fail(base::ErrorKind::Forbidden, "the route does not serve this traffic class; set X-Traffic-Class to the other one");
}

const config::Pool *findPool(const config::Tables &tables, const base::PoolName &name)
{
    const auto it = std::find_if(tables.pools.begin(), tables.pools.end(), [&](const config::Pool &pool) {
        return pool.name == name;
    });
    return it == tables.pools.end() ? nullptr : &*it;
}

} // namespace

base::Result<void> runFilters(std::span<const std::unique_ptr<Filter>> filters, RequestContext &context)
{
    for (const auto &it : filters) {
        BOOST_OUTCOME_TRYV(it->apply(context));
    }
    return base::ok();
}

base::Result<void> CheckServing::apply(RequestContext &context) const
{
    const auto &snapshot = *context.snapshot;
    if (snapshot.serving == ServingState::Refusing) {
        return base::fail(base::ErrorKind::Unavailable, "this router is stopping; nothing ran, send the request to another one", NotServingRetryAfter);
    }
    if (!snapshot.tables) {
        return base::fail(base::ErrorKind::Unavailable, "this router has no configuration yet; nothing ran, try another one", NotServingRetryAfter);
    }
    return base::ok();
}

base::Result<void> IdentifyCustomer::apply(RequestContext &context) const
{
    if (context.head.bearerKey.empty()) {
        return base::fail(base::ErrorKind::Unauthenticated, "no key; send the header Authorization: Bearer KEY");
    }
    const std::string digest = config::keyDigest(context.head.bearerKey);
    const auto &customers = context.snapshot->tables->customers;
    const auto it = std::find_if(customers.begin(), customers.end(), [&](const config::Customer &customer) {
        return customer.keyDigest == digest;
    });
    if (it == customers.end()) {
        return base::fail(base::ErrorKind::Unauthenticated, "the key is unknown; ask the operators for one");
    }
    context.customer = &*it;
    return base::ok();
}

base::Result<void> MatchRoute::apply(RequestContext &context) const
{
    MatchLevel best = MatchLevel::None;
    for (const auto &it : context.snapshot->tables->routes) {
        const MatchLevel level = matchLevel(it, context);
        best = std::max(best, level);
        if (level == MatchLevel::All) {
            context.route = &it;
            break;
        }
    }
    if (context.route == nullptr) {
        return noRouteError(best, context);
    }
    context.pool = findPool(*context.snapshot->tables, context.route->pool);
    if (context.pool == nullptr) {
        return base::fail(base::ErrorKind::Internal, "pool " + context.route->pool.value() + " is not configured; operators: add it or change the route");
    }
    const base::Duration routeDeadline = context.route->deadline;
    context.deadline = context.arrivedAt + std::min(context.head.deadline.value_or(routeDeadline), routeDeadline);
    return base::ok();
}

base::Result<void> CheckSize::apply(RequestContext &context) const
{
    const std::uint32_t limit = context.route->maxPromptBytes;
    if (context.prompt.size() > limit) {
        return base::fail(base::ErrorKind::InvalidArgument,
                          "the prompt has " + std::to_string(context.prompt.size()) + " bytes; this route takes at most " + std::to_string(limit));
    }
    return base::ok();
}

Admit::Admit(admission::AdmissionController &admissionController, const WaitEstimator &estimator, const base::Clock &clock)
    : m_admissionController(admissionController)
    , m_estimator(estimator)
    , m_clock(clock)
{
}

base::Result<void> Admit::apply(RequestContext &context) const
{
    admission::AdmissionRequest request;
    request.customer = context.customer->id;
    request.trafficClass = context.head.trafficClass;
    request.tokens = prefix::promptTokens(context.prompt) + context.maxTokens;
    request.deadline = context.deadline;
    request.expectedWait = m_estimator.expectedFirstToken(context);
    BOOST_OUTCOME_TRY(ticket, m_admissionController.admit(request, m_clock.now()));
    context.ticket = std::move(ticket);
    return base::ok();
}

} // namespace carawaylatch::router
