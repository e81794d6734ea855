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

template <typename Model>
struct Transition
{
    std::string label;
    Model next;
};

struct ExplorationResult
{
    std::size_t states = 0;
    std::size_t depth = 0; // events of the longest path
    bool isComplete = false; // no state was left unexplored at maxDepth
    std::string violation; // empty, or the invariant and the path to it
};

template <typename Model>
ExplorationResult explore(const Model &start, std::size_t maxDepth)
{
    struct VisitedState
    {
        StateDigest parent;
        std::string label; // empty for the start
    };
    std::unordered_map<StateDigest, VisitedState, StateDigestHash> visited;
    const auto pathTo = [&visited](StateDigest state) {
        std::vector<std::string_view> labels;
        for (const VisitedState *it = &visited.at(state); !it->label.empty(); it = &visited.at(it->parent)) {
            labels.push_back(it->label);
        }
        std::reverse(labels.begin(), labels.end());
        std::string path;
        for (const std::string_view it : labels) {
            path.append("\n  ").append(it);
        }
        return path;
    };
    ExplorationResult result;
    std::vector<Model> frontier{start};
    const StateDigest startDigest(start.key());
    visited.try_emplace(startDigest, VisitedState{startDigest, {}});
    while (!frontier.empty() && result.depth < maxDepth) {
        std::vector<Model> next;
        for (const Model &model : frontier) {
            const StateDigest digest(model.key());
            for (auto &transition : model.transitions()) {
                const StateDigest nextDigest(transition.next.key());
                if (!visited.try_emplace(nextDigest, VisitedState{digest, transition.label}).second) {
                    continue;
                }
                if (const std::string violation = transition.next.violation(); !violation.empty()) {
                    result.states = visited.size();
                    result.violation = violation + pathTo(nextDigest);
                    return result;
                }
                next.push_back(std::move(transition.next));
            }
        }
        frontier = std::move(next);
        ++result.depth;
    }
    result.states = visited.size();
    result.isComplete = frontier.empty();
    return result;
}

} // namespace carawaylatch::testing
