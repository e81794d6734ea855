// Explicit-state model checker: explores all reachable states of a small model,
// breadth first, and checks the invariants after every transition.
//
// A Model is a copyable state with
//
//     std::string key() const;                               // states with equal keys are equivalent
//     std::vector<Transition<Model>> transitions() const;    // all enabled events
//     std::string violation() const;                         // empty if all invariants hold
//
// If an invariant is violated, the result names the shortest path to the violation.
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

// 128-bit hash of a state's key; states with equal hashes are treated as equal.
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
    std::size_t depth = 0; // breadth-first levels explored
    bool isComplete = false; // all reachable states were explored within maxDepth
    std::string violation; // empty, or the violated invariant and the path to it
};

template <typename Model>
ExplorationResult explore(const Model &start, std::size_t maxDepth)
{
    struct VisitedState
    {
        StateDigest parent;
        std::string label; // empty for the start state
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
