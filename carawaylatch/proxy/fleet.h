// What traffic is decided on: routes, pools, customers and upstreams, as an
// immutable snapshot that the control thread publishes.
//
// RouteTable is one accepted configuration, whole; a router never mixes two.
// FleetView adds what is known of upstreams, which change far more often, and
// shares the table by pointer.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

// What may be repeated.
enum class CallKind {
    Idempotent, // may run any number of times
    AtMostOnce, // an upstream may get it once
    Stream, // a series of events; at most once unless the route allows resuming
};
constexpr std::size_t CallKindCount = static_cast<std::size_t>(CallKind::Stream) + 1;
[[nodiscard]] std::string_view callKindName(CallKind kind);

struct PoolShare
{
    base::PoolName pool;
    std::uint32_t weight = 1;
};

struct Route
{
    base::RouteName name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    CallKind kind = CallKind::AtMostOnce;
    base::Duration timeout = base::seconds{30}; // longest time a request may be kept
    base::Duration targetLatency = base::seconds{1}; // to the answer, or to the first event of a stream
    std::uint32_t priority = 0; // zero is the most urgent
    std::uint32_t maxAttempts = 1; // upstreams that one request may be sent to
    bool isPublic = false; // needs no key
    bool isResumable = false; // a stream may go on at another upstream
    std::vector<PoolShare> pools; // at least one

    // True if a request may run more than once.
    [[nodiscard]] bool isRepeatable() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
    }
};

// What a pool of model engines has in common.
struct EngineCapacity
{
    std::uint64_t cacheTokens = 0; // memory of one engine for running and kept prompts; zero: not told
    std::uint32_t slots = 0; // requests that one engine runs at once; zero: not told
};

struct Pool
{
    base::PoolName name;
    std::uint32_t maxConnections = 0; // of one upstream, from all routers; zero: not told
    std::optional<EngineCapacity> engine; // nothing for plain services
};

// A store of kept prompt state that engines read from and write to.
struct CacheStore
{
    base::Endpoint endpoint;
    base::FailureDomain domain;
};

struct Customer
{
    base::CustomerId id;
    std::optional<std::uint32_t> priority; // goes before the route's
    bool isIsolated = false; // shares no kept prompt state with others
};

// What a caller may send.
struct CallerLimits
{
    std::uint32_t maxHeadBytes = 16'384;
    std::uint64_t maxBodyBytes = 4'194'304;
    base::Duration headTimeout = base::seconds{3};
    base::Duration idleTimeout = base::seconds{15};
};

class RouteTable
{
public:
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Pool> pools;
    std::vector<CacheStore> cacheStores;
    std::vector<Customer> customers;
    std::unordered_map<std::string, std::size_t> keys; // key to index into customers
    CallerLimits limits;
    bool needsKeys = false; // the configuration names customers

    // Returns the route of the host whose prefix is the longest that begins the
    // path, or nothing. A query or fragment in `target` is not part of the path.
    [[nodiscard]] const Route *match(std::string_view host, std::string_view target) const;
    [[nodiscard]] const Customer *customerOf(const std::string &key) const;
    [[nodiscard]] const Pool *pool(const base::PoolName &name) const;
};

enum class UpstreamPhase {
    Ready,
    Draining, // takes no new request
};

struct Upstream
{
    base::UpstreamId id;
    base::PoolName pool;
    base::Endpoint endpoint;
    base::FailureDomain domain;
    std::uint32_t slots = 0;
    UpstreamPhase phase = UpstreamPhase::Ready;
    std::uint64_t startTimeMs = 0; // Unix time of its start; another value is another life
    std::map<base::ModelId, base::WeightsVersion> models;
};

// The weights that a model is to have.
struct WeightsTarget
{
    struct Announcement
    {
        base::WeightsVersion version;
        base::TimePoint seenAt; // when this router learned of it
    };
    static constexpr std::size_t MaxAnnouncements = 16; // more are not named within any bound of time

    base::WeightsVersion version; // the newest
    std::vector<Announcement> announcements; // oldest first, the last one is the newest version's

    void announce(base::WeightsVersion newest, base::TimePoint seenAt);
    // The oldest version that may still be used when each version must be in use
    // everywhere within `limit` of its naming; zero: any.
    [[nodiscard]] base::WeightsVersion oldestAllowed(base::TimePoint now, base::Duration limit) const;
    // When the first version above these weights was named; nothing if they are the newest.
    [[nodiscard]] std::optional<base::TimePoint> supersededAt(base::WeightsVersion weights) const;
};

struct FleetView
{
    std::shared_ptr<const RouteTable> table; // nullptr before the first configuration
    std::vector<Upstream> upstreams; // ordered by id
    std::map<base::ModelId, WeightsTarget> targets;
    std::set<base::UpstreamId> reloading; // changing weights, or about to: gets no new request
    std::set<base::Endpoint> unavailableCacheStores; // did not answer of late
    std::uint32_t routers = 1; // that share budgets; at least one
    std::vector<base::Endpoint> routerEndpoints; // where routers take load reports; of all that ever started
    std::uint64_t sequence = 0; // of this snapshot in this process
};

} // namespace carawaylatch::proxy
