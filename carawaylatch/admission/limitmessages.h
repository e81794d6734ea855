// Messages by which routers keep customers' limits together; see quotaleases.h and
// customerlimits.h. proxy/limitcodec.h has their bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

using RouterKey = std::uint64_t; // hash of the text of a router's endpoint
using CustomerKey = std::uint64_t; // hash of a customer's id
using GroupMask = std::uint32_t; // one bit for each group of customers

// Customers are divided into groups, each with a coordinator of its own.
inline constexpr std::uint32_t LimitGroups = 4;
inline constexpr GroupMask AllLimitGroups = (1U << LimitGroups) - 1;
[[nodiscard]] constexpr std::uint32_t limitGroup(CustomerKey customer)
{
    return static_cast<std::uint32_t>(customer % LimitGroups);
}

// A candidate asks a router to lend it its share of these groups.
struct SharePoll
{
    RouterKey sender = 0;
    std::uint64_t incarnation = 0; // of the sender
    std::uint64_t sequence = 0; // increases with each poll of this incarnation to this lender
    GroupMask groups = 0; // the sender has dropped what it held of the others
    base::Duration term{}; // of the lease; whole milliseconds
    base::Duration nextPoll{}; // until the next poll at the latest; whole milliseconds
    // The lender's last answer that the sender has applied; zero if none.
    std::uint64_t lenderIncarnation = 0;
    std::uint64_t appliedAnswer = 0;

    bool operator==(const SharePoll &) const = default;
};

struct ShareAnswer
{
    RouterKey sender = 0; // the lender
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; // increases with each answer of this incarnation to this borrower
    std::uint64_t pollIncarnation = 0; // of the borrower
    std::uint64_t pollSequence = 0;
    GroupMask lent = 0; // replaces what was lent before
    std::uint32_t routers = 0; // the lender's share of each limit is one in this number

    bool operator==(const ShareAnswer &) const = default;
};

inline constexpr std::size_t MaxTokenEntries = 512;

struct TokenRequestEntry
{
    CustomerKey customer = 0;
    std::uint32_t needed = 0; // for all requests that wait
    std::uint32_t smallest = 0; // for the smallest of them; less than this is of no use
    std::uint32_t extra = 0; // for requests to come, if there is plenty

    bool operator==(const TokenRequestEntry &) const = default;
};

struct TokenRequest
{
    RouterKey sender = 0;
    std::vector<TokenRequestEntry> entries; // at most MaxTokenEntries

    bool operator==(const TokenRequest &) const = default;
};

enum class GrantVerdict : std::uint8_t {
    Granted = 0,
    Denied = 1, // over the limit now
    TooLarge = 2, // more than the limit ever allows at once
    NoCoordinator = 3, // the router that was asked holds no share of the group, or knows no such limit
};

struct TokenGrantEntry
{
    CustomerKey customer = 0;
    GrantVerdict verdict = GrantVerdict::NoCoordinator;
    std::uint32_t tokens = 0; // granted
    base::Duration retryAfter{}; // until the tokens are there, if denied; whole milliseconds

    bool operator==(const TokenGrantEntry &) const = default;
};

struct TokenGrant
{
    std::vector<TokenGrantEntry> entries; // at most MaxTokenEntries

    bool operator==(const TokenGrant &) const = default;
};

} // namespace carawaylatch::admission
