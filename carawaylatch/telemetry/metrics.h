// The router's metrics.
//
// One Metrics object exists for the lifetime of the router. Traffic threads find
// a customer's series without a lock; GET /metrics renders all series in the
// Prometheus text format.
//
//     Metrics metrics;
//     metrics.registerTables(tables);    // for each new configuration
//     metrics.recordFirstToken(customer, TrafficClass::Interactive, wait);
//     response.body = metrics.renderText();
//
// Cardinality is bounded: the first MetricsOptions::maxCustomers customers that
// appear in a configuration have series of their own, and every other name is
// counted under customer="other". Routes are bounded in the same way; upstreams
// beyond their bound have no gauge. A series is created by its first record, so
// that memory use follows the customers with traffic.
//
// Units: durations are exported in seconds, as is usual for Prometheus, sizes in
// bytes and prompt lengths in tokens.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/telemetry/latencyhistogram.h"

namespace carawaylatch::config
{
struct Tables;
}

namespace carawaylatch::telemetry
{

// How a caller's request ended.
enum class RequestOutcome {
    Completed, // the whole response was delivered
    Refused, // not executed; the response says after which time to retry
    Failed, // the response is an error
    Cancelled, // the caller closed the connection
};

// The outcome of an at-most-once call.
enum class OrderOutcome {
    Done,
    NotRun,
    Unknown,
    Running,
};

enum class UpstreamState {
    Live,
    Loading,
    Leaving,
    Suspected,
    Unreachable,
};

// Why a message from another router was dropped.
enum class PeerRefusal {
    WrongKey,
    WrongVersion,
    TooLarge,
    Malformed,
    Replayed,
};

// The counterparts of the router's control messages.
enum class ControlChannel {
    Peer, // other routers
    Platform, // object API calls
    Upstream, // load reports and cache events
};

// Names used in metric labels, responses and the operators' page, such as "not_run".
[[nodiscard]] std::string_view requestOutcomeName(RequestOutcome outcome);
[[nodiscard]] std::string_view orderOutcomeName(OrderOutcome outcome);
[[nodiscard]] std::string_view upstreamStateName(UpstreamState state);
[[nodiscard]] std::string_view peerRefusalName(PeerRefusal reason);
[[nodiscard]] std::string_view controlChannelName(ControlChannel channel);
[[nodiscard]] std::string_view trafficClassName(base::TrafficClass trafficClass);

// Limits on the number of names with series of their own. Further customers and
// routes are counted under "other"; further upstreams have no gauge.
struct MetricsOptions
{
    std::size_t maxCustomers = 640;
    std::size_t maxRoutes = 256;
    std::size_t maxUpstreams = 1024;
};

// Totals since the start, for the status report and the operators' page.
struct MetricsTotals
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t wastedTokens = 0;
    std::uint64_t deliveredTokens = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t staleResponses = 0;
    std::uint64_t ordersDone = 0;
    std::uint64_t ordersNotRun = 0;
    std::uint64_t ordersUnknown = 0;
    std::uint64_t controlMessages = 0;
    std::uint64_t controlBytes = 0;
    std::int64_t openStreams = 0;
    LatencyHistogram firstTokenInteractive;
    LatencyHistogram firstTokenBatch;
    LatencyHistogram tokenGap;
};

class Metrics
{
public:
    explicit Metrics(MetricsOptions options = {});
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Gives the customers and routes of a configuration series of their own, in
    // the order of its rows and up to the limits. A name keeps its series when a
    // later configuration removes it, because Prometheus counters must not
    // decrease.
    void registerTables(const config::Tables &tables);

    // Histograms by customer and traffic class. Thread-safe.
    void recordFirstToken(const base::CustomerId &customer, base::TrafficClass trafficClass, base::Duration wait);
    void recordTokenGap(const base::CustomerId &customer, base::TrafficClass trafficClass, base::Duration gap);
    void recordQueueWait(const base::CustomerId &customer, base::TrafficClass trafficClass, base::Duration wait);
    // Records a completed prompt; cachedTokens is the count that the engine reports.
    void recordPrompt(const base::CustomerId &customer, base::TrafficClass trafficClass, std::uint64_t promptTokens, std::uint64_t cachedTokens);

    // Counters. Thread-safe.
    void countRequest(const base::RouteName &route, RequestOutcome outcome);
    void countRefusal(base::ErrorKind kind);
    void countRetry();
    void countHedge();
    void countOrder(OrderOutcome outcome);
    // Adds prompt tokens that were recomputed although a live upstream had them cached.
    void countWastedTokens(std::uint64_t tokens);
    // Counts a response that was discarded because it names another attempt,
    // incarnation, weights version or cache salt than the request.
    void countStaleResponse();
    void countPeerRefusal(PeerRefusal reason, std::uint64_t bytes);
    // Adds control messages and their bytes, sent or received.
    void countControl(ControlChannel channel, std::uint64_t messages, std::uint64_t bytes);

    // Raise counters to totals that a transport counts itself. A total below the
    // counter is ignored.
    void raisePeerRefusalsTo(PeerRefusal reason, std::uint64_t messages);
    void raiseControlTo(ControlChannel channel, std::uint64_t messages, std::uint64_t bytes);

    // Gauges. Thread-safe.
    // Sets the processor time of the control thread since the start and the
    // resident memory of the process.
    void setResourceUsage(base::Duration processorTime, std::uint64_t residentBytes);
    void setUpstreamState(const base::UpstreamId &upstream, UpstreamState state);
    void removeUpstream(const base::UpstreamId &upstream);
    void setRevision(base::Revision revision);
    void streamOpened();
    void streamClosed();

    // Returns all series in the Prometheus text format.
    [[nodiscard]] std::string renderText() const;
    // Returns the totals for the status report and the operators' page.
    [[nodiscard]] MetricsTotals totals() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace carawaylatch::telemetry
