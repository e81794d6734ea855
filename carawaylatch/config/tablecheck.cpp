// Checks of references: from routes to pools and customers, and of upstreams that
// are members of several pools.
//
// Two routes are ambiguous if a request could match both with equal precedence:
// they have the same path, model and class, and share a customer or are both open
// to all customers. A route that names customers or a class takes precedence over
// one that doesn't, so these may overlap.
#include "carawaylatch/config/tablecheck.h"

#include <algorithm>
#include <map>
#include <set>

#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::config
{

using base::ok;
using base::Result;

namespace
{

constexpr std::string_view ServicePrefix = "/v1/services/";

base::Error inconsistency(const std::string &location, const std::string &message)
{
    return base::fail(base::ErrorKind::InvalidArgument, location + message);
}

RowKey routeKey(const Route &route)
{
    return {"route", route.name.value()};
}

RowKey poolKey(const Pool &pool)
{
    return {"pool", pool.name.value()};
}

Result<void> checkCustomers(const Tables &tables, const RowLocator &locate)
{
    std::map<std::string, base::CustomerId> digests;
    for (const auto &it : tables.customers) {
        const auto [other, isNew] = digests.emplace(it.keyDigest, it.id);
        if (!isNew) {
            return inconsistency(locate({"customer", it.id.value()}),
                                 "customer " + it.id.value() + " has the key of customer " + other->second.value() + "; give each its own key");
        }
    }
    return ok();
}

Result<void> checkPool(const Pool &pool, const std::string &location)
{
    if (pool.kind == UpstreamKind::Engine && pool.model.isEmpty()) {
        return inconsistency(location, "pool " + pool.name.value() + " of engines has no model; write model = NAME");
    }
    if (pool.kind == UpstreamKind::Service && (!pool.model.isEmpty() || pool.weightsVersion.value != 0 || !pool.adapter.empty())) {
        return inconsistency(location,
                             "pool " + pool.name.value() + " of services has a model, weights version or adapter; remove these or write kind = engine");
    }
    return ok();
}

Result<void> checkMembers(const Tables &tables, const RowLocator &locate)
{
    std::map<base::UpstreamId, std::pair<const Pool *, const PoolMember *>> byId;
    std::map<base::Endpoint, base::UpstreamId> byEndpoint;
    for (const auto &pool : tables.pools) {
        const auto location = locate(poolKey(pool));
        std::set<base::UpstreamId> inPool;
        for (const auto &it : pool.members) {
            if (!inPool.insert(it.id).second) {
                return inconsistency(location, "pool " + pool.name.value() + " has member " + it.id.value() + " twice; remove one");
            }
            const auto &[otherPool, other] = byId.try_emplace(it.id, &pool, &it).first->second;
            if (other->endpoint != it.endpoint || other->domain != it.domain) {
                return inconsistency(location, "member " + it.id.value() + " has another endpoint or failure domain in pool " + otherPool->name.value()
                                                   + "; write the same in both or rename one");
            }
            if (otherPool->model != pool.model) {
                return inconsistency(location,
                                     "member " + it.id.value() + " serves another model in pool " + otherPool->name.value() + "; an upstream has one model");
            }
            if (const auto owner = byEndpoint.try_emplace(it.endpoint, it.id).first->second; owner != it.id) {
                return inconsistency(location, "members " + it.id.value() + " and " + owner.value() + " have the endpoint " + formatEndpoint(it.endpoint)
                                                   + "; give each its own");
            }
        }
    }
    return ok();
}

Result<void> checkRoute(const Route &route, const Tables &tables, const std::string &location)
{
    const auto pool = std::find_if(tables.pools.begin(), tables.pools.end(), [&](const Pool &it) {
        return it.name == route.pool;
    });
    const std::string label = "route " + route.name.value();
    if (pool == tables.pools.end()) {
        return inconsistency(location,
                             label + " goes to pool '" + route.pool.value() + "', which doesn't exist; add [pool " + route.pool.value() + "] or name another");
    }
    const bool isServicePath = route.path.starts_with(ServicePrefix);
    if (isServicePath != (pool->kind == UpstreamKind::Service)) {
        return inconsistency(location, label + " has path " + route.path + " but pool " + pool->name.value()
                                           + " is of another kind; write /v1/services/NAME for services, /v1/completions or /v1/chat/completions for engines");
    }
    if (route.model != pool->model) {
        return inconsistency(location, label + " names model '" + route.model.value() + "' but pool " + pool->name.value() + " serves '" + pool->model.value()
                                           + "'; write the same in both");
    }
    for (const auto &it : route.customers) {
        const bool isKnown = std::any_of(tables.customers.begin(), tables.customers.end(), [&](const Customer &customer) {
            return customer.id == it;
        });
        if (!isKnown) {
            return inconsistency(location,
                                 label + " names customer '" + it.value() + "', which doesn't exist; add [customer " + it.value() + "] or remove the name");
        }
    }
    if (route.idempotency == Idempotency::AtMostOnce && route.hedging == Hedging::On) {
        return inconsistency(location, label + " hedges calls that may run at most once; write hedging = off");
    }
    return ok();
}

bool isAmbiguous(const Route &first, const Route &second)
{
    if (first.path != second.path || first.model != second.model || first.trafficClass != second.trafficClass) {
        return false;
    }
    if (first.customers.empty() || second.customers.empty()) {
        return first.customers.empty() && second.customers.empty();
    }
    return std::any_of(first.customers.begin(), first.customers.end(), [&](const base::CustomerId &it) {
        return std::find(second.customers.begin(), second.customers.end(), it) != second.customers.end();
    });
}

Result<void> checkAmbiguity(const Tables &tables, const RowLocator &locate)
{
    std::map<std::pair<std::string, base::ModelId>, std::vector<const Route *>> byTarget;
    for (const auto &route : tables.routes) {
        auto &others = byTarget[{route.path, route.model}];
        for (const auto *it : others) {
            if (isAmbiguous(route, *it)) {
                return inconsistency(locate(routeKey(route)), "routes " + it->name.value() + " and " + route.name.value()
                                                                  + " match the same requests; change path, model, class or customers of one");
            }
        }
        others.push_back(&route);
    }
    return ok();
}

} // namespace

Result<void> checkTables(const Tables &tables, const RowLocator &locate)
{
    BOOST_OUTCOME_TRY(checkCustomers(tables, locate));
    for (const auto &it : tables.pools) {
        BOOST_OUTCOME_TRY(checkPool(it, locate(poolKey(it))));
    }
    BOOST_OUTCOME_TRY(checkMembers(tables, locate));
    for (const auto &it : tables.routes) {
        BOOST_OUTCOME_TRY(checkRoute(it, tables, locate(routeKey(it))));
    }
    return checkAmbiguity(tables, locate);
}

} // namespace carawaylatch::config
