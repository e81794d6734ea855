// The seed of generated test cases: fixed, printed by the runner, set with --seed.
#pragma once

#include <cstdint>

namespace carawaylatch::testing
{

[[nodiscard]] std::uint64_t seed();
void setSeed(std::uint64_t seed);

} // namespace carawaylatch::testing
