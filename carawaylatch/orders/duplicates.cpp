// Answers duplicates from a pending update. An outcome that is not stored yet is
// returned as it is. NotRun is repeated only while the claim of this router
// certainly stands: once a write that reopens it may have taken effect, a newer
// request may run the order.
#include "carawaylatch/orders/duplicates.h"

#include <utility>

namespace carawaylatch::orders
{

using base::ErrorKind;

OrderAnswer refusal(OrderAnswerKind kind, base::Error error)
{
    OrderAnswer answer;
    answer.kind = kind;
    answer.execution = ExecutionStatus::NotRun;
    answer.error = std::move(error);
    return answer;
}

OrderAnswer keyReuseRefusal()
{
    return refusal(OrderAnswerKind::Refused, base::fail(ErrorKind::InvalidArgument, "the key was used for another request; use a new key for a new order"));
}

OrderAnswer retryLaterRefusal(base::Duration retryAfter)
{
    constexpr auto Message = "this request did not run the order, another may; send it again with the same key after retry_after_ms";
    return refusal(OrderAnswerKind::Unknown, base::fail(ErrorKind::Unavailable, Message, retryAfter));
}

OrderAnswer answerDuplicate(const PendingUpdate &pendingUpdate, PendingUpdatePhase phase, std::uint64_t requestDigest,
                            const OrderStateMachineSettings &settings)
{
    const OrderRecord &record = pendingUpdate.record();
    if (record.requestDigest != requestDigest) {
        return keyReuseRefusal();
    }
    if (record.state == RecordState::Done && !record.isAnswerDropped) {
        OrderAnswer answer;
        answer.kind = OrderAnswerKind::Done;
        answer.answer = record.answer;
        return answer;
    }
    if (pendingUpdate.kind() == PendingUpdateKind::RecordOutcome) {
        constexpr auto Message = "the order was sent and its answer is not known; ask the service whether the order exists before sending it under a new key";
        return refusal(OrderAnswerKind::Unknown, base::fail(ErrorKind::Unclear, Message));
    }
    if (pendingUpdate.holdsClaim() && phase == PendingUpdatePhase::Idle) {
        constexpr auto Message = "the order was not run; send it again with the same key after retry_after_ms";
        return refusal(OrderAnswerKind::NotRun, base::fail(ErrorKind::NotRun, Message, settings.retryAfter));
    }
    return retryLaterRefusal(settings.retryAfter);
}

} // namespace carawaylatch::orders
