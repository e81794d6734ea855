// Answers to duplicate requests of an order at the router that answered it first.
#pragma once

#include <cstdint>

#include "carawaylatch/orders/orderstatemachine.h"
#include "carawaylatch/orders/pendingupdate.h"

namespace carawaylatch::orders
{

enum class PendingUpdatePhase {
    Idle,
    InProgress, // a call to the object store may take effect at any time
};

// Returns an error answer for a request that did not run the order.
[[nodiscard]] OrderAnswer refusal(OrderAnswerKind kind, base::Error error);
// Returns the answer to a request that reuses the key of a different request.
[[nodiscard]] OrderAnswer keyReuseRefusal();
// Returns the answer to a duplicate while another request may run the order.
[[nodiscard]] OrderAnswer retryLaterRefusal(base::Duration retryAfter);
// Returns the answer to a duplicate of an order that has a pending update.
[[nodiscard]] OrderAnswer answerDuplicate(const PendingUpdate &pendingUpdate, PendingUpdatePhase phase, std::uint64_t requestDigest,
                                          const OrderStateMachineSettings &settings);

} // namespace carawaylatch::orders
