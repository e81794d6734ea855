// Admission control for traffic threads: limits, fair queueing and overload control.
//
//     auto ticket = admissionController.admit(request, clock.now());
//     if (!ticket) { refuse(ticket.error()); return; }   // error has retryAfter
//     ... relay the request ...                          // ~Ticket() ends it
//
// admit() consumes the customer's rate and then reserves one request in flight. If
// none is free, it waits in the fair queue as long as the expected wait fits the
// deadline. A request that can no longer meet its deadline is refused as soon as
// that is known.
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
    Overload, // the expected wait exceeds the deadline
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
    std::uint64_t tokens = 1; // expected work: uncached prompt tokens plus response tokens
    base::TimePoint deadline; // for the first token
    base::Duration expectedWait{}; // at the upstream, after admission
    // Polled while waiting; if it returns true the request is refused. May be empty.
    std::function<bool()> callerGone;
};

struct AdmissionOptions
{
    LimiterOptions limits{};
    FairQueueOptions queue{};
    OverloadOptions overload{};
    std::uint32_t capacity = 256; // maximum requests in flight on this router
    base::Duration recheckInterval = base::milliseconds{20}; // between two checks of waiting requests
};

// Statistics of one customer and traffic class.
struct AdmissionStats
{
    base::CustomerId customer;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::uint64_t admitted = 0;
    std::uint64_t queued = 0; // admitted requests that had to wait
    std::array<std::uint64_t, AllRefusals.size()> refused{}; // indexed by Refusal
    base::Duration waited{}; // sum over all admitted requests
    std::uint32_t waiting = 0; // queued now
};

class AdmissionController;

// An admitted request, counted as in flight until the ticket is released or destroyed.
// Must not outlive the controller.
class Ticket
{
public:
    Ticket() = default;
    Ticket(Ticket &&other) noexcept;
    Ticket &operator=(Ticket &&other) noexcept;
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;
    ~Ticket();
    // Returns the time spent in the queue.
    [[nodiscard]] base::Duration waited() const;
    // Ends the request; it is no longer counted as in flight.
    void release();

private:
    friend class AdmissionController;
    AdmissionController *m_admissionController = nullptr;
    base::CustomerId m_customer;
    std::uint64_t m_tokens = 0;
    base::Duration m_waited{};
};

// Thread-safe.
class AdmissionController
{
public:
    AdmissionController(const AdmissionOptions &options, const base::Clock &clock);
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    // Blocks until the request is admitted or refused. Errors: Forbidden (unknown
    // customer), LimitExceeded (rate), Overloaded (queue full or deadline would be
    // missed), Cancelled (caller left), Unavailable (stopping). The request has not
    // been executed in any of these cases.
    [[nodiscard]] base::Result<Ticket> admit(const AdmissionRequest &request, base::TimePoint now);

    // Replaces limits and weights. Tickets stay valid; waiting requests of removed customers are refused.
    void configure(const config::Tables &tables, base::TimePoint now);
    // Sets the maximum requests in flight: this router's share of the upstreams' capacity.
    void setCapacity(std::uint32_t capacity);
    // Refuses all waiting and new requests (Unavailable); tickets stay valid.
    void stop();

    // Exchange of shares with peers; see Limiter.
    [[nodiscard]] DemandReport report(const base::RouterId &to, base::TimePoint now);
    [[nodiscard]] ShareTable answer(const DemandReport &report, base::TimePoint now);
    void apply(const ShareTable &table, base::TimePoint now);

    // Returns statistics of the configured customers that sent requests.
    [[nodiscard]] std::vector<AdmissionStats> stats() const;
    // Returns the number of requests refused because the customer is unknown.
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
