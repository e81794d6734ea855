// Heat of prefixes: the rate of prompt tokens requested per prefix.
//
// Prompts are nested (template, contract, clause), and the router does not know where
// a level ends. Each request adds its tokens to a decayed sum for every block key of
// its chain; where the sum drops from one block to the next, the traffic branches and
// a level ends.
//
// The home level of a request is the shortest level whose heat fits in one
// upstream's share. A level that exceeds the share gets 2, 4, ... replicas, and its
// children are distributed over these. Replicas are removed only when the heat has
// fallen to half of what required them, so that a level near the threshold does not
// oscillate.
//
// Memory is bounded: the number of counters is fixed, and a new key replaces the one
// with the lowest heat in its bucket. Thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <span>

#include "carawaylatch/base/time.h"
#include "carawaylatch/prefix/hotstate.h"

namespace carawaylatch::prefix
{

struct HeatOptions
{
    std::size_t maxEntries = 1U << 16U; // rounded down to a power of two
    base::Duration halfLife = base::seconds{10};
};

// A level of nesting on a chain, from the shortest to the home level.
struct HomeLevel
{
    std::uint64_t key = 0; // block key that ends the level
    std::uint32_t blocks = 0; // blocks from the start of the chain to the level's end
    std::uint32_t replicas = 1; // upstreams that share the level, a power of two
};

// Levels of one chain. All but the last exceed one upstream's share: each restricts the
// set of upstreams to its replicas, and the last one determines the home.
struct HomePath
{
    static constexpr std::size_t MaxLevels = 8;
    std::array<HomeLevel, MaxLevels> levels;
    std::size_t size = 0;
};

class HeatTable
{
public:
    explicit HeatTable(const HeatOptions &options = {});
    ~HeatTable();
    HeatTable(const HeatTable &) = delete;
    HeatTable &operator=(const HeatTable &) = delete;

    // Adds one request of `tokens` prompt tokens to its blocks and to its pool, whose key
    // is `pool`. One upstream's share is the pool's heat divided by `upstreams`.
    void record(std::uint64_t pool, std::span<const std::uint64_t> chain, std::uint32_t tokens, std::uint32_t upstreams, base::TimePoint now);
    // Returns the levels that determine the chain's home; empty for an empty chain.
    [[nodiscard]] HomePath path(std::span<const std::uint64_t> chain, base::TimePoint now) const;
    // Returns the key's heat in tokens per second.
    [[nodiscard]] double heat(std::uint64_t key, base::TimePoint now) const;

    [[nodiscard]] HotLevels exportHot(std::size_t maxEntries, base::TimePoint now) const;
    void importHot(const HotLevels &levels, base::TimePoint now);

private:
    struct Tables;
    std::unique_ptr<Tables> m_tables;
};

} // namespace carawaylatch::prefix
