// Routing data: routes, pools, customers and upstreams, as an immutable snapshot
// that the control thread publishes.
//
// A RouteTable holds one accepted configuration; a router never mixes two. FleetView
// adds the state of upstreams, which changes far more often, and shares the table by
// pointer.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/customers.h"

namespace carawaylatch::proxy
{

// How often a call may run.
enum class CallKind {
    Idempotent, // may run any number of times
    AtMostOnce, // never sent again once an upstream may have run it
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
    base::Duration timeout = base::seconds{30}; // upper bound of the time that a request may take
    base::Duration targetLatency = base::seconds{1}; // until the response, or until the first event of a stream
    std::uint32_t priority = 0; // zero is the most urgent
    std::uint32_t maxAttempts = 1; // per request, without attempts that did not run it
    bool isPublic = false; // needs no key
    bool isResumable = false; // a stream may be resumed at another upstream
    std::vector<PoolShare> pools; // at least one

    // Share of the target latency that a request may wait in the queue. After a longer wait the
    // response would miss the target, and the caller does better to retry, possibly at another router.
    static constexpr double MaxQueueWaitShare = 0.6;
    // How long a request may wait in the queue.
    [[nodiscard]] base::Duration maxQueueWait() const
    {
        return base::fromSeconds(base::toSeconds(targetLatency) * MaxQueueWaitShare);
    }
    // True if a request may run more than once.
    [[nodiscard]] bool isRepeatable() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
    }
};

// Capacity of each engine of a pool.
struct EngineCapacity
{
    std::uint64_t cacheTokens = 0; // KV cache size, shared by running requests and cached prefixes; zero: unknown
    std::uint32_t slots = 0; // concurrent requests; zero: unknown
};

struct Pool
{
    base::PoolName name;
    std::uint32_t maxConnections = 0; // of one upstream, from all routers; zero: unknown
    std::optional<EngineCapacity> engine; // empty for plain services
};

// A store of KV cache entries that engines read and write.
struct CacheStore
{
    base::Endpoint endpoint;
    base::FailureDomain domain;
};

// Limits on caller input.
struct CallerLimits
{
    std::uint32_t maxHeadBytes = 16'384;
    std::uint64_t maxBodyBytes = 4'194'304;
    base::Duration headTimeout = base::seconds{3};
    base::Duration idleTimeout = base::seconds{15};
};

// A customer's limit in the configuration that can't be used as it is.
struct LimitProblem
{
    base::CustomerId customer;
    std::string problem; // what is wrong, what applies instead, and the remedy
};

class RouteTable
{
public:
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Pool> pools;
    std::vector<CacheStore> cacheStores;
    Customers customers;
    CallerLimits limits;
    std::vector<LimitProblem> limitProblems; // at most one for each customer
    bool needsKeys = false; // the configuration lists customers

    // Returns the host's route with the longest path prefix that matches, or nullptr.
    // A query or fragment in `target` is not part of the path.
    [[nodiscard]] const Route *match(std::string_view host, std::string_view target) const;
    [[nodiscard]] const Pool *pool(const base::PoolName &name) const;
};

enum class UpstreamPhase {
    Ready,
    Draining, // takes no new requests
};

using SoftwareSet = std::set<base::SoftwareVersion>;

// What an upstream's answer to a call of the control thread said of its being brittle.
struct BrittleWord
{
    std::optional<std::uint32_t> rejections; // that it takes a second; nothing if it isn't brittle
    base::TimePoint askedAt;

    bool operator==(const BrittleWord &) const = default;
};

struct Upstream
{
    base::UpstreamId id;
    base::PoolName pool;
    base::Endpoint endpoint;
    base::FailureDomain domain;
    std::uint32_t slots = 0;
    UpstreamPhase phase = UpstreamPhase::Ready;
    base::SoftwareVersion software;
    std::uint64_t startTimeMs = 0; // Unix time of its start; a different value means that it restarted
    std::map<base::ModelId, base::WeightsVersion> models;
    std::optional<BrittleWord> brittle; // the last one that told something new; nothing if there is none
};

// The weights version that a model should run.
struct WeightsTarget
{
    struct Announcement
    {
        base::WeightsVersion version;
        base::TimePoint since; // no later than it was announced

        bool operator==(const Announcement &) const = default;
    };
    static constexpr std::size_t MaxAnnouncements = 16; // older ones are dropped; fewer versions are announced within one limit

    base::WeightsVersion version; // the newest
    std::vector<Announcement> announcements; // oldest first; the last one is `version`

    // `since` is the earliest time at which it can have been announced.
    void announce(base::WeightsVersion newest, base::TimePoint since);
    // The oldest version that may still be used if each version must be in use
    // everywhere within `limit` of its announcement; zero: any.
    [[nodiscard]] base::WeightsVersion oldestAllowed(base::TimePoint now, base::Duration limit) const;
    // When the first newer version was announced; nothing if there is none.
    [[nodiscard]] std::optional<base::TimePoint> supersededAt(base::WeightsVersion weights) const;

    bool operator==(const WeightsTarget &) const = default;
};

struct FleetView
{
    std::shared_ptr<const RouteTable> table; // nullptr before the first configuration
    std::vector<Upstream> upstreams; // ordered by id
    std::map<base::ModelId, WeightsTarget> targets;
    std::map<base::PoolName, SoftwareSet> software; // versions that may have begun streams, as the store holds them
    std::set<base::UpstreamId> reloading; // loading weights, or about to; get no new requests
    std::set<base::Endpoint> unavailableCacheStores; // did not respond recently
    std::uint32_t routers = 1; // that share retry budgets and connection limits; at least one
    std::vector<base::Endpoint> routerEndpoints; // where routers receive load reports; includes routers that have stopped
    std::vector<std::uint64_t> routerKeys; // base::hash64 of the id of each of them, as load reports name their sender
    std::uint64_t sequence = 0; // increases with each snapshot of this process
};

} // namespace carawaylatch::proxy
