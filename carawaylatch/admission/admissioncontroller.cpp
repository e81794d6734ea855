// All state is guarded by one mutex; a request needs two short critical sections.
//
// A request that finds free capacity and an empty queue is admitted at once. Any other
// is queued, and every event that may free capacity (a released ticket, a new share, a
// new capacity, new tables) admits queued requests: entries leave in fair order
// while there is capacity and their customer may start. Each waiting thread blocks on
// its own condition variable and wakes at least every recheckInterval; the first to
// do so refuses entries whose expected wait no longer fits their deadline.
//
// Expected wait of an entry: the tokens that its customer has ahead of it, times the
// ratio of the weight of all queued customers to its own (each gets its share of the
// drain rate), but at most all queued tokens; divided by the drain rate. A customer
// at its own limit waits for its own requests, so its own drain rate counts too.
// While a rate is unknown (nothing has completed yet), an entry may wait for half of
// the time to its deadline.
#include "carawaylatch/admission/admissioncontroller.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

namespace carawaylatch::admission
{

using base::ErrorKind;

std::string_view refusalName(Refusal refusal)
{
    switch (refusal) {
    case Refusal::UnknownCustomer:
        return "unknown_customer";
    case Refusal::RateLimit:
        return "rate_limit";
    case Refusal::QueueFull:
        return "queue_full";
    case Refusal::Overload:
        return "overload";
    case Refusal::CallerGone:
        return "caller_gone";
    case Refusal::Stopping:
        return "stopping";
    }
    return "unknown";
}

namespace
{

struct Refused
{
    Refusal refusal = Refusal::Overload;
    base::Error error;
};

// One thread waiting in admit(). All members are guarded by the controller's mutex.
struct Waiter
{
    std::condition_variable changed;
    bool isAdmitted = false;
    std::optional<Refused> refused;
};

struct StatsKey
{
    base::CustomerId customer;
    base::TrafficClass trafficClass;

    auto operator<=>(const StatsKey &) const = default;
};

Refused stoppingRefusal()
{
    return {Refusal::Stopping, base::fail(ErrorKind::Unavailable, "the router is stopping; send to another router", base::milliseconds{100})};
}

} // namespace

class AdmissionController::Impl
{
public:
    Impl(const AdmissionOptions &admissionOptions, const base::Clock &admissionClock)
        : options(admissionOptions)
        , clock(admissionClock)
        , limiter(admissionOptions.limits, admissionClock.now())
        , queue(admissionOptions.queue)
        , overload(admissionOptions.overload)
        , capacity(admissionOptions.capacity)
    {
    }

    AdmissionStats &statsOf(const AdmissionRequest &request)
    {
        AdmissionStats &entry = stats[{request.customer, request.trafficClass}];
        entry.customer = request.customer;
        entry.trafficClass = request.trafficClass;
        return entry;
    }

    // Starts the request at once if there is capacity and the queue is empty.
    bool tryStartNow(const AdmissionRequest &request, base::TimePoint now)
    {
        if (queue.size() > 0 || inFlight >= capacity || !limiter.tryStart(request.customer, now)) {
            return false;
        }
        ++inFlight;
        return true;
    }

    // Admits queued requests while there is capacity.
    void admitQueued(base::TimePoint now)
    {
        while (inFlight < capacity) {
            const auto entry = queue.pop(now, [&](const base::CustomerId &customer) {
                return limiter.mayStart(customer, now);
            });
            if (!entry || !limiter.tryStart(entry->customer, now)) {
                return;
            }
            ++inFlight;
            limiter.setWaiting(entry->customer, static_cast<std::uint32_t>(queue.depth(entry->customer)));
            Waiter *waiter = waiters.at(entry->id);
            waiter->isAdmitted = true;
            waiter->changed.notify_one();
        }
    }

    // Returns whether the customer waits for its own requests to end rather than for other customers'.
    bool isAtOwnLimit(const base::CustomerId &customer, base::TimePoint now) const
    {
        return !limiter.mayStart(customer, now);
    }

