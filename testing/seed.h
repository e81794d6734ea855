// Seed of the pseudorandom test cases. It is fixed by default, set with --seed and
// printed by the test runner, so that a failure can be reproduced.
#pragma once

#include <cstdint>

namespace carawaylatch::testing
{

[[nodiscard]] std::uint64_t seed();
void setSeed(std::uint64_t seed);

} // namespace carawaylatch::testing
