// Thread-safe entrance to the order guard for traffic threads.
//
//     OrderDesk desk(identity, claimStore, liveness, clock, settings);
//     OrderAnswer answer = desk.run(request, connection, chooser);
//
// run() blocks the calling thread until the order has an answer, at most until
// the request's deadline. Requests for an order that already runs at this router
// wait for the first one's answer. What must reach the platform after the answer
// (outcomes, reopened claims) stays in a bounded table that step() works off;
// call step() from a platform worker thread about every 100 ms.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/base/time.h"
#include "carawaylatch/orders/claimstore.h"
#include "carawaylatch/orders/orderguard.h"
#include "carawaylatch/orders/serviceconnection.h"

namespace carawaylatch::orders
{

struct OrderRequest
{
    base::CustomerId customer;
    std::string key; // the caller's Idempotency-Key
    // Upstream, endpoint, attempt, orderKey and timeout are filled by the desk.
    ServiceRequest service;
    base::TimePoint deadline;
};

struct ChosenUpstream
{
    base::UpstreamId upstream;
    base::Endpoint endpoint;
};

// Chooses a service for each try. `refused` holds those that refused this order.
class UpstreamChooser
{
public:
    virtual ~UpstreamChooser() = default;
    [[nodiscard]] virtual base::Result<ChosenUpstream> choose(const std::vector<base::UpstreamId> &refused) = 0;
};

// What membership knows of routers' incarnations; safe from any thread.
class RouterLiveness
{
public:
    virtual ~RouterLiveness() = default;
    [[nodiscard]] virtual ClaimantLife life(const base::RouterId &router, base::Incarnation incarnation) const = 0;
};

struct DeskSettings
{
    GuardSettings guard;
    std::size_t maxDuties = 10'000; // orders with work left after their answer; new orders are refused beyond it
    std::size_t maxRunning = 10'000; // orders under way; new ones are refused beyond it
    std::size_t maxSeenReopened = 10'000; // oldest is dropped, which costs its caller one more try
    std::size_t maxDutiesPerStep = 50; // platform calls of one step()
    base::Duration dutyRetry = base::seconds{1};
};

struct DeskCounters
{
    std::uint64_t done = 0;
    std::uint64_t replayed = 0; // stored answers given to duplicates
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t running = 0;
    std::uint64_t refused = 0;
    std::size_t duties = 0;
};

class OrderDesk
{
public:
    OrderDesk(base::RouterId router, base::Incarnation incarnation, ClaimStore &store, const RouterLiveness &liveness, const base::Clock &clock,
              DeskSettings settings = {});
    ~OrderDesk();

    [[nodiscard]] OrderAnswer run(const OrderRequest &request, ServiceConnection &connection, UpstreamChooser &chooser);
    // Works off what is left after answers; blocks on the platform.
    void step();
    // Sets the retention epoch that new records carry (retention.h).
    void setEpoch(std::uint64_t epoch);
    [[nodiscard]] DeskCounters counters() const;

private:
    struct Running;
    struct Duty;
    using Lock = std::unique_lock<std::mutex>;

    [[nodiscard]] OrderAnswer drive(const OrderId &order, const OrderRequest &request, const GuardRequest &guardRequest, ServiceConnection &connection,
                                    UpstreamChooser &chooser);
    [[nodiscard]] OrderAction sendOnce(OrderGuard &guard, const OrderId &order, const OrderRequest &request, base::AttemptId attempt,
                                       ServiceConnection &connection, UpstreamChooser &chooser, std::vector<base::UpstreamId> &refused);
    [[nodiscard]] OrderAnswer waitForFirst(Lock &lock, const std::shared_ptr<Running> &first, const OrderRequest &request, std::uint64_t digest);
    [[nodiscard]] std::optional<OrderAnswer> answerFromDuty(const OrderId &order, std::uint64_t digest) const;
    [[nodiscard]] ReopenedSeen reopenedSeen(const OrderId &order, platform::Version version, std::uint64_t arrival);
    [[nodiscard]] bool carryOut(const OrderId &order, Duty &duty);
    void noteReopened(const OrderId &order, platform::Version version);
    void count(const OrderAnswer &answer);

    const base::RouterId m_router;
    const base::Incarnation m_incarnation;
    ClaimStore &m_store;
    const RouterLiveness &m_liveness;
    const base::Clock &m_clock;
    const DeskSettings m_settings;
    std::atomic<std::uint64_t> m_epoch{0};

    mutable std::mutex m_mutex; // guards all below
    std::map<OrderId, std::shared_ptr<Running>> m_running;
    std::map<OrderId, Duty> m_duties;
    struct Seen
    {
        platform::Version version;
        std::uint64_t at = 0; // arrivals counted when it was seen
    };
    std::map<OrderId, Seen> m_seenReopened;
    std::deque<OrderId> m_seenOrder; // oldest first
    std::uint64_t m_arrivals = 0; // requests received so far
    std::uint64_t m_attempts = 0;
    DeskCounters m_counters;
};

} // namespace carawaylatch::orders
