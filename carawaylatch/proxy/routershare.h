// This router's part of what all routers may do together at one upstream.
//
// Parts are equal where each of them is at least one unit; else the first routers in
// rendezvous order of the upstream have one each and the others none. This needs no
// messages, so that it holds while routers are cut off from each other. If not all routers
// are known, this one counts as the last in every order.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::proxy
{

class RouterShare
{
public:
    // `routers` are the endpoints of the fleet, with or without `self`; `count` is their known number. Returns
    // false if nothing has changed.
    bool setRouters(std::span<const base::Endpoint> routers, const base::Endpoint &self, std::uint32_t count);

    [[nodiscard]] std::uint32_t routers() const;
    // True if the endpoints of all routers are known.
    [[nodiscard]] bool areAllKnown() const;
    // Number of routers before this one in the upstream's order.
    [[nodiscard]] std::uint32_t rank(std::uint64_t upstream) const;
    // The same from the other end of the order.
    [[nodiscard]] std::uint32_t rankFromEnd(std::uint64_t upstream) const;

private:
    // Kept, because it takes a step for each router and is asked for at each placement.
    [[nodiscard]] std::uint32_t routersBefore(std::uint64_t upstream) const;

    std::vector<base::Endpoint> m_fleet; // as set last, with m_count
    std::uint32_t m_count = 0;
    std::vector<std::uint64_t> m_others; // hashes of the other routers; empty if they are not all known
    std::uint64_t m_self = 0; // hash of this router
    std::uint32_t m_routers = 1;
    mutable std::unordered_map<std::uint64_t, std::uint32_t> m_ranks; // results of routersBefore(); at most MaxRanks
};

} // namespace carawaylatch::proxy
