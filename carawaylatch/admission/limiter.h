// Limits of customers, split over routers.
//
// Every router owns a fixed part of each limit: its share of the configured
// fleet size. That part needs no talk, so a router that is cut off falls back to
// it and the sum over all routers stays within the limit. Between routers that
// talk, parts that are not needed are lent for LoanTerm at a time (shareledger.h
// has the theory and the bound).
//
// Not thread-safe; gate.h is the facade for traffic threads.
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
    std::uint32_t fleetSize = 1; // routers that share each limit; never more may serve
    // Position in the fleet, 0 to fleetSize - 1, no two routers the same. Without
    // it a limit below the fleet size gives each router one unit.
    std::optional<std::uint32_t> slot{};
    base::Duration loanTerm = base::seconds{3};
    base::Duration longestRequest = base::seconds{30}; // no request is in flight longer
};

class Limiter
{
public:
    Limiter(const LimiterOptions &options, base::TimePoint now);
    ~Limiter();
    Limiter(Limiter &&) noexcept;
    Limiter &operator=(Limiter &&) noexcept;

    // No request is in flight longer than this; never gets shorter.
    void raiseLongestRequest(base::Duration longest);
    // Takes over the customers' limits; requests in flight keep their count.
    void configure(std::span<const config::Customer> customers, base::TimePoint now);

    // Takes one request out of the customer's rate, or says when to come back.
    [[nodiscard]] base::Result<void> consumeRate(const base::CustomerId &customer, base::TimePoint now);
    // Says whether tryStart() would succeed now.
    [[nodiscard]] bool mayStart(const base::CustomerId &customer, base::TimePoint now) const;
    // Counts a request in flight; false if the router's part is used up now.
    [[nodiscard]] bool tryStart(const base::CustomerId &customer, base::TimePoint now);
    void finish(const base::CustomerId &customer);
    // Tells how many requests of the customer wait for tryStart().
    void setWaiting(const base::CustomerId &customer, std::uint32_t waiting);

    // Exchange with peers: send report(peer) to a peer, give what comes to
    // answer(), send that back, give it to apply().
    [[nodiscard]] DemandReport report(const base::RouterId &to, base::TimePoint now);
    [[nodiscard]] ShareTable answer(const DemandReport &report, base::TimePoint now);
    void apply(const ShareTable &table, base::TimePoint now);
    // Returns true if a customer lacks units that a peer may lend.
    [[nodiscard]] bool hasUnmetDemand(base::TimePoint now) const;

    // Units usable now: own part less what is lent, plus what is borrowed.
    [[nodiscard]] std::uint32_t share(const base::CustomerId &customer, Resource resource, base::TimePoint now) const;
    [[nodiscard]] std::uint32_t inFlight(const base::CustomerId &customer) const;
    // Approximate bytes held.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::admission
