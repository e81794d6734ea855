// The requester's side of customers' limits: tokens granted to this router, requests that
// wait for tokens, and denials.
//
// A grant is a lot of tokens with the end of its use. A request takes from the lots that
// end first. Requests that find too few tokens wait, and are served in the order of
// arrival, except that a request for which the tokens do not suffice lets smaller ones
// pass: tokens that are kept for it would often end unused.
//
// A denial states that the coordinator had too few tokens for the smallest request that
// waited. It says nothing on still smaller ones, so these may ask again at once, while
// requests of this size or more are refused until the denial ends.
//
// A state machine without I/O that knows neither messages nor coordinators. Not
// thread-safe. Bounded by the customers with a limit, MaxLots lots each, and the number
// of requests that wait, which the caller bounds by waiting().
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "carawaylatch/admission/customerlimit.h"
#include "carawaylatch/admission/customerlimits.h"
#include "carawaylatch/base/hash.h"

namespace carawaylatch::admission
{

// Tokens that may be used until a time.
struct TokenLot
{
    base::TimePoint usableUntil;
    std::uint64_t tokens = 0;
};

class TokenBalance
{
public:
    static constexpr std::size_t MaxLots = 4; // grants follow each other by a message's round trip; more are merged

    // Merges lots, at the earlier end, if there are too many.
    void add(TokenLot lot);
    // Takes `cost` tokens; the result ends with the first of the lots used, and has no tokens if there are too few.
    [[nodiscard]] TokenLot take(std::uint32_t cost, base::TimePoint now);
    [[nodiscard]] std::uint64_t total(base::TimePoint now) const;
    void clear();

private:
    std::vector<TokenLot> m_lots; // by their end; at most MaxLots
};

// Tokens used in about the last CustomerLimits::ExtraTime.
class RecentUse
{
public:
    void add(std::uint64_t tokens, base::TimePoint now);
    [[nodiscard]] std::uint64_t total(base::TimePoint now) const;

private:
    static constexpr std::size_t Slots = 4;
    struct Slot
    {
        std::int64_t index = 0;
        std::uint64_t tokens = 0;
    };
    [[nodiscard]] static std::int64_t slotIndex(base::TimePoint now);
    std::array<Slot, Slots> m_slots{};
};

struct WaitingRequest
{
    std::uint64_t ticket = 0;
    std::uint32_t cost = 0;
    base::TimePoint deadline;
    std::uint32_t asks = 0; // messages that asked for it
};

// One customer with a limit, as this router sees it.
struct LimitAccount
{
    base::CustomerId customer;
    CustomerKey key = 0;
    CustomerLimit limit;
    base::TimePoint countedFrom; // tokens asked for before are in another unit, or were never counted
    double capacity = 0; // of the bucket of the whole limit; a larger request is never granted
    TokenBalance balance;
    RecentUse use;
    std::deque<WaitingRequest> waiting; // in order of arrival
    std::uint64_t askId = 0; // message in flight that asks for this customer; zero if none
    std::uint32_t askedSmallest = 0; // cost of the smallest request that it asks for
    base::TimePoint deniedUntil;
    std::uint32_t deniedCost = 0; // requests of this cost or more are refused until then
    base::TimePoint nextRetry; // until when callers were told to wait
    std::uint64_t overLimit = 0; // since the last takeRefusals()
    std::uint64_t unavailable = 0;
};

class TokenBalances
{
public:
    explicit TokenBalances(std::uint64_t seed);

    // Requests that wait for a customer without a limit now are granted.
    void configure(std::span<const NamedLimit> limits, const LimitTolerance &tolerance, base::TimePoint now);
    [[nodiscard]] LimitAccount *find(const base::CustomerId &customer);
    [[nodiscard]] LimitAccount *find(CustomerKey key);
    [[nodiscard]] std::size_t customers() const;
    [[nodiscard]] std::size_t waiting() const;
    // Customers with requests that wait.
    [[nodiscard]] const std::set<CustomerKey> &waitingCustomers() const;

    // Decides by what is known here; Pending without a ticket if the coordinator must be asked.
    [[nodiscard]] LimitDecision decide(LimitAccount &account, std::uint32_t cost, base::TimePoint now);
    // Decisions on a single request by the coordinator's answer.
    [[nodiscard]] LimitDecision granted(LimitAccount &account, std::uint32_t cost, base::TimePoint usableUntil, base::TimePoint now);
    [[nodiscard]] LimitDecision overLimit(LimitAccount &account, base::Duration retryAfter);
    [[nodiscard]] LimitDecision tooLarge(LimitAccount &account);
    [[nodiscard]] LimitDecision unavailable(LimitAccount &account);
    // How long it takes until shares of the group can be used; nothing if that is not known. For retries of requests
    // that are refused as unavailable from now on.
    void setTimeToShares(std::uint32_t group, std::optional<base::Duration> time);

    [[nodiscard]] std::uint64_t wait(LimitAccount &account, std::uint32_t cost, base::TimePoint now);
    void cancel(std::uint64_t ticket);
    // What to ask for: the requests that wait less what the balance holds.
    [[nodiscard]] static TokenRequestEntry entry(LimitAccount &account, base::TimePoint now);

    // Answers to the last entry().
    void onGranted(LimitAccount &account, const TokenLot &lot, base::TimePoint now);
    void onDenied(LimitAccount &account, base::Duration retryAfter, base::TimePoint now);
    // The last entry() was answered by a grant: refuses requests that two grants did not cover, as smaller ones that
    // keep arriving would take all tokens until the time-out.
    void refusePassedOver(LimitAccount &account, base::TimePoint now);
    void onTooLarge(LimitAccount &account);
    void onUnavailable(LimitAccount &account);
    // Refuses requests that have waited for AskTimeout.
    void expire(base::TimePoint now);

    [[nodiscard]] std::vector<TicketDecision> takeDecisions(base::TimePoint now);
    // The refusals are counted here, the messages by the caller.
    [[nodiscard]] LimitCounts &counts();
    [[nodiscard]] std::vector<LimitUse> takeRefusals();

private:
    struct Decided
    {
        TicketDecision result;
        CustomerKey customer = 0;
        std::uint32_t cost = 0;
    };
    // Applies `decide` to each waiting request, in order; those for which it gives Pending go on waiting.
    template <typename Decide>
    void settle(LimitAccount &account, Decide &&decide);
    // Adds tokens to the balance, unless they are of before the limit or its unit; a lot ends GrantTerm after it was
    // asked for, or earlier.
    static void credit(LimitAccount &account, const TokenLot &lot);
    // When a request refused here is to come back: behind those refused before.
    [[nodiscard]] base::Duration nextPlace(LimitAccount &account, std::uint32_t cost, base::TimePoint now);

    base::Random m_random;
    std::unordered_map<base::CustomerId, std::unique_ptr<LimitAccount>> m_accounts;
    std::unordered_map<CustomerKey, LimitAccount *> m_byKey; // into m_accounts
    std::set<CustomerKey> m_waitingCustomers; // those whose account has waiting requests
    std::unordered_map<std::uint64_t, CustomerKey> m_tickets; // of waiting requests
    std::vector<Decided> m_decided; // at most the requests that waited since the last takeDecisions()
    std::uint64_t m_lastTicket = 0;
    LimitCounts m_counts;
    std::array<std::optional<base::Duration>, LimitGroups> m_timeToShares{};
};

} // namespace carawaylatch::admission