    // Returns the wait behind that many tokens of the customer, or nothing if it is unknown.
    std::optional<base::Duration> expectedWaitOf(const base::CustomerId &customer, std::uint64_t ownTokensAhead, base::TimePoint now) const
    {
        const double weightRatio = queue.queuedWeight() / queue.weight(customer);
        const double ahead = std::min(static_cast<double>(ownTokensAhead) * std::max(1.0, weightRatio), static_cast<double>(queue.queuedTokens()));
        const auto wait = overload.expectedWait(ahead, now);
        if (!wait || !isAtOwnLimit(customer, now)) {
            return wait;
        }
        const auto drain = drainRates.find(customer);
        const auto rate = drain == drainRates.end() ? std::nullopt : drain->second.perSecond(now);
        return rate ? std::optional(std::max(*wait, OverloadPolicy::waitAt(*rate, static_cast<double>(ownTokensAhead)))) : std::nullopt;
    }

    base::Duration expectedWaitOrZero(const base::CustomerId &customer, std::uint64_t ownTokensAhead, base::TimePoint now) const
    {
        return expectedWaitOf(customer, ownTokensAhead, now).value_or(base::Duration::zero());
    }

    // Refuses entries that will not leave the queue before their deadline.
    void refuseLate(base::TimePoint now)
    {
        nextRecheck = now + options.recheckInterval;
        std::map<StatsKey, std::uint64_t> ahead;
        std::vector<std::pair<std::uint64_t, Refused>> late;
        queue.forEach([&](const QueueEntry &entry) {
            std::uint64_t &tokens = ahead[{entry.customer, entry.trafficClass}];
            tokens += entry.tokens;
            const auto wait = expectedWaitOf(entry.customer, tokens, now);
            const base::TimePoint latest = wait ? entry.deadline : entry.enqueued + (entry.deadline - entry.enqueued) / 2;
            if (auto checked = overload.check(wait.value_or(base::Duration::zero()), latest, now); !checked) {
                tokens -= entry.tokens;
                late.emplace_back(entry.id, Refused{Refusal::Overload, std::move(checked).error()});
            }
        });
        for (auto &[id, refused] : late) {
            refuse(id, std::move(refused));
        }
    }

    // Removes a waiting entry from the queue and refuses it.
    void refuse(std::uint64_t id, Refused refused)
    {
        if (queue.remove(id)) {
            Waiter *waiter = waiters.at(id);
            waiter->refused = std::move(refused);
            waiter->changed.notify_one();
        }
    }

    void refuseAll(const std::function<std::optional<Refused>(const QueueEntry &)> &decide)
    {
        std::vector<std::pair<std::uint64_t, Refused>> refused;
        queue.forEach([&](const QueueEntry &entry) {
            if (auto decision = decide(entry)) {
                refused.emplace_back(entry.id, std::move(*decision));
            }
        });
        for (auto &[id, it] : refused) {
            refuse(id, std::move(it));
        }
    }

    std::optional<Refused> checkArrival(const AdmissionRequest &request, base::TimePoint now)
    {
        if (isStopping) {
            return stoppingRefusal();
        }
        if (auto taken = limiter.consumeRate(request.customer, now); !taken) {
            const bool isUnknown = taken.error().kind == ErrorKind::Forbidden;
            base::Error error = std::move(taken).error();
            if (!isUnknown) {
                error.retryAfter = overload.retryAfter(error.retryAfter);
            }
            return Refused{isUnknown ? Refusal::UnknownCustomer : Refusal::RateLimit, std::move(error)};
        }
        const base::Duration wait = request.expectedWait + expectedWaitOrZero(request.customer, queue.size() == 0 ? 0 : request.tokens, now);
        if (auto checked = overload.check(wait, request.deadline, now); !checked) {
            return Refused{Refusal::Overload, std::move(checked).error()};
        }
        return std::nullopt;
    }

