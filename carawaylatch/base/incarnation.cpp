// The upper 32 bits hold the wall time in seconds, so that a restarted process
// supersedes its former incarnation. The lower 32 bits are random, so that the
// number is not reused if the clock was set back.
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
