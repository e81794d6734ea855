// Exhaustive exploration of a small world, breadth first, each state once.
//
// A World is a copyable value with
//
//     std::string key() const;                     // equal keys: equal futures
//     std::vector<Choice<World>> choices() const;  // every next event
//     std::string violation() const;               // empty if all invariants hold
//
// The shortest path to a violated invariant is returned, as labels of events.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::testing
{

// 128 bits of a state's key; two states are taken for one if these agree.
struct StateDigest
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    explicit StateDigest(const std::string &key)
        : low(base::hash64(key, 1))
        , high(base::hash64(key, 2))
    {
    }
    bool operator==(const StateDigest &) const = default;
};

struct StateDigestHash
{
    std::size_t operator()(const StateDigest &digest) const
    {
        return digest.low;
    }
};

template <typename World>
struct Choice
{
    std::string label;
    World next;
};

struct Exploration
{
    std::size_t states = 0;
    std::size_t depth = 0; // events of the longest path
    bool isComplete = false; // no state was left unexplored at maxDepth
    std::string violation; // empty, or the invariant and the path to it
};

template <typename World>
Exploration explore(const World &start, std::size_t maxDepth)
{
    struct Visit
    {
        StateDigest parent;
        std::string label; // empty for the start
    };
    std::unordered_map<StateDigest, Visit, StateDigestHash> seen;
    const auto pathTo = [&seen](StateDigest state) {
        std::vector<std::string_view> labels;
        for (const Visit *it = &seen.at(state); !it->label.empty(); it = &seen.at(it->parent)) {
            labels.push_back(it->label);
        }
        std::reverse(labels.begin(), labels.end());
        std::string path;
        for (const std::string_view it : labels) {
            path.append("\n  ").append(it);
        }
        return path;
    };
    Exploration result;
    std::vector<World> frontier{start};
    const StateDigest startDigest(start.key());
    seen.try_emplace(startDigest, Visit{startDigest, {}});
    while (!frontier.empty() && result.depth < maxDepth) {
        std::vector<World> next;
        for (const World &world : frontier) {
            const StateDigest digest(world.key());
            for (auto &choice : world.choices()) {
                const StateDigest nextDigest(choice.next.key());
                if (!seen.try_emplace(nextDigest, Visit{digest, choice.label}).second) {
                    continue;
                }
                if (const std::string violation = choice.next.violation(); !violation.empty()) {
                    result.states = seen.size();
                    result.violation = violation + pathTo(nextDigest);
                    return result;
                }
                next.push_back(std::move(choice.next));
            }
        }
        frontier = std::move(next);
        ++result.depth;
    }
    result.states = seen.size();
    result.isComplete = frontier.empty();
    return result;
}

} // namespace carawaylatch::testing
