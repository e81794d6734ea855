// All state is under one mutex; a request costs two short critical sections.
//
// A request that finds a place and an empty queue takes it. Any other is queued,
// and every event that may free a place (a ticket given back, a new share, a new
// capacity, new tables) pumps the queue: entries leave in fair order while there
// is capacity and their customer may start. The waiting threads sleep on their own
// condition variable; each wakes at least every sweepInterval, and the first to do
// so sweeps: it refuses entries whose expected wait no longer fits.
//
// The expected wait of an entry: what its customer has ahead of it, stretched by
// the weight of all waiting customers against its own (each gets its share of the
// drain), but never more than all that is queued; then divided by the drain rate.
// A customer that is held by its own limit waits for its own requests, so its own
// drain rate counts too. While a rate is unknown (nothing left yet) an entry is
// given half its time.
#include "carawaylatch/admission/gate.h"

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

// One thread in enter(). All members are guarded by the gate's mutex.
struct Waiter
{
    std::condition_variable changed;
    bool isAdmitted = false;
    std::optional<Refused> refused;
};

struct FiguresKey
{
    base::CustomerId customer;
    base::TrafficClass trafficClass;

    auto operator<=>(const FiguresKey &) const = default;
};

Refused stoppingRefusal()
{
    return {Refusal::Stopping, base::fail(ErrorKind::Unavailable, "the router is stopping; send to another router", base::milliseconds{100})};
}

} // namespace

class Gate::Impl
{
public:
    Impl(const GateOptions &gateOptions, const base::Clock &gateClock)
        : options(gateOptions)
        , clock(gateClock)
        , limiter(gateOptions.limits, gateClock.now())
        , queue(gateOptions.queue)
        , overload(gateOptions.overload)
        , capacity(gateOptions.capacity)
    {
    }

    AdmissionFigures &figuresOf(const AdmissionRequest &request)
    {
        AdmissionFigures &entry = figures[{request.customer, request.trafficClass}];
        entry.customer = request.customer;
        entry.trafficClass = request.trafficClass;
        return entry;
    }

    // Takes a place without waiting; only while nobody waits.
    bool tryStartNow(const AdmissionRequest &request, base::TimePoint now)
    {
        if (queue.size() > 0 || inFlight >= capacity || !limiter.tryStart(request.customer, now)) {
            return false;
        }
        ++inFlight;
        return true;
    }

    // Admits from the queue while there is room.
    void pump(base::TimePoint now)
    {
        while (inFlight < capacity) {
            const auto entry = queue.pop(now, [&](const base::CustomerId &customer) {
                return limiter.mayStart(customer, now);
            });
            if (!entry || !limiter.tryStart(entry->customer, now)) {
                return;
            }
            ++inFlight;
            limiter.noteWaiting(entry->customer, static_cast<std::uint32_t>(queue.depth(entry->customer)));
            Waiter *waiter = waiters.at(entry->id);
            waiter->isAdmitted = true;
            waiter->changed.notify_one();
        }
    }

    // Says whether a customer waits for its own requests to end, and not for others.
    bool isHeldByLimit(const base::CustomerId &customer, base::TimePoint now) const
    {
        return !limiter.mayStart(customer, now);
    }

    // Returns the wait behind so many tokens of the customer, nothing if unknown.
    std::optional<base::Duration> waitOf(const base::CustomerId &customer, std::uint64_t ownTokensAhead, base::TimePoint now) const
    {
        const double stretch = queue.waitingWeight() / queue.weight(customer);
        const double ahead = std::min(static_cast<double>(ownTokensAhead) * std::max(1.0, stretch), static_cast<double>(queue.queuedTokens()));
        const auto wait = overload.expectedWait(ahead, now);
        if (!wait || !isHeldByLimit(customer, now)) {
            return wait;
        }
        const auto drain = drains.find(customer);
        const auto rate = drain == drains.end() ? std::nullopt : drain->second.perSecond(now);
        return rate ? std::optional(std::max(*wait, OverloadPolicy::waitAt(*rate, static_cast<double>(ownTokensAhead)))) : std::nullopt;
    }

