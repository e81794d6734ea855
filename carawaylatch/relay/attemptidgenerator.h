// Attempt ids that are unique over all routers.
//
// An id is a bijective mix of a counter, shifted by a hash of the router's name
// and incarnation: one router never repeats an id, and two routers (or two lives
// of one) collide only if their 64-bit sequences meet by chance.
#pragma once

#include <atomic>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::relay
{

// Makes attempt ids; safe for use from any thread.
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
