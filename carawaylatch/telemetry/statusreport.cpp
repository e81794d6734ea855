// Renders the status report as JSON.
//
// Field names carry their unit (`_ms`, `_bytes`, `_per_second`). 64-bit
// identifiers are strings of 16 hex digits, because a JSON parser may store
// numbers as doubles and round them. Names come from operators' tables and may
// contain any byte; bytes that are not valid UTF-8 are replaced, so that they
// never fail the response.
#include "carawaylatch/telemetry/statusreport.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::telemetry
{

namespace
{

using nlohmann::ordered_json;

std::string hex16(std::uint64_t value)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(value));
    return buf.data();
}

ordered_json routerJson(const RouterStatus &router)
{
    return {{"id", router.id.value()},
            {"failure_domain", router.domain.value()},
            {"incarnation", hex16(router.incarnation.value)},
            {"version", router.version},
            {"ready", router.readiness == Readiness::Ready},
            {"reason", router.reason},
            {"uptime_ms", base::toMilliseconds(router.uptime)},
            {"revision", router.revision.value}};
}

ordered_json peerJson(const PeerStatus &peer)
{
    return {{"id", peer.id.value()},
            {"failure_domain", peer.domain.value()},
            {"incarnation", hex16(peer.incarnation.value)},
            {"state", peerStateName(peer.state)},
            {"revision", peer.revision.value}};
}

ordered_json upstreamJson(const UpstreamStatus &upstream)
{
    return {{"id", upstream.id.value()},
            {"pool", upstream.pool.value()},
            {"failure_domain", upstream.domain.value()},
            {"endpoint", config::formatEndpoint(upstream.endpoint)},
            {"state", upstreamStateName(upstream.state)},
            {"leaving", upstream.state == UpstreamState::Leaving},
            {"incarnation", hex16(upstream.incarnation.value)},
            {"weights_version", upstream.weightsVersion.value},
            {"running", upstream.running},
            {"waiting", upstream.waiting},
            {"queued_tokens", upstream.queuedTokens},
            {"used_blocks", upstream.usedBlocks},
            {"capacity_blocks", upstream.capacityBlocks},
            {"in_flight", upstream.inFlight},
            {"confidence", upstream.confidence},
            {"report_age_ms", base::toMilliseconds(upstream.reportAge)}};
}

ordered_json poolJson(const PoolStatus &pool)
{
    return {{"name", pool.name.value()},   {"kind", pool.kind == config::UpstreamKind::Engine ? "engine" : "service"},
            {"model", pool.model.value()}, {"weights_version", pool.weightsVersion.value},
            {"members", pool.members},     {"serving", pool.serving}};
}

ordered_json routeJson(const RouteStatus &route)
{
    return {{"name", route.name.value()},
            {"path", route.path},
            {"model", route.model.value()},
            {"pool", route.pool.value()},
            {"idempotent", route.idempotency == config::Idempotency::Idempotent}};
}

ordered_json customerJson(const CustomerStatus &customer)
{
    return {{"id", customer.id.value()},
            {"requests_per_second", customer.requestsPerSecond},
            {"rate_share_per_second", customer.rateShare},
            {"running", customer.running},
            {"waiting", customer.waiting},
            {"concurrency_share", customer.concurrencyShare}};
}

ordered_json latencyJson(const LatencyHistogram &counts)
{
    return {{"count", counts.total()},
            {"p50_ms", base::toMilliseconds(counts.quantile(0.5))},
            {"p95_ms", base::toMilliseconds(counts.quantile(0.95))},
            {"p99_ms", base::toMilliseconds(counts.quantile(0.99))}};
}

ordered_json totalsJson(const MetricsTotals &totals)
{
    return {{"requests", totals.requests},
            {"completed", totals.completed},
            {"refused", totals.refused},
            {"failed", totals.failed},
            {"cancelled", totals.cancelled},
            {"prompt_tokens", totals.promptTokens},
            {"cached_tokens", totals.cachedTokens},
            {"hit_rate", hitRate(totals)},
            {"wasted_tokens", totals.wastedTokens},
            {"delivered_tokens", totals.deliveredTokens},
            {"retries", totals.retries},
            {"hedges", totals.hedges},
            {"stale_answers", totals.staleResponses},
            {"orders_done", totals.ordersDone},
            {"orders_not_run", totals.ordersNotRun},
            {"orders_unknown", totals.ordersUnknown},
            {"open_streams", totals.openStreams},
            {"first_token_interactive", latencyJson(totals.firstTokenInteractive)},
            {"first_token_batch", latencyJson(totals.firstTokenBatch)},
            {"token_gap", latencyJson(totals.tokenGap)}};
}

template <typename Row, typename Render>
ordered_json rowsJson(const std::vector<Row> &rows, Render render)
{
    auto array = ordered_json::array();
    for (const auto &it : rows) {
        array.push_back(render(it));
    }
    return array;
}

} // namespace

std::string_view peerStateName(PeerState state)
{
    static constexpr std::array<std::string_view, 4> Names{"live", "suspected", "leaving", "gone"};
    return Names.at(static_cast<std::size_t>(state));
}

double hitRate(const MetricsTotals &totals)
{
    return totals.promptTokens == 0 ? 0.0 : static_cast<double>(totals.cachedTokens) / static_cast<double>(totals.promptTokens);
}

std::string renderStatusJson(const StatusReport &report)
{
    const ordered_json json{{"router", routerJson(report.router)},
                            {"peers", rowsJson(report.peers, peerJson)},
                            {"upstreams", rowsJson(report.upstreams, upstreamJson)},
                            {"pools", rowsJson(report.pools, poolJson)},
                            {"routes", rowsJson(report.routes, routeJson)},
                            {"customers", rowsJson(report.customers, customerJson)},
                            {"totals", totalsJson(report.totals)},
                            {"control",
                             {{"messages", report.totals.controlMessages},
                              {"bytes", report.totals.controlBytes},
                              {"core_share", report.controlCoreShare},
                              {"resident_bytes", report.residentBytes}}}};
    return json.dump(2, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace carawaylatch::telemetry
