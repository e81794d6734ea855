// What a later request for an order is told at the router that answered it first.
#pragma once

#include <cstdint>

#include "carawaylatch/orders/orderstatemachine.h"
#include "carawaylatch/orders/pendingupdate.h"

namespace carawaylatch::orders
{

enum class PendingUpdatePhase {
    Idle,
    InProgress, // a call to the platform may take effect at any moment
};

// Returns a refusal whose request ran nothing.
[[nodiscard]] OrderAnswer refusal(OrderAnswerKind kind, base::Error error);
// Returns the refusal of a request that used another request's key.
[[nodiscard]] OrderAnswer keyReuseRefusal();
// Returns the refusal of a duplicate while another request may run the order.
[[nodiscard]] OrderAnswer retryLaterRefusal(base::Duration retryAfter);
// Returns the answer to a duplicate of an order that left a duty behind.
[[nodiscard]] OrderAnswer answerDuplicate(const PendingUpdate &pendingUpdate, PendingUpdatePhase phase, std::uint64_t requestDigest,
                                          const OrderStateMachineSettings &settings);

} // namespace carawaylatch::orders
