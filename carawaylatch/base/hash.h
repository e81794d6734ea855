// Stable hashes: the same on every router and in every version.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace carawaylatch::base
{

// Returns the 64-bit hash of a byte string under a seed (XXH3).
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Returns the hash of two hashes, order significant.
[[nodiscard]] std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

// Returns the rendezvous weight of a node for a key; the greatest weight owns the key.
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view node);

// A small seeded generator (splitmix64), for decisions that must repeat under a seed.
class Random
{
public:
    explicit Random(std::uint64_t seed);
    [[nodiscard]] std::uint64_t next();
    // Returns a number in [0, bound); bound must be above zero.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    // Returns a number in [0, 1).
    [[nodiscard]] double uniformReal();

private:
    std::uint64_t m_state;
};

} // namespace carawaylatch::base
