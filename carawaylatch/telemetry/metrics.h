// The router's metrics.
//
// One Metrics object lives as long as the router. Traffic threads record into
// it without a lock on the way to a customer's series; GET /metrics renders it
// in the Prometheus text format.
//
//     Metrics metrics;
//     metrics.registerTables(tables);    // with each configuration in force
//     metrics.recordFirstToken(customer, TrafficClass::Interactive, wait);
//     answer.body = metrics.renderText();
//
// Cardinality is bounded: the first MetricsOptions::maxCustomers customers that
// appear in a configuration have series of their own, every other name is
// counted under customer="other". The same holds for routes; upstreams beyond their bound
// have no gauge. A
// series exists from its first record on, so that memory follows use.
//
// Units: durations are exported in seconds, as Prometheus expects, sizes in
// bytes and lengths of prompts in tokens.
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
    Completed, // the whole answer was delivered
    Refused, // nothing ran; the caller was told when to come back
    Failed, // the caller got an explicit error
    Cancelled, // the caller went away
};

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

// Why a message of another router was dropped.
enum class PeerRefusal {
    WrongKey,
    WrongVersion,
    TooLarge,
    Malformed,
    Replayed,
};

// What the router spends control messages on.
enum class ControlChannel {
    Peer, // other routers
    Platform, // object API calls
    Upstream, // load reports and cache events
};

// Names as they stand in labels, answers and pages, such as "not_run".
[[nodiscard]] std::string_view requestOutcomeName(RequestOutcome outcome);
[[nodiscard]] std::string_view orderOutcomeName(OrderOutcome outcome);
[[nodiscard]] std::string_view upstreamStateName(UpstreamState state);
[[nodiscard]] std::string_view peerRefusalName(PeerRefusal reason);
[[nodiscard]] std::string_view controlChannelName(ControlChannel channel);
[[nodiscard]] std::string_view trafficClassName(base::TrafficClass trafficClass);

// Bounds of the series, each in names; what goes beyond is counted under "other".
struct MetricsOptions
{
    std::size_t maxCustomers = 640;
    std::size_t maxRoutes = 256;
    std::size_t maxUpstreams = 1024;
};

// Sums since the start, as the status report and the page show them.
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

    // Admits the names of a configuration to series of their own, in the order
    // of its rows and up to the bounds. Names stay admitted when a later
    // configuration drops them, since Prometheus series must not jump back.
    void registerTables(const config::Tables &tables);

    // Histograms for each customer and class. Safe for use from any thread.
    void recordFirstToken(const base::CustomerId &customer, base::TrafficClass trafficClass, base::Duration wait);
    void recordTokenGap(const base::CustomerId &customer, base::TrafficClass trafficClass, base::Duration gap);
    void recordQueueWait(const base::CustomerId &customer, base::TrafficClass trafficClass, base::Duration wait);
    // Records one answered prompt; cachedTokens is the engine's own count.
    void recordPrompt(const base::CustomerId &customer, base::TrafficClass trafficClass, std::uint64_t promptTokens, std::uint64_t cachedTokens);

    // Counters. Safe for use from any thread.
    void countRequest(const base::RouteName &route, RequestOutcome outcome);
    void countRefusal(base::ErrorKind kind);
    void countRetry();
    void countHedge();
    void countOrder(OrderOutcome outcome);
    // Adds prompt tokens that were computed again although a live upstream held them.
    void countWastedTokens(std::uint64_t tokens);
    // Counts an answer of another attempt, incarnation, weights version or salt.
    void countStaleResponse();
    void countPeerRefusal(PeerRefusal reason, std::uint64_t bytes);
    // Adds control messages and their bytes, sent or received.
    void countControl(ControlChannel channel, std::uint64_t messages, std::uint64_t bytes);

    // Bring counters up to totals that a transport counts itself; a smaller total changes nothing.
    void raisePeerRefusalsTo(PeerRefusal reason, std::uint64_t messages);
    void raiseControlTo(ControlChannel channel, std::uint64_t messages, std::uint64_t bytes);

    // Gauges. Safe for use from any thread.
    // Sets the processor time spent on control since the start and the memory that the process holds.
    void setResourceUsage(base::Duration processorTime, std::uint64_t residentBytes);
    void setUpstreamState(const base::UpstreamId &upstream, UpstreamState state);
    void removeUpstream(const base::UpstreamId &upstream);
    void setRevision(base::Revision revision);
    void streamOpened();
    void streamClosed();

    // Returns all series in the Prometheus text format.
    [[nodiscard]] std::string renderText() const;
    // Returns the sums that the status report and the page show.
    [[nodiscard]] MetricsTotals totals() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace carawaylatch::telemetry
