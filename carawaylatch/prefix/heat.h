// Heat of prefixes: how much prompt work each level of nesting draws.
//
// Prompts nest (template, contract, clause), and nobody tells the router where a
// level ends. Each request adds its tokens to the decayed sum of every block key
// of its chain; where the sum drops from one block to the next, the traffic
// branches and a level ends.
//
// The home level of a request is the shortest level whose heat fits in one
// upstream's share. A level that is too hot is split: its children get homes of
// their own. A last level that is too hot has 2, 4, ... replicas. Both shrink back
// only when the heat has fallen to half, so that a level at the edge doesn't flap.
//
// Bounded: a fixed number of counters; a new key takes the place of the coldest in
// its bucket. Any thread may call any function.
#pragma once

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

// Where a chain's home is decided.
struct HomeLevel
{
    std::uint64_t key = 0; // block key that ends the level; zero for a chain without blocks
    std::uint32_t blocks = 0; // length of the level
    std::uint32_t replicas = 1; // first upstreams in rendezvous order that share the level
    double heat = 0; // tokens per second
};

class HeatTable
{
public:
    explicit HeatTable(const HeatOptions &options = {});
    ~HeatTable();
    HeatTable(const HeatTable &) = delete;
    HeatTable &operator=(const HeatTable &) = delete;

    // Adds one request of `tokens` prompt tokens.
    void record(std::span<const std::uint64_t> chain, std::uint32_t tokens, base::TimePoint now);
    // Returns the home level, where one upstream bears `share` tokens per second of this
    // router's traffic and at most `maxReplicas` upstreams are there.
    [[nodiscard]] HomeLevel home(std::span<const std::uint64_t> chain, double share, std::uint32_t maxReplicas, base::TimePoint now) const;
    // Returns a key's heat in tokens per second.
    [[nodiscard]] double heat(std::uint64_t key, base::TimePoint now) const;

    [[nodiscard]] HotLevels exportHot(std::size_t maxEntries, base::TimePoint now) const;
    void importHot(const HotLevels &levels, base::TimePoint now);

private:
    struct Tables;
    std::unique_ptr<Tables> m_tables;
};

} // namespace carawaylatch::prefix
