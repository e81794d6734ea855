// Fair queueing between customers.
//
// Deficit round robin (Shreedhar and Varghese, 1995) over customers, with one ring
// per traffic class: each visit adds quantum x weight tokens to a customer's
// deficit, and its first entry is dequeued when the deficit covers the entry's
// tokens. Customers thus share capacity by the work they request, not by their
// number of requests. The interactive ring is served first; batch requests older
// than batchAgingTime take every second turn, so that batch work is not starved.
// The queue's length is bounded, both in total and per customer.
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
    std::uint64_t tokens = 1; // expected work, at least 1
    base::TimePoint enqueued;
    base::TimePoint deadline; // latest time to leave the queue
};

struct FairQueueOptions
{
    std::uint64_t quantum = 4000; // tokens added per visit at weight 1
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

    // Replaces all weights. A customer without a positive weight has weight 1.
    void setWeights(std::map<base::CustomerId, double> weights);
    // Returns LimitExceeded if the customer's queue is full, Overloaded if the whole queue is.
    [[nodiscard]] base::Result<void> push(const QueueEntry &entry);
    // Removes and returns the next entry of a customer for which `eligible` is true.
    using Eligible = std::function<bool(const base::CustomerId &)>;
    [[nodiscard]] std::optional<QueueEntry> pop(base::TimePoint now, const Eligible &eligible);
    // Removes an entry; returns false if there is none with this id.
    bool remove(std::uint64_t id);
    // Visits all entries, interactive before batch; those of one customer in arrival order.
    void forEach(const std::function<void(const QueueEntry &)> &visit) const;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::uint64_t queuedTokens() const;
    [[nodiscard]] std::size_t depth(const base::CustomerId &customer) const;
    [[nodiscard]] double weight(const base::CustomerId &customer) const;
    // Returns the sum of the weights of all customers with a queued entry.
    [[nodiscard]] double queuedWeight() const;

private:
    class Ring;
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::admission
