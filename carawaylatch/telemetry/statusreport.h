// The status of a router, its peers and its upstreams, for operators.
//
// The router fills a StatusReport from its snapshots for each request.
// GET /v1/status returns it as JSON, `carawaylatchctl status` prints it and the
// operators' page shows it. It is a plain value, so that no lock is held while it
// is rendered. Rows are in the order in which the router lists them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/telemetry/metrics.h"

namespace carawaylatch::telemetry
{

enum class Readiness {
    Ready,
    NotReady,
};

// The router that fills the report.
struct RouterStatus
{
    base::RouterId id;
    base::FailureDomain domain;
    base::Incarnation incarnation{};
    std::string version;
    Readiness readiness = Readiness::NotReady;
    std::string reason; // why the router is not ready; empty if it is
    base::Duration uptime{};
    base::Revision revision{}; // configuration in force
};

enum class PeerState {
    Live,
    Suspected,
    Leaving,
    Gone, // declared dead by the failure detector
};

// Another router, as seen by this one.
struct PeerStatus
{
    base::RouterId id;
    base::FailureDomain domain;
    base::Incarnation incarnation{};
    PeerState state = PeerState::Live;
    base::Revision revision{}; // as of its last heartbeat
};

struct UpstreamStatus
{
    base::UpstreamId id;
    base::PoolName pool;
    base::FailureDomain domain;
    base::Endpoint endpoint;
    UpstreamState state = UpstreamState::Unreachable;
    base::Incarnation incarnation{};
    base::WeightsVersion weightsVersion{};
    std::uint32_t running = 0; // as last reported
    std::uint32_t waiting = 0; // as last reported
    std::uint64_t queuedTokens = 0; // as last reported
    std::uint64_t usedBlocks = 0;
    std::uint64_t capacityBlocks = 0;
    std::uint32_t inFlight = 0; // requests of this router on the upstream
    double confidence = 0; // confidence in this router's view of its cache, 0 to 1
    base::Duration reportAge{}; // age of the last load report
};

struct PoolStatus
{
    base::PoolName name;
    config::UpstreamKind kind = config::UpstreamKind::Engine;
    base::ModelId model;
    base::WeightsVersion weightsVersion{};
    std::uint32_t members = 0;
    std::uint32_t serving = 0; // members that accept new requests
};

struct RouteStatus
{
    base::RouteName name;
    std::string path;
    base::ModelId model;
    base::PoolName pool;
    config::Idempotency idempotency = config::Idempotency::Idempotent;
};

// A customer's use of its limits at this router; a share of zero means no limit.
struct CustomerStatus
{
    base::CustomerId id;
    double requestsPerSecond = 0; // over the last seconds
    double rateShare = 0; // this router's share of the rate limit
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t concurrencyShare = 0; // this router's share of the concurrency limit
};

struct StatusReport
{
    RouterStatus router;
    std::vector<PeerStatus> peers;
    std::vector<UpstreamStatus> upstreams;
    std::vector<PoolStatus> pools;
    std::vector<RouteStatus> routes;
    std::vector<CustomerStatus> customers;
    MetricsTotals totals;
    double controlCoreShare = 0; // control thread's share of a core over the last seconds
    std::uint64_t residentBytes = 0;
};

[[nodiscard]] std::string_view peerStateName(PeerState state);

// Returns the share of prompt tokens that engines read from their prefix caches,
// 0 to 1; zero without prompt tokens.
[[nodiscard]] double hitRate(const MetricsTotals &totals);

// Returns the report as JSON; docs/API.md gives its fields and units.
[[nodiscard]] std::string renderStatusJson(const StatusReport &report);

} // namespace carawaylatch::telemetry
