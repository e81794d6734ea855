// The operators' tables: routes say what traffic goes where, pools say which
// upstreams stand behind a name, customers say whose keys and limits apply.
// Routes and pools are joined by name. These are plain validated values; how
// they are written, checked and distributed is in tablefile.h and head.h.
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
    Checked, // the upstream refuses an order that carries an old fencing number
    Ignored, // the upstream obeys any order
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
    base::WeightsVersion weightsVersion; // the version to serve; zero for services
    std::string adapter;
    std::uint32_t blockBytes = 4000; // prompt bytes in one cached block
    std::uint32_t maxLoads = 2; // weight loads at the same time
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
    std::optional<base::TrafficClass> trafficClass; // nothing matches both
    base::PoolName pool;
    base::Duration deadline = base::seconds{30};
    Idempotency idempotency = Idempotency::Idempotent;
    Hedging hedging = Hedging::Off;
    std::uint32_t maxPromptBytes = 4'000'000;
};

// One accepted configuration. Rows are ordered by name and names are unique.
struct Tables
{
    base::Revision revision;
    std::vector<Customer> customers;
    std::vector<Pool> pools;
    std::vector<Route> routes;
};

} // namespace carawaylatch::config
