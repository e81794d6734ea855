// Attempt ids that are unique across all routers.
//
// An id is a bijective mix of a counter, XORed with a hash of the router's name
// and incarnation. One process never repeats an id; ids of two routers, or of two
// incarnations of one, can only be equal by a random 64-bit collision.
#pragma once

#include <atomic>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::relay
{

// Generates attempt ids. Thread-safe.
class AttemptIdGenerator
{
public:
    AttemptIdGenerator(const base::RouterId &router, base::Incarnation incarnation);

    // Returns an id that was never returned before; never zero.
    [[nodiscard]] base::AttemptId next();

private:
    const std::uint64_t m_base;
    std::atomic<std::uint64_t> m_counter{0};
};

} // namespace carawaylatch::relay
