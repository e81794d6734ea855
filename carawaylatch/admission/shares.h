// Messages by which routers share customers' limits.
//
// A router sends a DemandReport to its peers, and each peer answers with a ShareTable
// that states what it lends of its own quota. Both list only customers with demand or
// loans and hold at most MaxEntries entries, so that the control traffic of a node
// stays bounded with 640 customers and thousands of routers.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::admission
{

enum class Resource {
    Concurrency, // unit: one request in flight
    Rate, // unit: 1/1000 request per second
};
inline constexpr std::uint32_t RateUnitsPerRequest = 1000;

// Maximum entries of one message; the next message starts with those left out.
inline constexpr std::size_t MaxEntries = 48;

struct DemandEntry
{
    base::CustomerId customer;
    Resource resource = Resource::Concurrency;
    std::uint32_t wanted = 0; // units of the receiver's quota that the sender would use
    std::uint32_t held = 0; // units of the receiver's quota that the sender uses or may use
};

// Customers that are not listed are neither held nor wanted.
struct DemandReport
{
    base::RouterId from;
    base::Incarnation incarnation;
    std::uint64_t sequence = 0; // increases with every report of this incarnation
    // The receiver's last table that the sender applied; zero if none.
    base::Incarnation tableIncarnation;
    std::uint64_t tableSequence = 0;
    std::vector<DemandEntry> entries;
};

struct ShareEntry
{
    base::CustomerId customer;
    Resource resource = Resource::Concurrency;
    std::uint32_t amount = 0; // units lent; replaces the previous amount
};

// Answer to one report. Customers that are not listed are no longer lent any units.
struct ShareTable
{
    base::RouterId from;
    base::Incarnation incarnation;
    std::uint64_t sequence = 0;
    base::RouterId to;
    base::Incarnation toIncarnation;
    std::uint64_t reportSequence = 0; // loanTerm starts when this report was sent
    std::vector<ShareEntry> entries;
};

} // namespace carawaylatch::admission
