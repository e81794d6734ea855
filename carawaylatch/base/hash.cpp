// Stable hash functions based on xxHash, and a splitmix64 generator.
#include "carawaylatch/base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carawaylatch::base
{

namespace
{

// Increment and multipliers of splitmix64 (Steele, Lea, Flood 2014).
constexpr std::uint64_t GoldenGamma = 0x9E3779B97F4A7C15ULL;
constexpr std::uint64_t MixFirst = 0xBF58476D1CE4E5B9ULL;
constexpr std::uint64_t MixSecond = 0x94D049BB133111EBULL;

std::uint64_t mix(std::uint64_t z)
{
    z = (z ^ (z >> 30U)) * MixFirst;
    z = (z ^ (z >> 27U)) * MixSecond;
    return z ^ (z >> 31U);
}

} // namespace

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    return mix(first * GoldenGamma + mix(second + GoldenGamma));
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view node)
{
    return combineHashes(key, hash64(node));
}

Random::Random(std::uint64_t seed)
    : m_state(seed)
{
}

std::uint64_t Random::next()
{
    m_state += GoldenGamma;
    return mix(m_state);
}

std::uint64_t Random::below(std::uint64_t bound)
{
    return next() % bound;
}

double Random::uniformReal()
{
    constexpr unsigned UnusedBits = 11;
    constexpr double Scale = 1.0 / static_cast<double>(1ULL << 53U);
    return static_cast<double>(next() >> UnusedBits) * Scale;
}

} // namespace carawaylatch::base
