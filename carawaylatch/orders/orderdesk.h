// Thread-safe entrance to the order guard for traffic threads.
//
//     OrderDesk desk(router, incarnation, claimStore, liveness, clock);
//     OrderAnswer answer = desk.run(request, connection, chooser);
//
// run() blocks the calling thread until the order has an answer, at most until
// the request's deadline. Requests for an order that already runs at this router
// wait for the first one's answer. What must reach the platform after the answer
// (outcomes, reopened claims) stays in a bounded table that step() works off;
// call step() from a platform worker thread about every 100 ms, and flush()
// before a planned stop ends.
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
#include "carawaylatch/orders/claimstore.h"
#include "carawaylatch/orders/orderguard.h"
#include "carawaylatch/orders/serviceconnection.h"

namespace carawaylatch::orders
{

struct OrderRequest
{
    base::CustomerId customer;
    std::string key; // the caller's Idempotency-Key
    // The desk fills in upstream, endpoint, attempt, orderKey and timeout.
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
    // An error means that no service can take the order now; its retryAfter is passed on.
    [[nodiscard]] virtual base::Result<ChosenUpstream> choose(const std::vector<base::UpstreamId> &refused) = 0;
};

// What membership knows of other routers' incarnations; safe from any thread.
// A wrong word here costs a true answer its precision, never a second run.
class RouterLiveness
{
public:
    virtual ~RouterLiveness() = default;
    [[nodiscard]] virtual ClaimantLife life(const base::RouterId &router, base::Incarnation incarnation) const = 0;
};

struct DeskSettings
{
    GuardSettings guard;
    std::size_t maxRunning = 10'000; // orders under way; new ones are refused beyond it
    std::size_t maxDuties = 10'000; // answered orders with work left; new orders are refused beyond it
    std::size_t maxSeenReopened = 10'000; // the oldest is dropped, which costs its caller one more try
    std::size_t maxDutiesPerStep = 50;
    base::Duration dutyRetry = base::seconds{1};
    // Blocks the calling thread; replaced by tests in virtual time.
    std::function<void(base::Duration)> sleep;
};

struct DeskCounters
{
    std::uint64_t done = 0; // answered by a run of this router
    std::uint64_t replayed = 0; // stored answers given to duplicates
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t running = 0;
    std::uint64_t refused = 0;
    std::size_t duties = 0; // now
};

class OrderDesk
{
public:
    OrderDesk(base::RouterId router, base::Incarnation incarnation, ClaimStore &store, const RouterLiveness &liveness, const base::Clock &clock,
              DeskSettings settings = {});
    ~OrderDesk();
    OrderDesk(const OrderDesk &) = delete;
    OrderDesk &operator=(const OrderDesk &) = delete;

    [[nodiscard]] OrderAnswer run(const OrderRequest &request, ServiceConnection &connection, UpstreamChooser &chooser);
    // Works off what is due; blocks on the platform. One thread at a time.
    void step();
    // Works off everything once, due or not; true if nothing is left.
    bool flush();
    // Sets the retention epoch that new records carry (retention.h).
    void setEpoch(std::uint64_t epoch);
    [[nodiscard]] DeskCounters counters() const;

private:
    struct Running;
    struct Duty;
    struct Try;
    enum class DutyTiming {
        Due,
        All,
    };
    using Lock = std::unique_lock<std::mutex>;

    [[nodiscard]] std::optional<OrderAnswer> answerWithoutRun(Lock &lock, const OrderId &order, const OrderRequest &request, std::uint64_t digest);
    [[nodiscard]] OrderAnswer waitForFirst(Lock &lock, std::shared_ptr<Running> first, const OrderId &order, const OrderRequest &request, std::uint64_t digest);
    [[nodiscard]] std::optional<OrderAnswer> answerFromDuty(const OrderId &order, std::uint64_t digest) const;
    [[nodiscard]] OrderAction drive(Try &attempt);
    [[nodiscard]] OrderAction readRecord(Try &attempt);
    [[nodiscard]] OrderAction sendOnce(Try &attempt);
    [[nodiscard]] ClaimantLife lifeOf(const Claimant &claimant) const;
    [[nodiscard]] ReopenedSeen reopenedSeen(const OrderId &order, store::Version version, std::uint64_t arrival);
    void noteReopened(const OrderId &order, store::Version version);
    void workOff(DutyTiming timing);
    void carryOut(const OrderId &order, OrderDuty &machine);
    void count(const OrderAnswer &answer);

    const base::RouterId m_router;
    const base::Incarnation m_incarnation;
    ClaimStore &m_store;
    const RouterLiveness &m_liveness;
    const base::Clock &m_clock;
    const DeskSettings m_settings;
    std::atomic<std::uint64_t> m_epoch{0};

    // A reopened record as this router first saw it.
    struct Seen
    {
        store::Version version;
        std::uint64_t afterArrival = 0; // requests received before that
    };
    mutable std::mutex m_mutex; // guards all below
    std::map<OrderId, std::shared_ptr<Running>> m_running;
    std::map<OrderId, Duty> m_duties; // at most maxDuties + maxRunning; never dropped
    std::map<OrderId, Seen> m_seenReopened;
    std::deque<OrderId> m_seenOrder; // keys of m_seenReopened, oldest first
    std::uint64_t m_arrivals = 0; // requests received so far
    std::uint64_t m_attempts = 0;
    bool m_isFull = false; // as last logged
    DeskCounters m_counters;
};

} // namespace carawaylatch::orders
