// An exchange and its customer's limit.
//
// A request is counted once, after it is admitted and before it is placed. One that another router
// forwards is counted at both: nothing shows that the mark of a forwarded request is not a caller's,
// and forwarding is rare. While it waits for a decision it holds no place in the queue; what ends any
// request ends this wait too. The pool's retry budget counts a request after its limit has: what is
// refused here is no load of the pool, and must not entitle others to retries.
#include "carawaylatch/proxy/exchange.h"

#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::proxy
{

void Exchange::countAgainstLimit()
{
    if (m_customer == nullptr || !m_customer->limit) {
        begin();
        return;
    }
    m_limitCost = m_customer->limit->cost(std::uint64_t{m_request.promptTokens} + m_request.maxOutputTokens);
    const auto done = [weak = weak_from_this()](const admission::LimitDecision &decision) {
        if (const auto self = weak.lock()) {
            // Decisions on several requests arrive together; an exception in one must not lose the others.
            self->m_plane.contain(
                "limit decision",
                [&self, &decision] {
                    self->onLimitDecided(decision);
                },
                [&self] {
                    self->end("unexpected_error");
                });
        }
    };
    onLimitDecided(m_plane.customerLimits().request(m_customer->id, m_limitCost, done));
}

void Exchange::onLimitDecided(const admission::LimitDecision &decision)
{
    if (m_isEnded) {
        return;
    }
    m_limitTicket.reset();
    switch (decision.verdict) {
    case admission::LimitVerdict::Granted:
        m_limitUsableUntil = decision.usableUntil;
        begin();
        break;
    case admission::LimitVerdict::Pending:
        m_limitTicket = decision.ticket;
        break;
    case admission::LimitVerdict::OverLimit:
        replyLocally(429, "over_limit", decision.retryAfter); // each caller is told a time of its own
        break;
    case admission::LimitVerdict::TooLarge:
        replyLocally(429, "over_limit_for_good", {});
        break;
    case admission::LimitVerdict::Unavailable:
        refuse("limit_unavailable", decision.retryAfter);
        break;
    }
}

void Exchange::releaseLimit()
{
    if (m_limitTicket) {
        m_plane.customerLimits().cancel(*m_limitTicket);
        m_limitTicket.reset();
    }
    if (m_limitUsableUntil && m_history.sent == 0) {
        m_plane.customerLimits().refund(m_customer->id, m_limitCost, *m_limitUsableUntil);
    }
    m_limitUsableUntil.reset();
}

} // namespace carawaylatch::proxy