    std::optional<Refused> enqueue(const AdmissionRequest &request, std::uint64_t id, base::TimePoint now)
    {
        const QueueEntry entry{.id = id,
                               .customer = request.customer,
                               .trafficClass = request.trafficClass,
                               .tokens = request.tokens,
                               .enqueued = now,
                               .deadline = request.deadline - request.expectedWait};
        if (auto pushed = queue.push(entry); !pushed) {
            base::Error error = std::move(pushed).error();
            error.retryAfter = overload.retryAfter(expectedWaitOrZero(request.customer, queue.queuedTokens(), now));
            return Refused{Refusal::QueueFull, std::move(error)};
        }
        limiter.setWaiting(request.customer, static_cast<std::uint32_t>(queue.depth(request.customer)));
        return std::nullopt;
    }

    // Blocks until the entry is admitted or refused.
    std::optional<Refused> awaitDecision(std::unique_lock<std::mutex> &lock, const AdmissionRequest &request, std::uint64_t id, Waiter &waiter)
    {
        while (!waiter.isAdmitted && !waiter.refused) {
            waiter.changed.wait_for(lock, options.recheckInterval);
            const base::TimePoint now = clock.now();
            if (waiter.isAdmitted || waiter.refused) {
                break;
            }
            if (request.callerGone && request.callerGone()) {
                refuse(id, {Refusal::CallerGone, base::fail(ErrorKind::Cancelled, "the caller disconnected before its request started")});
            } else if (now >= nextRecheck) {
                refuseLate(now);
                admitQueued(now);
            }
        }
        waiters.erase(id);
        limiter.setWaiting(request.customer, static_cast<std::uint32_t>(queue.depth(request.customer)));
        return std::move(waiter.refused);
    }

    const AdmissionOptions options;
    const base::Clock &clock;
    mutable std::mutex mutex; // guards all members below
    Limiter limiter;
    FairQueue queue;
    OverloadPolicy overload;
    std::uint32_t capacity;
    std::uint32_t inFlight = 0;
    bool isStopping = false;
    std::uint64_t lastId = 0;
    std::uint64_t unknownCustomers = 0;
    base::TimePoint nextRecheck;
    std::map<std::uint64_t, Waiter *> waiters; // by entry id: queued entries, and decided ones whose thread has not resumed
    std::map<base::CustomerId, DrainRate> drainRates; // of configured customers
    std::map<StatsKey, AdmissionStats> stats; // of configured customers
};

AdmissionController::AdmissionController(const AdmissionOptions &options, const base::Clock &clock)
    : m_impl(std::make_unique<Impl>(options, clock))
{
}

AdmissionController::~AdmissionController() = default;

base::Result<Ticket> AdmissionController::admit(const AdmissionRequest &request, base::TimePoint now)
{
    std::unique_lock lock(m_impl->mutex);
    auto refused = m_impl->checkArrival(request, now);
    bool hasWaited = false;
    if (!refused && !m_impl->tryStartNow(request, now)) {
        hasWaited = true;
        const std::uint64_t id = ++m_impl->lastId;
        refused = m_impl->enqueue(request, id, now);
        if (!refused) {
            Waiter waiter;
            m_impl->waiters.emplace(id, &waiter);
            m_impl->admitQueued(now);
            refused = m_impl->awaitDecision(lock, request, id, waiter);
        }
    }
    if (refused) {
        if (refused->refusal == Refusal::UnknownCustomer) {
            ++m_impl->unknownCustomers;
        } else {
            ++m_impl->statsOf(request).refused[static_cast<std::size_t>(refused->refusal)];
        }
        return std::move(refused->error);
    }
    Ticket ticket;
    ticket.m_admissionController = this;
    ticket.m_customer = request.customer;
    ticket.m_tokens = request.tokens;
    ticket.m_waited = hasWaited ? m_impl->clock.now() - now : base::Duration::zero();
    AdmissionStats &stats = m_impl->statsOf(request);
    ++stats.admitted;
    stats.queued += hasWaited ? 1 : 0;
    stats.waited += ticket.m_waited;
    return ticket;
}

void AdmissionController::finish(const base::CustomerId &customer, std::uint64_t tokens)
{
    const std::lock_guard lock(m_impl->mutex);
    const base::TimePoint now = m_impl->clock.now();
    --m_impl->inFlight;
    m_impl->limiter.finish(customer);
    m_impl->overload.recordCompleted(tokens, now);
    if (const auto it = m_impl->drainRates.find(customer); it != m_impl->drainRates.end()) {
        it->second.add(tokens, now);
    }
    m_impl->admitQueued(now);
}

void AdmissionController::configure(const config::Tables &tables, base::TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    for (const config::Route &it : tables.routes) {
        m_impl->limiter.raiseLongestRequest(it.deadline);
    }
    m_impl->limiter.configure(tables.customers, now);
    std::map<base::CustomerId, double> weights;
    for (const config::Customer &it : tables.customers) {
        weights.emplace(it.id, it.weight);
        m_impl->drainRates.try_emplace(it.id);
    }
    std::erase_if(m_impl->stats, [&](const auto &it) {
        return !weights.contains(it.first.customer);
    });
    std::erase_if(m_impl->drainRates, [&](const auto &it) {
        return !weights.contains(it.first);
    });
    m_impl->refuseAll([&](const QueueEntry &entry) -> std::optional<Refused> {
        if (weights.contains(entry.customer)) {
            return std::nullopt;
        }
        return Refused{Refusal::UnknownCustomer,
                       base::fail(ErrorKind::Forbidden, "the customer was removed from the configuration; add it with carawaylatchctl apply")};
    });
    m_impl->queue.setWeights(std::move(weights));
    m_impl->admitQueued(now);
}

void AdmissionController::setCapacity(std::uint32_t capacity)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->capacity = capacity;
    m_impl->admitQueued(m_impl->clock.now());
}