    base::Duration waitOrZero(const base::CustomerId &customer, std::uint64_t ownTokensAhead, base::TimePoint now) const
    {
        return waitOf(customer, ownTokensAhead, now).value_or(base::Duration::zero());
    }

    // Refuses what will not leave the queue in time.
    void sweep(base::TimePoint now)
    {
        nextSweep = now + options.sweepInterval;
        std::map<FiguresKey, std::uint64_t> ahead;
        std::vector<std::pair<std::uint64_t, Refused>> late;
        queue.forEach([&](const QueueEntry &entry) {
            std::uint64_t &tokens = ahead[{entry.customer, entry.trafficClass}];
            tokens += entry.tokens;
            const auto wait = waitOf(entry.customer, tokens, now);
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

    // Takes a waiting entry out of the queue with a refusal.
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
        if (auto taken = limiter.takeRate(request.customer, now); !taken) {
            const bool isUnknown = taken.error().kind == ErrorKind::Forbidden;
            base::Error error = std::move(taken).error();
            if (!isUnknown) {
                error.retryAfter = overload.retryAfter(error.retryAfter);
            }
            return Refused{isUnknown ? Refusal::UnknownCustomer : Refusal::RateLimit, std::move(error)};
        }
        const base::Duration wait = request.expectedWait + waitOrZero(request.customer, queue.size() == 0 ? 0 : request.tokens, now);
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
            error.retryAfter = overload.retryAfter(waitOrZero(request.customer, queue.queuedTokens(), now));
            return Refused{Refusal::QueueFull, std::move(error)};
        }
        limiter.noteWaiting(request.customer, static_cast<std::uint32_t>(queue.depth(request.customer)));
        return std::nullopt;
    }

    // Sleeps until the entry is admitted or refused.
    std::optional<Refused> await(std::unique_lock<std::mutex> &lock, const AdmissionRequest &request, std::uint64_t id, Waiter &waiter)
    {
        while (!waiter.isAdmitted && !waiter.refused) {
            waiter.changed.wait_for(lock, options.sweepInterval);
            const base::TimePoint now = clock.now();
            if (waiter.isAdmitted || waiter.refused) {
                break;
            }
            if (request.callerGone && request.callerGone()) {
                refuse(id, {Refusal::CallerGone, base::fail(ErrorKind::Cancelled, "the caller left before its request ran")});
            } else if (now >= nextSweep) {
                sweep(now);
                pump(now);
            }
        }
        waiters.erase(id);
        limiter.noteWaiting(request.customer, static_cast<std::uint32_t>(queue.depth(request.customer)));
        return std::move(waiter.refused);
    }

    const GateOptions options;
    const base::Clock &clock;
    mutable std::mutex mutex; // guards all below
    Limiter limiter;
    FairQueue queue;
    OverloadPolicy overload;
    std::uint32_t capacity;
    std::uint32_t inFlight = 0;
    bool isStopping = false;
    std::uint64_t lastId = 0;
    std::uint64_t unknownCustomers = 0;
    base::TimePoint nextSweep;
    std::map<std::uint64_t, Waiter *> waiters; // of every entry in the queue, and of those just decided
    std::map<base::CustomerId, DrainRate> drains; // of customers of the tables
    std::map<FiguresKey, AdmissionFigures> figures; // of customers of the tables
};

Gate::Gate(const GateOptions &options, const base::Clock &clock)
    : m_impl(std::make_unique<Impl>(options, clock))
{
}

Gate::~Gate() = default;

base::Result<Ticket> Gate::enter(const AdmissionRequest &request, base::TimePoint now)
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
            m_impl->pump(now);
            refused = m_impl->await(lock, request, id, waiter);
        }
    }
    if (refused) {
        if (refused->refusal == Refusal::UnknownCustomer) {
            ++m_impl->unknownCustomers;
        } else {
            ++m_impl->figuresOf(request).refused[static_cast<std::size_t>(refused->refusal)];
        }
        return std::move(refused->error);
    }
    Ticket ticket;
    ticket.m_gate = this;
    ticket.m_customer = request.customer;
    ticket.m_tokens = request.tokens;
    ticket.m_waited = hasWaited ? m_impl->clock.now() - now : base::Duration::zero();
    AdmissionFigures &figures = m_impl->figuresOf(request);
    ++figures.admitted;
    figures.queued += hasWaited ? 1 : 0;
    figures.waited += ticket.m_waited;
    return ticket;
}

