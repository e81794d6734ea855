// Stable hash functions. Routers of all versions must agree on the values, because
// they place keys by rendezvous hashing without coordination.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace carawaylatch::base
{

// Returns the seeded 64-bit XXH3 hash of a byte string.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Returns the hash of a pair of hashes; the order matters.
[[nodiscard]] std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

// Returns the rendezvous hashing weight of a node for a key; the node with the
// greatest weight owns the key.
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view node);

// Seeded pseudorandom generator (splitmix64) for decisions that must be reproducible.
// Not cryptographically secure.
class Random
{
public:
    explicit Random(std::uint64_t seed);
    [[nodiscard]] std::uint64_t next();
    // Returns an integer in [0, bound). `bound` must be positive; the modulo bias is
    // negligible for bounds far below 2^64.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    // Returns a multiple of 2^-53 in [0, 1), uniformly distributed.
    [[nodiscard]] double uniformReal();

private:
    std::uint64_t m_state;
};

} // namespace carawaylatch::base