void AdmissionController::stop()
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->isStopping = true;
    m_impl->refuseAll([](const QueueEntry &) {
        return std::optional(stoppingRefusal());
    });
}

DemandReport AdmissionController::report(const base::RouterId &to, base::TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->limiter.report(to, now);
}

ShareTable AdmissionController::answer(const DemandReport &report, base::TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    ShareTable table = m_impl->limiter.answer(report, now);
    m_impl->admitQueued(now);
    return table;
}

void AdmissionController::apply(const ShareTable &table, base::TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->limiter.apply(table, now);
    m_impl->admitQueued(now);
}

std::vector<AdmissionStats> AdmissionController::stats() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::map<StatsKey, std::uint32_t> waiting;
    m_impl->queue.forEach([&](const QueueEntry &entry) {
        ++waiting[{entry.customer, entry.trafficClass}];
    });
    std::vector<AdmissionStats> all;
    for (const auto &[key, stats] : m_impl->stats) {
        all.push_back(stats);
        all.back().waiting = waiting[key];
    }
    return all;
}

std::uint64_t AdmissionController::unknownCustomers() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->unknownCustomers;
}

std::uint32_t AdmissionController::inFlight() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->inFlight;
}

std::uint32_t AdmissionController::inFlight(const base::CustomerId &customer) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->limiter.inFlight(customer);
}

std::uint32_t AdmissionController::waiting() const
{
    const std::lock_guard lock(m_impl->mutex);
    return static_cast<std::uint32_t>(m_impl->queue.size());
}

std::uint32_t AdmissionController::share(const base::CustomerId &customer, Resource resource, base::TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->limiter.share(customer, resource, now);
}

Ticket::Ticket(Ticket &&other) noexcept
    : m_admissionController(std::exchange(other.m_admissionController, nullptr))
    , m_customer(std::move(other.m_customer))
    , m_tokens(other.m_tokens)
    , m_waited(other.m_waited)
{
}

Ticket &Ticket::operator=(Ticket &&other) noexcept
{
    if (this != &other) {
        release();
        m_admissionController = std::exchange(other.m_admissionController, nullptr);
        m_customer = std::move(other.m_customer);
        m_tokens = other.m_tokens;
        m_waited = other.m_waited;
    }
    return *this;
}

Ticket::~Ticket()
{
    release();
}

base::Duration Ticket::waited() const
{
    return m_waited;
}

void Ticket::release()
{
    if (AdmissionController *admissionController = std::exchange(m_admissionController, nullptr)) {
        admissionController->finish(m_customer, m_tokens);
    }
}

} // namespace carawaylatch::admission