void Gate::leave(const base::CustomerId &customer, std::uint64_t tokens)
{
    const std::lock_guard lock(m_impl->mutex);
    const base::TimePoint now = m_impl->clock.now();
    --m_impl->inFlight;
    m_impl->limiter.finish(customer);
    m_impl->overload.noteLeft(tokens, now);
    if (const auto it = m_impl->drains.find(customer); it != m_impl->drains.end()) {
        it->second.add(tokens, now);
    }
    m_impl->pump(now);
}

void Gate::configure(const config::Tables &tables, base::TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    for (const config::Route &it : tables.routes) {
        m_impl->limiter.raiseLongestRequest(it.deadline);
    }
    m_impl->limiter.configure(tables.customers, now);
    std::map<base::CustomerId, double> weights;
    for (const config::Customer &it : tables.customers) {
        weights.emplace(it.id, it.weight);
        m_impl->drains.try_emplace(it.id);
    }
    std::erase_if(m_impl->figures, [&](const auto &it) {
        return !weights.contains(it.first.customer);
    });
    std::erase_if(m_impl->drains, [&](const auto &it) {
        return !weights.contains(it.first);
    });
    m_impl->refuseAll([&](const QueueEntry &entry) -> std::optional<Refused> {
        if (weights.contains(entry.customer)) {
            return std::nullopt;
        }
        return Refused{Refusal::UnknownCustomer,
                       base::fail(ErrorKind::Forbidden, "the customer was taken out of the tables; add it with carawaylatchctl apply")};
    });
    m_impl->queue.setWeights(std::move(weights));
    m_impl->pump(now);
}

void Gate::setCapacity(std::uint32_t capacity)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->capacity = capacity;
    m_impl->pump(m_impl->clock.now());
}

void Gate::stop()
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->isStopping = true;
    m_impl->refuseAll([](const QueueEntry &) {
        return std::optional(stoppingRefusal());
    });
}

DemandReport Gate::report(const base::RouterId &to, base::TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->limiter.report(to, now);
}

ShareTable Gate::answer(const DemandReport &report, base::TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    ShareTable table = m_impl->limiter.answer(report, now);
    m_impl->pump(now);
    return table;
}

void Gate::apply(const ShareTable &table, base::TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->limiter.apply(table, now);
    m_impl->pump(now);
}

std::vector<AdmissionFigures> Gate::figures() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::map<FiguresKey, std::uint32_t> waiting;
    m_impl->queue.forEach([&](const QueueEntry &entry) {
        ++waiting[{entry.customer, entry.trafficClass}];
    });
    std::vector<AdmissionFigures> all;
    for (const auto &[key, figures] : m_impl->figures) {
        all.push_back(figures);
        all.back().waiting = waiting[key];
    }
    return all;
}

std::uint64_t Gate::unknownCustomers() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->unknownCustomers;
}

std::uint32_t Gate::inFlight() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->inFlight;
}

std::uint32_t Gate::inFlight(const base::CustomerId &customer) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->limiter.inFlight(customer);
}

std::uint32_t Gate::waiting() const
{
    const std::lock_guard lock(m_impl->mutex);
    return static_cast<std::uint32_t>(m_impl->queue.size());
}

std::uint32_t Gate::share(const base::CustomerId &customer, Resource resource, base::TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->limiter.share(customer, resource, now);
}

Ticket::Ticket(Ticket &&other) noexcept
    : m_gate(std::exchange(other.m_gate, nullptr))
    , m_customer(std::move(other.m_customer))
    , m_tokens(other.m_tokens)
    , m_waited(other.m_waited)
{
}

Ticket &Ticket::operator=(Ticket &&other) noexcept
{
    if (this != &other) {
        release();
        m_gate = std::exchange(other.m_gate, nullptr);
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
    if (Gate *gate = std::exchange(m_gate, nullptr)) {
        gate->leave(m_customer, m_tokens);
    }
}

} // namespace carawaylatch::admission
