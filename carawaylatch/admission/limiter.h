// Customers' limits, divided over the routers of a fleet.
//
// Every router owns a fixed quota of each limit, by the configured fleet size. The
// quota needs no communication, so an isolated router falls back to it and the sum
// over all routers stays within the limit. Between routers that can communicate,
// unused quota is lent for loanTerm at a time (see shareledger.h for the rules and
// the bound).
//
// Not thread-safe; traffic threads use admissioncontroller.h.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "carawaylatch/admission/shares.h"
#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"

namespace carawaylatch::admission
{

struct LimiterOptions
{
    base::RouterId router;
    base::Incarnation incarnation;
    std::uint32_t fleetSize = 1; // routers that share each limit; no more than this may run
    // Unique position in the fleet, 0 to fleetSize - 1. Without it a limit below the
    // fleet size gives each router one unit.
    std::optional<std::uint32_t> slot{};
    base::Duration loanTerm = base::seconds{3};
    base::Duration longestRequest = base::seconds{30}; // upper bound of the time in flight
};

class Limiter
{
public:
    Limiter(const LimiterOptions &options, base::TimePoint now);
    ~Limiter();
    Limiter(Limiter &&) noexcept;
    Limiter &operator=(Limiter &&) noexcept;

    // Raises the longest time that a request may be in flight; a lower value is ignored.
    void raiseLongestRequest(base::Duration longest);
    // Applies the customers' limits; requests in flight stay counted.
    void configure(std::span<const config::Customer> customers, base::TimePoint now);

    // Consumes one request of the customer's rate, or fails with the retry delay.
    [[nodiscard]] base::Result<void> consumeRate(const base::CustomerId &customer, base::TimePoint now);
    // Returns whether tryStart() would succeed now.
    [[nodiscard]] bool mayStart(const base::CustomerId &customer, base::TimePoint now) const;
    // Counts a request in flight; returns false if the customer's units on this router are used up.
    [[nodiscard]] bool tryStart(const base::CustomerId &customer, base::TimePoint now);
    void finish(const base::CustomerId &customer);
    // Sets how many requests of the customer are waiting for tryStart().
    void setWaiting(const base::CustomerId &customer, std::uint32_t waiting);

    // Exchange with peers: report(peer) is sent to a peer, which passes it to its
    // answer() and returns the table, which is passed to apply().
    [[nodiscard]] DemandReport report(const base::RouterId &to, base::TimePoint now);
    [[nodiscard]] ShareTable answer(const DemandReport &report, base::TimePoint now);
    void apply(const ShareTable &table, base::TimePoint now);
    // Returns whether a customer needs units that a peer may lend.
    [[nodiscard]] bool hasUnmetDemand(base::TimePoint now) const;

    // Returns the units usable now: own quota less units lent plus units borrowed.
    [[nodiscard]] std::uint32_t share(const base::CustomerId &customer, Resource resource, base::TimePoint now) const;
    [[nodiscard]] std::uint32_t inFlight(const base::CustomerId &customer) const;
    // Returns the approximate memory use in bytes.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::admission
