// Fair queueing between customers.
//
// Deficit round robin (Shreedhar and Varghese, 1995) over customers, one ring
// for each class: a visit adds quantum x weight tokens to a customer's deficit,
// and its head leaves when the deficit covers the head's tokens. So customers
// share by the work they ask for, not by how many requests they send. The
// interactive ring goes first; batch requests older than the ageing time take
// every second turn, so batch never starves. Bounded in length, over all and for
// each customer.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

struct QueueEntry
{
    std::uint64_t id = 0; // unique in the queue
    base::CustomerId customer;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::uint64_t tokens = 1; // expected work, at least one
    base::TimePoint enqueued;
    base::TimePoint deadline; // latest time to leave the queue
};

struct FairQueueOptions
{
    std::uint64_t quantum = 4000; // tokens for each visit and weight 1
    base::Duration batchAgingTime = base::seconds{5};
    std::size_t maxEntries = 10'000;
    std::size_t maxEntriesPerCustomer = 2'000;
};

class FairQueue
{
public:
    explicit FairQueue(const FairQueueOptions &options = {});
    ~FairQueue();
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    // Replaces all weights; 1 where none above zero is set.
    void setWeights(std::map<base::CustomerId, double> weights);
    // LimitExceeded when the customer's part is full, Overloaded when all is.
    [[nodiscard]] base::Result<void> push(const QueueEntry &entry);
    // Removes and returns the next entry among customers that may start now.
    using Eligible = std::function<bool(const base::CustomerId &)>;
    [[nodiscard]] std::optional<QueueEntry> pop(base::TimePoint now, const Eligible &eligible);
    // Removes an entry; false if it is not there.
    bool remove(std::uint64_t id);
    // Visits all entries: interactive before batch, each customer's in their order.
    void forEach(const std::function<void(const QueueEntry &)> &visit) const;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::uint64_t queuedTokens() const;
    [[nodiscard]] std::size_t depth(const base::CustomerId &customer) const;
    [[nodiscard]] double weight(const base::CustomerId &customer) const;
    // Returns the sum of weights of customers that have an entry.
    [[nodiscard]] double queuedWeight() const;

private:
    class Ring;
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::admission
