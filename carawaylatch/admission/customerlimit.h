// A customer's limit over all routers, as the configuration states it, and how
// exactly it must be kept.
#pragma once

#include <cstdint>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

enum class LimitUnit {
    Requests,
    Tokens, // of the prompt and of the longest output
};

struct CustomerLimit
{
    static constexpr double MaxPerSecond = 1e12; // also of the burst

    LimitUnit unit = LimitUnit::Requests;
    double perSecond = 0; // positive
    double burst = 0;
    std::uint32_t defaultTokens = 1; // what a request without a token count counts; at least 1

    // What a request counts; at least 1. `tokens` is zero if the request states none.
    [[nodiscard]] std::uint32_t cost(std::uint64_t tokens) const;

    bool operator==(const CustomerLimit &) const = default;
};

struct NamedLimit
{
    base::CustomerId customer;
    CustomerLimit limit;
};

// In each span of `window` a customer may use (rate * window + burst) * (1 + overshoot) + slack.
struct LimitTolerance
{
    base::Duration window = base::seconds{8};
    double overshoot = 0.1;
    double slack = 0;
    base::Duration maxQueueWait{}; // longest time from the admission of a request to its arrival at an upstream

    bool operator==(const LimitTolerance &) const = default;
};

// Bounds the part of a Retry-After that is due to requests refused before; many of their callers give up.
inline constexpr base::Duration MaxBacklogTime = base::seconds{10};
// Bounds any Retry-After; a time in milliseconds fits the messages between routers.
inline constexpr base::Duration MaxRetryAfter = base::hours{24};

// The time in which a positive rate gives this many tokens, at most MaxRetryAfter; zero for a negative number.
[[nodiscard]] base::Duration fillTime(double tokens, double perSecond);

} // namespace carawaylatch::admission
