// Messages by which routers share customers' limits.
//
// A router sends a DemandReport to peers, and each answers with a ShareTable:
// what it lends of its own part. Both name only customers with something to say
// and hold at most MaxEntries entries, so that 640 customers over thousands of
// routers stay within the control traffic of a node.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::admission
{

enum class Resource {
    Concurrency, // unit: one request in flight
    Rate, // unit: a thousandth of a request each second
};
inline constexpr std::uint32_t RateUnitsPerRequest = 1000;

// Entries of one message; what is left out is sent first the next time.
inline constexpr std::size_t MaxEntries = 48;

struct DemandEntry
{
    base::CustomerId customer;
    Resource resource = Resource::Concurrency;
    std::uint32_t wanted = 0; // units of the receiver's that the sender would use
    std::uint32_t held = 0; // units of the receiver's that the sender uses or may use
};

// What is not named is not held and not wanted.
struct DemandReport
{
    base::RouterId from;
    base::Incarnation incarnation;
    std::uint64_t sequence = 0; // grows with every report of this incarnation
    // The receiver's last table that the sender applied; zero for none.
    base::Incarnation tableIncarnation;
    std::uint64_t tableSequence = 0;
    std::vector<DemandEntry> entries;
};

struct ShareEntry
{
    base::CustomerId customer;
    Resource resource = Resource::Concurrency;
    std::uint32_t amount = 0; // units lent, replacing what was lent before
};

// Answer to one report. What is not named is lent no more.
struct ShareTable
{
    base::RouterId from;
    base::Incarnation incarnation;
    std::uint64_t sequence = 0;
    base::RouterId to;
    base::Incarnation toIncarnation;
    std::uint64_t reportSequence = 0; // the loan's time runs from this report's sending
    std::vector<ShareEntry> entries;
};

} // namespace carawaylatch::admission
