// Start-time fair queueing (Goyal, Vin and Cheng, 1996) between the customers of one queue.
//
// Handles one customer that sends far more than its usual load, or whose clients retry at
// once, while a pool has no capacity. A request's start tag is the greater of the virtual
// time and the finish tag of its customer's request before; its finish tag adds its work.
// The request with the smallest start tag is to be served first, and the virtual time is the
// greatest start tag that was served. Customers therefore share capacity by work, and one
// that returns after a pause is not behind those that fill the queue.
//
// A request that leaves without being served has done no work: the tags of its customer's
// later requests are computed anew without it. Otherwise a customer whose requests time out
// in the queue would be charged for all of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::proxy
{

class StartTags
{
public:
    using Ticket = std::uint64_t; // identifies a waiting request; grows with its arrival

    struct Change
    {
        Ticket ticket = 0;
        std::uint64_t start = 0;
    };

    // The start tag that a request of the customer would get if it joined now.
    [[nodiscard]] std::uint64_t next(const base::CustomerId &customer) const;
    // Returns the start tag. `work` counts as 1 if it is less.
    std::uint64_t join(const base::CustomerId &customer, Ticket ticket, std::uint64_t work);
    // The request is served; need not be the first of its customer.
    void onServed(const base::CustomerId &customer, Ticket ticket);
    // The request leaves without being served. Returns the new tags of requests of its customer, all lower than before.
    std::vector<Change> onLeft(const base::CustomerId &customer, Ticket ticket);
    // The virtual time is at least `start` from now on.
    void advance(std::uint64_t start);
    // Customers of which state is kept; at most two for each waiting request.
    [[nodiscard]] std::size_t customers() const;

private:
    struct Waiting
    {
        std::uint64_t work = 1;
        std::uint64_t joinedAt = 0; // virtual time
        std::uint64_t start = 0;
    };
    struct Customer
    {
        std::uint64_t finish = 0; // finish tag of the work that was served
        std::uint64_t lastFinish = 0; // finish tag of all work, served or waiting; only while requests wait
        std::map<Ticket, Waiting> waiting;
    };

    void remove(const base::CustomerId &customer, Customer &state, Ticket ticket);
    void dropIdle();

    std::uint64_t m_virtualTime = 0; // only grows
    std::map<base::CustomerId, Customer> m_customers;
    // Customers of which nothing waits, by finish tag. Each is ahead of the virtual time; there are at most as many as requests wait.
    std::set<std::pair<std::uint64_t, base::CustomerId>> m_idle;
    std::size_t m_waiting = 0; // requests
};

} // namespace carawaylatch::proxy
