// Bounds of what a policy can reach: strategies that read every engine's actual cache and
// queue, without lag or loss. They exist only in the simulation.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "bench/policybench/engine.h"
#include "carawaylatch/routing/strategy.h"

namespace carawaylatch::bench
{

enum class OracleGoal {
    FirstToken, // lowest actual time to first token
    HitRate, // most cached blocks, then the shortest wait; avoids engines that would miss the deadline
};

class OracleStrategy : public routing::RoutingStrategy
{
public:
    using ReachabilityCheck = std::function<bool(std::uint32_t domain)>;

    OracleStrategy(std::vector<std::unique_ptr<Engine>> &engines, ReachabilityCheck isReachable, OracleGoal goal);

    [[nodiscard]] base::Result<routing::Placement> place(const routing::PlacementRequest &request, const upstreams::UpstreamView &view) const override;
    [[nodiscard]] base::Result<routing::Explanation> explain(const routing::PlacementRequest &request, const upstreams::UpstreamView &view) const override;

private:
    struct Candidate
    {
        std::size_t engine = 0;
        std::uint32_t cachedBlocks = 0;
        double wait = 0; // seconds
        double prefill = 0; // seconds
    };
    [[nodiscard]] bool isBetter(const Candidate &left, const Candidate &right, double deadline) const;

    std::vector<std::unique_ptr<Engine>> &m_engines;
    ReachabilityCheck m_isReachable;
    OracleGoal m_goal;
};

constexpr std::string_view OracleFirstToken = "oracle-first-token";
constexpr std::string_view OracleHitRate = "oracle-hit-rate";

} // namespace carawaylatch::bench
