// The operators' tables. A route selects the pool for a request, a pool is a named
// set of upstreams, and a customer has a key and limits. Routes refer to pools by
// name. These are plain validated values; tablefile.h parses and checks them,
// head.h stores them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::config
{

struct Customer
{
    base::CustomerId id;
    std::string keyDigest; // see keydigest.h
    double weight = 1.0; // share in fair queueing, above zero
    double requestsPerSecond = 0; // over all routers; zero for no limit
    std::uint32_t concurrency = 0; // over all routers; zero for no limit
};

enum class UpstreamKind {
    Engine, // a model engine
    Service, // a plain HTTP service
};

enum class OrderFencing {
    Checked, // the upstream rejects an order with an old fencing token
    Ignored, // the upstream executes any order
};

struct PoolMember
{
    base::UpstreamId id;
    base::Endpoint endpoint;
    base::FailureDomain domain;
};

struct Pool
{
    base::PoolName name;
    UpstreamKind kind = UpstreamKind::Engine;
    OrderFencing fencing = OrderFencing::Ignored;
    base::ModelId model; // empty for services
    base::WeightsVersion weightsVersion; // version of the weights to serve; zero for services
    std::string adapter;
    std::uint32_t blockBytes = 4000; // prompt bytes in one cached block
    std::uint32_t maxLoads = 2; // members that load weights at the same time
    std::optional<base::Endpoint> kvStore;
    std::vector<PoolMember> members;
};

enum class Idempotency {
    Idempotent, // may be retried and hedged
    AtMostOnce, // needs an Idempotency-Key and runs at most once
};

enum class Hedging {
    Off,
    On,
};

struct Route
{
    base::RouteName name;
    std::vector<base::CustomerId> customers; // empty for every customer
    std::string path; // "/v1/completions", or "/v1/services/NAME" for services
    base::ModelId model; // empty for services
    std::optional<base::TrafficClass> trafficClass; // unset matches both classes
    base::PoolName pool;
    base::Duration deadline = base::seconds{30};
    Idempotency idempotency = Idempotency::Idempotent;
    Hedging hedging = Hedging::Off;
    std::uint32_t maxPromptBytes = 4'000'000;
};

// One committed configuration. Rows are ordered by name and names are unique.
struct Tables
{
    base::Revision revision;
    std::vector<Customer> customers;
    std::vector<Pool> pools;
    std::vector<Route> routes;
};

} // namespace carawaylatch::config
