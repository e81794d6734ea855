// The current test seed.
#include "testing/seed.h"

namespace carawaylatch::testing
{

namespace
{
std::uint64_t currentSeed = 20261203;
} // namespace

std::uint64_t seed()
{
    return currentSeed;
}

void setSeed(std::uint64_t seed)
{
    currentSeed = seed;
}

} // namespace carawaylatch::testing
