// Seconds of wall time in the upper half, so that a restarted process supersedes
// its former life, and random bits below, so that a clock set back still gives a
// number that was not used before.
#include "carawaylatch/base/incarnation.h"

#include <chrono>
#include <random>

namespace carawaylatch::base
{

Incarnation newIncarnation()
{
    constexpr unsigned RandomBits = 32;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto count = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(wall).count());
    return {(count << RandomBits) | std::random_device{}()};
}

} // namespace carawaylatch::base
