// Admission for traffic threads: limits, fair queue and overload in one place.
//
//     auto ticket = gate.enter(request, clock.now());
//     if (!ticket) { refuse(ticket.error()); return; }   // error has retryAfter
//     ... relay the request ...                          // ticket gives its place back
//
// enter() takes the customer's rate, then a place in flight; where none is free
// it waits its turn in the fair queue, as long as the expected wait fits the
// deadline. A request that no longer fits is refused when that becomes clear.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "carawaylatch/admission/fairqueue.h"
#include "carawaylatch/admission/limiter.h"
#include "carawaylatch/admission/overload.h"
#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"

namespace carawaylatch::admission
{

enum class Refusal {
    UnknownCustomer,
    RateLimit,
    QueueFull,
    Overload, // the expected wait passes the deadline
    CallerGone,
    Stopping,
};
inline constexpr std::array AllRefusals = {Refusal::UnknownCustomer, Refusal::RateLimit,  Refusal::QueueFull,
                                           Refusal::Overload,        Refusal::CallerGone, Refusal::Stopping};
[[nodiscard]] std::string_view refusalName(Refusal refusal);

struct AdmissionRequest
{
    base::CustomerId customer;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::uint64_t tokens = 1; // expected work: prompt tokens missed plus answer
    base::TimePoint deadline; // for the first token
    base::Duration expectedWait{}; // at the upstreams, after admission
    // Polled while waiting; a caller that left gives its place up. May be empty.
    std::function<bool()> callerGone;
};

struct AdmissionOptions
{
    LimiterOptions limits{};
    FairQueueOptions queue{};
    OverloadOptions overload{};
    std::uint32_t capacity = 256; // requests in flight on this router
    base::Duration recheckInterval = base::milliseconds{20}; // between two looks at waiting requests
};

// Figures of one customer and class.
struct AdmissionStats
{
    base::CustomerId customer;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::uint64_t admitted = 0;
    std::uint64_t queued = 0; // of the admitted, those that had to wait
    std::array<std::uint64_t, AllRefusals.size()> refused{}; // by Refusal
    base::Duration waited{}; // sum over all admitted
    std::uint32_t waiting = 0; // now
};

class AdmissionController;

// A place in flight; given back when it is destroyed. Must not outlive the gate.
class Ticket
{
public:
    Ticket() = default;
    Ticket(Ticket &&other) noexcept;
    Ticket &operator=(Ticket &&other) noexcept;
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;
    ~Ticket();
    // Time spent in the queue.
    [[nodiscard]] base::Duration waited() const;
    // Gives the place back now.
    void release();

private:
    friend class AdmissionController;
    AdmissionController *m_admissionController = nullptr;
    base::CustomerId m_customer;
    std::uint64_t m_tokens = 0;
    base::Duration m_waited{};
};

// Safe for use from any thread.
class AdmissionController
{
public:
    AdmissionController(const AdmissionOptions &options, const base::Clock &clock);
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    // Waits for a place or refuses. Errors: Forbidden (unknown customer),
    // LimitExceeded (rate), Overloaded (queue full or too slow), Cancelled
    // (caller left), Unavailable (stopping); nothing ran in any of these.
    [[nodiscard]] base::Result<Ticket> admit(const AdmissionRequest &request, base::TimePoint now);

    // Swaps limits and weights; tickets and waiting requests are kept.
    void configure(const config::Tables &tables, base::TimePoint now);
    // Requests in flight that the upstreams of this router's share can use.
    void setCapacity(std::uint32_t capacity);
    // Refuses all that wait and all that come (Unavailable); tickets stay good.
    void stop();

    // Exchange of shares with peers, see Limiter.
    [[nodiscard]] DemandReport report(const base::RouterId &to, base::TimePoint now);
    [[nodiscard]] ShareTable answer(const DemandReport &report, base::TimePoint now);
    void apply(const ShareTable &table, base::TimePoint now);

    // Returns figures of the tables' customers that sent requests.
    [[nodiscard]] std::vector<AdmissionStats> stats() const;
    // Returns how many requests were refused for an unknown customer.
    [[nodiscard]] std::uint64_t unknownCustomers() const;
    [[nodiscard]] std::uint32_t inFlight() const;
    [[nodiscard]] std::uint32_t inFlight(const base::CustomerId &customer) const;
    [[nodiscard]] std::uint32_t waiting() const;
    [[nodiscard]] std::uint32_t share(const base::CustomerId &customer, Resource resource, base::TimePoint now) const;

private:
    friend class Ticket;
    void finish(const base::CustomerId &customer, std::uint64_t tokens);

    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::admission
