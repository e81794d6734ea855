// Customers' limits over all routers, as one router sees them.
//
//     const LimitDecision decision = limits.request(customer, cost, now);
//     switch (decision.verdict) {
//     case LimitVerdict::Granted: ...      // counted; go on
//     case LimitVerdict::Pending: ...      // wait for decision.ticket in takeDecisions()
//     default: ...                         // refuse; decision.retryAfter
//     }
//
// The coordinator of the customer's group (quotaleases.h) has the bucket
// (limitbuckets.h). While it is being determined, requests wait for it, for AskTimeout.
// This router asks it for tokens when a request finds none here, for
// all requests of the customer that wait, and for some more while there is plenty. Tokens
// that are not used within GrantTerm of the sending of the request are dropped. After a
// denial requests of that customer that find no tokens are refused here for DeniedInterval, so that a customer
// over its limit costs the coordinator few messages.
//
// Messages go out by takeMessages(), to be called after each call that may have produced
// some and every TickInterval; responses come in by onAnswer(), onGrant() and onFailure().
//
// A state machine without I/O. Not thread-safe. Memory is bounded by the customers with a
// limit, MaxPending waiting requests and the routers.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "carawaylatch/admission/customerlimit.h"
#include "carawaylatch/admission/limitbuckets.h"
#include "carawaylatch/admission/limitmessages.h"
#include "carawaylatch/admission/quotaleases.h"

namespace carawaylatch::admission
{

enum class LimitVerdict {
    Granted, // the cost is counted
    Pending, // waits for the coordinator
    OverLimit,
    TooLarge, // more than the limit ever allows at once
    Unavailable, // no coordinator is reached
};

struct LimitDecision
{
    LimitVerdict verdict = LimitVerdict::Granted;
    base::Duration retryAfter{}; // set for OverLimit and Unavailable
    std::uint64_t ticket = 0; // set for Pending
    base::TimePoint usableUntil; // set for Granted: end of the term of the tokens
};

struct TicketDecision
{
    std::uint64_t ticket = 0;
    LimitDecision decision; // not Pending
};

// A message to another router, sent as a request whose response goes to onAnswer() or onGrant().
struct LimitMessage
{
    RouterKey to = 0;
    std::uint64_t id = 0; // to be passed to onGrant() and onFailure(); unique in this process
    std::variant<SharePoll, TokenRequest> content;
};

// Counters since the start of the process.
struct LimitCounts
{
    std::uint64_t overLimit = 0; // requests refused over the limit, for good or for now
    std::uint64_t unavailable = 0;
    std::uint64_t asks = 0; // requests for tokens sent to other routers
    std::uint64_t grants = 0; // requests for tokens of other routers that were granted
};

// Use of one customer's limit, for operators.
struct LimitUse
{
    base::CustomerId customer;
    std::uint64_t overLimit = 0; // requests refused since the last call
    std::uint64_t unavailable = 0;
};

class CustomerLimits
{
public:
    static constexpr base::Duration AskTimeout = base::milliseconds{250}; // many round trips between failure domains
    static constexpr base::Duration DeniedInterval = base::milliseconds{100};
    static constexpr base::Duration ExtraTime = base::milliseconds{200}; // of use that is asked for beyond what waits
    static constexpr base::Duration TickInterval = base::milliseconds{50};
    static constexpr std::size_t MaxPending = 4096; // more requests are refused as unavailable

    CustomerLimits(RouterKey self, std::uint64_t incarnation, std::uint64_t seed, base::TimePoint now);
    ~CustomerLimits();
    CustomerLimits(const CustomerLimits &) = delete;
    CustomerLimits &operator=(const CustomerLimits &) = delete;

    // Replaces the limits; without any, no messages are sent and request() grants all.
    void configure(std::span<const NamedLimit> limits, const LimitTolerance &tolerance, base::TimePoint now);
    // See QuotaLeases::setRouters().
    void setRouters(std::span<const RouterKey> routers, std::uint32_t count, base::TimePoint now);
    // Gives back the shares of others; requests are decided on as before.
    void stop();

    // Counts a request of the customer. A customer without a limit is granted all.
    [[nodiscard]] LimitDecision request(const base::CustomerId &customer, std::uint32_t cost, base::TimePoint now);
    // The request with this ticket no longer waits.
    void cancel(std::uint64_t ticket);
    // A granted request was never sent: its tokens may be used again for the rest of their term.
    void refund(const base::CustomerId &customer, std::uint32_t cost, base::TimePoint usableUntil, base::TimePoint now);
    // Decisions on requests that were pending.
    [[nodiscard]] std::vector<TicketDecision> takeDecisions(base::TimePoint now);

    [[nodiscard]] std::vector<LimitMessage> takeMessages(base::TimePoint now);
    // Messages of other routers; the results are the responses.
    [[nodiscard]] ShareAnswer onPoll(const SharePoll &poll, base::TimePoint now);
    [[nodiscard]] TokenGrant onTokenRequest(const TokenRequest &request, base::TimePoint now);
    // Responses to messages of this router.
    void onAnswer(const ShareAnswer &answer, base::TimePoint now);
    void onGrant(std::uint64_t id, const TokenGrant &grant, base::TimePoint now);
    // The message could not be sent, or its response is unusable.
    void onFailure(std::uint64_t id, base::TimePoint now);

    // The routers to which a connection is needed; none without limits.
    [[nodiscard]] std::vector<RouterKey> peers() const;
    [[nodiscard]] std::size_t limitedCustomers() const;
    [[nodiscard]] double heldShare(std::uint32_t group, base::TimePoint now) const;
    // See QuotaLeases::startDelayLasted().
    [[nodiscard]] std::optional<base::Duration> startDelayLasted(base::TimePoint now) const;
    [[nodiscard]] const LimitCounts &counts() const;
    // Customers with refusals since the last call.
    [[nodiscard]] std::vector<LimitUse> takeRefusals();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::admission
