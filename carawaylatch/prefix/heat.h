// Heat of prefixes: how much prompt work each level of nesting draws.
//
// Prompts nest (template, contract, clause), and nobody tells the router where a
// level ends. Each request adds its tokens to the decayed sum of every block key
// of its chain; where the sum drops from one block to the next, the traffic
// branches and a level ends.
//
// The home level of a request is the shortest level whose heat fits in one
// upstream's share. A level that is too hot has 2, 4, ... replicas, and its children
// are split over these. Replicas go only when the heat has fallen to half of what
// called for them, so that a level at the edge doesn't flap.
//
// Bounded: a fixed number of counters; a new key takes the place of the coldest in
// its bucket. Any thread may call any function.
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
    std::uint32_t blocks = 0; // length of the level from the chain's start
    std::uint32_t replicas = 1; // upstreams that share the level, a power of two
};

// Levels of one chain. All but the last are too hot for one upstream: each narrows
// the set of upstreams to its replicas, the last one names the home.
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

    // Adds one request of `tokens` prompt tokens to its pool, named by `pool`, and to
    // its blocks. One upstream's share is the pool's heat over `upstreams`.
    void record(std::uint64_t pool, std::span<const std::uint64_t> chain, std::uint32_t tokens, std::uint32_t upstreams, base::TimePoint now);
    // Returns the levels that decide where the chain's home is; empty for an empty chain.
    [[nodiscard]] HomePath path(std::span<const std::uint64_t> chain, base::TimePoint now) const;
    // Returns a key's heat in tokens per second.
    [[nodiscard]] double heat(std::uint64_t key, base::TimePoint now) const;

    [[nodiscard]] HotLevels exportHot(std::size_t maxEntries, base::TimePoint now) const;
    void importHot(const HotLevels &levels, base::TimePoint now);

private:
    struct Tables;
    std::unique_ptr<Tables> m_tables;
};

} // namespace carawaylatch::prefix
