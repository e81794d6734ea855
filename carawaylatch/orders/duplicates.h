// What a later request for an order is told at the router that answered it first.
#pragma once

#include <cstdint>

#include "carawaylatch/orders/orderduty.h"
#include "carawaylatch/orders/orderguard.h"

namespace carawaylatch::orders
{

enum class DutyPhase {
    Resting,
    UnderWay, // a call to the platform may take effect at any moment
};

// Returns a refusal whose request ran nothing.
[[nodiscard]] OrderAnswer refusal(OrderAnswerKind kind, base::Error error);
// Returns the refusal of a request that used another request's key.
[[nodiscard]] OrderAnswer otherRequestRefusal();
// Returns the refusal of a duplicate while another request may run the order.
[[nodiscard]] OrderAnswer comeBackRefusal(base::Duration retryAfter);
// Returns the answer to a duplicate of an order that left a duty behind.
[[nodiscard]] OrderAnswer answerDuplicate(const OrderDuty &duty, DutyPhase phase, std::uint64_t requestDigest, const GuardSettings &settings);

} // namespace carawaylatch::orders
