// Runs orders at most once; the thread-safe entry point for traffic threads.
//
//     OrderExecutor executor(router, incarnation, recordStore, liveness, clock);
//     OrderAnswer answer = executor.run(request, connection, chooser);
//
// run() blocks the calling thread until the order has an answer, at most until the
// deadline of the request. Requests for an order that already runs at this router
// wait for the answer of the first one. Record updates that remain after the answer
// (outcomes, reopened claims) are kept in a bounded table that step() processes;
// call step() from a worker thread about every 100 ms, and flush() before a planned
// stop ends.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/base/time.h"
#include "carawaylatch/orders/orderstatemachine.h"
#include "carawaylatch/orders/recordstore.h"
#include "carawaylatch/orders/serviceconnection.h"

namespace carawaylatch::orders
{

struct OrderRequest
{
    base::CustomerId customer;
    std::string key; // the caller's Idempotency-Key
    // The executor sets upstream, endpoint, attempt, orderKey and timeout.
    ServiceRequest service;
    base::TimePoint deadline;
};

struct ChosenUpstream
{
    base::UpstreamId upstream;
    base::Endpoint endpoint;
};

// Chooses a service for each send. `refused` holds the upstreams tried before for this order.
class UpstreamChooser
{
public:
    virtual ~UpstreamChooser() = default;
    // An error means that no service can take the order now; its retryAfter is passed on to the caller.
    [[nodiscard]] virtual base::Result<ChosenUpstream> choose(const std::vector<base::UpstreamId> &refused) = 0;
};

// What membership knows of the incarnations of other routers; thread-safe.
// A wrong value only makes an answer less precise; it never causes a second run.
class RouterLiveness
{
public:
    virtual ~RouterLiveness() = default;
    [[nodiscard]] virtual ClaimantLiveness livenessOf(const base::RouterId &router, base::Incarnation incarnation) const = 0;
};

struct OrderExecutorSettings
{
    OrderStateMachineSettings stateMachine;
    std::size_t maxRunning = 10'000; // orders in progress; beyond it new ones are rejected
    std::size_t maxPendingUpdates = 10'000; // answered orders with a pending update; beyond it new orders are rejected
    std::size_t maxSeenReopened = 10'000; // beyond it the oldest is dropped, which costs its caller one more retry
    std::size_t maxPendingUpdatesPerStep = 50;
    base::Duration pendingUpdateRetryInterval = base::seconds{1};
    // Replaces std::this_thread::sleep_for; set by tests in virtual time.
    std::function<void(base::Duration)> sleep;
};

struct OrderExecutorCounters
{
    std::uint64_t done = 0; // orders run by this router
    std::uint64_t replayed = 0; // duplicates answered with a stored answer
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t running = 0;
    std::uint64_t refused = 0;
    std::size_t pendingUpdates = 0; // current number
};

class OrderExecutor
{
public:
    OrderExecutor(base::RouterId router, base::Incarnation incarnation, OrderRecordStore &store, const RouterLiveness &liveness, const base::Clock &clock,
                  OrderExecutorSettings settings = {});
    ~OrderExecutor();
    OrderExecutor(const OrderExecutor &) = delete;
    OrderExecutor &operator=(const OrderExecutor &) = delete;

    [[nodiscard]] OrderAnswer run(const OrderRequest &request, ServiceConnection &connection, UpstreamChooser &chooser);
    // Writes the pending updates that are due; blocks on the object store. One thread at a time.
    void step();
    // Tries all pending updates once, due or not; returns true if none are left.
    bool flush();
    // Sets the retention epoch of new records (retention.h).
    void setEpoch(std::uint64_t epoch);
    [[nodiscard]] OrderExecutorCounters counters() const;

private:
    struct RunningOrder;
    struct ScheduledUpdate;
    struct RequestContext;
    enum class PendingUpdateSelection {
        Due,
        All,
    };
    using Lock = std::unique_lock<std::mutex>;

    [[nodiscard]] std::optional<OrderAnswer> answerWithoutRun(Lock &lock, const OrderId &order, const OrderRequest &request, std::uint64_t digest);
    [[nodiscard]] OrderAnswer waitForFirst(Lock &lock, std::shared_ptr<RunningOrder> first, const OrderId &order, const OrderRequest &request,
                                           std::uint64_t digest);
    [[nodiscard]] std::optional<OrderAnswer> answerFromPendingUpdate(const OrderId &order, std::uint64_t digest) const;
    [[nodiscard]] OrderAction runToAnswer(RequestContext &context);
    [[nodiscard]] OrderAction readRecord(RequestContext &context);
    [[nodiscard]] OrderAction sendOnce(RequestContext &context);
    [[nodiscard]] ClaimantLiveness livenessOf(const Claimant &claimant) const;
    [[nodiscard]] ReopenedSeen reopenedSeen(const OrderId &order, store::Version version, std::uint64_t arrival);
    void noteReopened(const OrderId &order, store::Version version);
    void processPendingUpdates(PendingUpdateSelection selection);
    void writePendingUpdate(const OrderId &order, PendingUpdate &update);
    void count(const OrderAnswer &answer);

    const base::RouterId m_router;
    const base::Incarnation m_incarnation;
    OrderRecordStore &m_store;
    const RouterLiveness &m_liveness;
    const base::Clock &m_clock;
    const OrderExecutorSettings m_settings;
    std::atomic<std::uint64_t> m_epoch{0};

    // A reopened record as this router first saw it.
    struct SeenReopened
    {
        store::Version version;
        std::uint64_t afterArrival = 0; // number of requests received before that
    };
    mutable std::mutex m_mutex; // guards all members below
    std::map<OrderId, std::shared_ptr<RunningOrder>> m_running;
    std::map<OrderId, ScheduledUpdate> m_pendingUpdates; // at most maxPendingUpdates + maxRunning; never dropped
    std::map<OrderId, SeenReopened> m_seenReopened;
    std::deque<OrderId> m_seenReopenedQueue; // keys of m_seenReopened, oldest first
    std::uint64_t m_arrivals = 0; // requests received so far
    std::uint64_t m_attempts = 0;
    bool m_isFull = false; // state last logged
    OrderExecutorCounters m_counters;
};

} // namespace carawaylatch::orders
