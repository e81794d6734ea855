// The token buckets of a coordinator.
//
// For each customer with a limit there is one bucket, filled at the rate times the part
// of the limit that this router holds. Its capacity shrinks and grows with that part; a
// share that is lost lowers the level to the new capacity, and one that is gained adds
// nothing to it, so that moving shares never makes tokens.
//
// A granted token may arrive at an upstream as late as `delay` after the grant: the
// grant's term and the longest wait in a queue. In a window of length w thus at most
// capacity + rate * (w + delay) tokens arrive. The capacity is what the tolerance leaves:
//
//     min(burst, burst + overshoot * (rate * w + burst) + slack - rate * delay)
//
// Handles a customer that sends many times its usual over all routers at once: a denied
// request has a place of its own, as if the bucket served all of them in order, so that
// callers come back spread over the time in which there are tokens for them.
//
// A state machine without I/O. Not thread-safe.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <span>

#include "carawaylatch/admission/customerlimit.h"
#include "carawaylatch/admission/limitmessages.h"

namespace carawaylatch::admission
{

// How long after the sending of its request a grant may be used.
inline constexpr base::Duration GrantTerm = base::milliseconds{500};

// Capacity of a bucket that holds the whole limit. Not below a quarter second of the rate as far as the tolerance
// allows, so that a limit without a burst is usable; never negative.
[[nodiscard]] double bucketCapacity(const CustomerLimit &limit, const LimitTolerance &tolerance);

class LimitBuckets
{
public:
    explicit LimitBuckets(base::TimePoint now);
    ~LimitBuckets();
    LimitBuckets(LimitBuckets &&) noexcept;
    LimitBuckets &operator=(LimitBuckets &&) noexcept;

    // Replaces the limits; levels stay, as far as the new capacities allow. New buckets are empty.
    void configure(std::span<const NamedLimit> limits, const LimitTolerance &tolerance, base::TimePoint now);
    // Sets the part of a group's limits that this router holds, 0 to 1.
    void setHeldShare(std::uint32_t group, double share, base::TimePoint now);
    // Answers one entry of a request for tokens.
    [[nodiscard]] TokenGrantEntry take(const TokenRequestEntry &entry, base::TimePoint now);
    // Tokens in the bucket now; zero without one.
    [[nodiscard]] double level(CustomerKey customer, base::TimePoint now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::admission
