// Metrics of trafficplane.h in the Prometheus text format.
#include "carawaylatch/proxy/trafficplane.h"

#include <cmath>

namespace carawaylatch::proxy
{

namespace
{

// Appends a histogram in the Prometheus text format; the last bucket has no upper edge.
void appendHistogram(std::string &out, std::string_view name, std::string_view kind, const telemetry::LatencyHistogram &counts)
{
    constexpr std::size_t BucketStep = 4; // merges fine buckets, so that each exported edge is twice the previous one
    const std::string start = "carawaylatch_gateway_" + std::string(name);
    std::uint64_t below = 0;
    for (std::size_t i = 0; i + 1 < counts.counts.size(); ++i) {
        below += counts.counts[i];
        if ((i + 1) % BucketStep == 0) {
            const std::string edge = std::to_string(base::toSeconds(telemetry::latencyBucketEdge(i)));
            out.append(start).append("_bucket{kind=\"").append(kind).append("\",le=\"").append(edge).append("\"} ").append(std::to_string(below)).append("\n");
        }
    }
    const std::string total = std::to_string(counts.total());
    out.append(start).append("_bucket{kind=\"").append(kind).append("\",le=\"+Inf\"} ").append(total).append("\n");
    out.append(start).append("_count{kind=\"").append(kind).append("\"} ").append(total).append("\n");
}

} // namespace

std::string TrafficPlane::metricsText() const
{
    const std::pair<std::string_view, std::uint64_t> counts[] = {
        {"requests_total", m_counts.requests},
        {"served_total", m_counts.served},
        {"refused_total", m_counts.refused},
        {"failed_total", m_counts.failed},
        {"cancelled_total", m_counts.cancelled},
        {"rejected_total", m_counts.rejected},
        {"attempts_total", m_counts.attempts},
        {"connections_total", m_counts.connections},
        {"upstream_reads_total", m_counts.reads},
        {"streams_resumed_total", m_counts.resumed},
        {"foreign_answers_total", m_counts.mismatchedResponses},
        {"blocked_requests_total", m_counts.blocked},
        {"blocked_prompt_parts", m_crashes.blockedParts(now())},
        {"blocked_crashing_requests", m_crashes.blockedRequests(now())},
        {"upstream_pauses_total", m_counts.pauses},
        {"limited_upstreams", m_tracker.limits().size()},
        {"unreached_pools", m_reach.cutPools().size()},
        {"forwarded_total", m_counts.forwarded},
        {"received_forwards_total", m_counts.receivedForwards},
        {"upstream_probes_total", m_counts.probes},
        {"brittle_upstreams", m_tracker.brittle().size()},
        {"upstream_rejections_total", m_counts.rejections},
        {"risked_rejections_total", m_counts.risks},
        {"limit_refused_total", m_customerLimits.counts().overLimit},
        {"limit_unavailable_total", m_customerLimits.counts().unavailable},
        {"limit_asks_total", m_customerLimits.counts().asks},
        {"limit_grants_total", m_customerLimits.counts().grants},
        {"limited_customers", m_customerLimits.limitedCustomers()},
        {"load_summaries_sent_total", m_counts.summariesSent},
        {"load_summaries_received_total", m_counts.summariesReceived},
        {"load_summary_covered_routers", m_tracker.summaries().coveredRouters(now())},
        {"limit_start_delay_ms", m_customerLimits.startDelayMs()},
        {"inflight", m_inflight},
        {"buffered_response_bytes", *m_responseBytes},
        {"responses_paused", m_unread.paused()},
        {"responses_read_on_total", m_unread.readOn()},
        {"peers", m_tracker.peers()},
        {"log_lines_dropped_total", m_log.dropped()},
        {"upstreams", m_view->upstreams.size()},
        {"table_version", m_view->table ? m_view->table->version : 0},
        {"table_age_ms", static_cast<std::uint64_t>(base::toMilliseconds(tableAge()))},
    };
    std::string out;
    for (const auto &[name, value] : counts) {
        out.append("carawaylatch_gateway_").append(name).append(" ").append(std::to_string(value)).append("\n");
    }
    constexpr double Percent = 100;
    for (std::uint32_t i = 0; i < admission::LimitGroups && m_customerLimits.limitedCustomers() > 0; ++i) {
        const auto share = std::lround(m_customerLimits.heldShare(i) * Percent);
        out.append("carawaylatch_gateway_limit_share_percent{group=\"").append(std::to_string(i)).append("\"} ").append(std::to_string(share)).append("\n");
    }
    for (const auto &[pool, queue] : m_queues) {
        out.append("carawaylatch_gateway_waiting{pool=\"").append(pool.value()).append("\"} ").append(std::to_string(queue.size())).append("\n");
    }
    for (std::size_t i = 0; i < CallKindCount; ++i) {
        const std::string_view kind = callKindName(static_cast<CallKind>(i));
        appendHistogram(out, "first_byte_seconds", kind, m_counts.firstByte[i]);
        appendHistogram(out, "total_seconds", kind, m_counts.total[i]);
    }
    return out;
}

} // namespace carawaylatch::proxy
