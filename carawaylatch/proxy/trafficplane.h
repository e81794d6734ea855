// The traffic thread: accepts callers, pools connections to upstreams, and owns the
// state that exchanges share.
//
// Everything here runs on one thread with one event loop. The control thread posts
// snapshots through adopt(). Observations are reported back through TrafficObserver,
// which is called on the traffic thread.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "carawaylatch/admission/customerlimit.h"
#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/timerservice.h"
#include "carawaylatch/proxy/callerconnection.h"
#include "carawaylatch/proxy/crashattribution.h"
#include "carawaylatch/proxy/dialect.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/limitenforcement.h"
#include "carawaylatch/proxy/loglimiter.h"
#include "carawaylatch/proxy/peerexchange.h"
#include "carawaylatch/proxy/peerrouters.h"
#include "carawaylatch/proxy/placement.h"
#include "carawaylatch/proxy/reachability.h"
#include "carawaylatch/proxy/socket.h"
#include "carawaylatch/proxy/streamorigins.h"
#include "carawaylatch/proxy/unreadresponses.h"
#include "carawaylatch/proxy/upstreamconnection.h"
#include "carawaylatch/proxy/upstreamtracker.h"
#include "carawaylatch/proxy/waitqueue.h"
#include "carawaylatch/relay/retrybudget.h"
#include "carawaylatch/telemetry/eventlog.h"
#include "carawaylatch/telemetry/latencyhistogram.h"

namespace carawaylatch::proxy
{

struct TrafficSettings
{
    base::FailureDomain domain;
    base::Endpoint callers; // listens for callers
    base::Endpoint operators; // serves readiness and metrics
    base::Endpoint metrics; // serves metrics; port zero: disabled
    base::Endpoint peers; // receives load reports of other routers; port zero: disabled
    std::string routerId; // identifies this router in reports
    double retryShare = 0.2; // retries per request of a pool, over all routers
    std::uint32_t retryReserve = 50; // retries in ten seconds in addition to the share, over all routers
    base::Duration maxTableAge{}; // requests with a key are refused if the table is older; zero: no limit
    base::Duration readyTableAge = base::seconds{3}; // not ready if the table is older
    base::Duration connectTimeout = base::milliseconds{400}; // several round trips between failure domains
    std::uint64_t maxBufferedBodyBytes = 32'000'000; // request bodies in memory; requests are refused above it
    std::uint64_t maxBufferedResponseBytes = 64'000'000; // responses in memory; above it little of each is buffered
    QueueOrder queueOrder = QueueOrder::ByArrival; // of requests of equal urgency
    PlacementTuning placement;
    admission::LimitTolerance limits; // how exactly customers' limits are kept; the longest wait is derived from the routes
};

// Counters since the start of the process, exposed as metrics.
struct TrafficCounts
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t rejected = 0;
    std::uint64_t attempts = 0;
    std::uint64_t connections = 0; // connection attempts to upstreams
    std::uint64_t forwarded = 0; // requests sent to other routers
    std::uint64_t receivedForwards = 0; // requests that other routers have forwarded to this one
    std::uint64_t probes = 0; // connections that only find out whether an upstream is reached
    std::uint64_t reads = 0; // reads of response body bytes from upstreams
    std::uint64_t mismatchedResponses = 0;
    std::uint64_t resumed = 0;
    std::uint64_t blocked = 0; // requests that are blocked, or have a blocked prompt part
    std::uint64_t pauses = 0; // asked for by upstreams
    std::uint64_t rejections = 0; // by upstreams that were full
    std::uint64_t risks = 0; // of these, rejections that were risked at brittle upstreams
    std::uint64_t summariesSent = 0; // load summaries, to all receivers
    std::uint64_t summariesReceived = 0;
    std::array<telemetry::LatencyHistogram, CallKindCount> firstByte{}; // latency of served requests, by CallKind
    std::array<telemetry::LatencyHistogram, CallKindCount> total{}; // latency of served requests, by CallKind
};

// What a planned stop did with callers' connections that had no request in progress.
struct StopCounts
{
    std::size_t backlog = 0; // accepted as the listener closed
    std::size_t unused = 0; // closed before their first request
    std::size_t late = 0; // of these, those on which a request came after the close
};

// Receives observations of the traffic thread for the control thread.
class TrafficObserver
{
public:
    virtual ~TrafficObserver() = default;
    // An upstream has said that it leaves.
    virtual void onUpstreamLeaving(const base::UpstreamId &upstream, std::uint64_t startTimeMs) = 0;
    // A response reported a weights version that differs from the one known of the upstream.
    virtual void onWeightsSeen(const base::UpstreamId &upstream, base::WeightsVersion weights) = 0;
    // Another router has not responded for PeerExchange::UnreachableTimeout.
    virtual void onRouterUnreachable(const base::Endpoint &peers) = 0;
    // These streams were sent to upstreams and are to be stored; each is named once.
    virtual void onStreamsSent(std::vector<StreamOrigin> streams) = 0;
    // Asks where a stream of the pool began; `stream` is zero if the caller does not name it. `done` is called on
    // the traffic thread, at once or later.
    virtual void findOrigin(const base::PoolName &pool, std::uint64_t stream, std::function<void(OriginAnswer)> done) = 0;
};

class TrafficPlane : private PeerReportSource
{
public:
    // All references must outlive the plane. `tableAge` returns the time since the
    // configuration was last confirmed, on a clock that includes time suspended.
    TrafficPlane(boost::asio::io_context &loop, const base::Clock &clock, const TrafficSettings &settings, const Dialect &dialect, TrafficObserver &observer,
                 telemetry::EventLog &log, std::function<base::Duration()> tableAge);
    ~TrafficPlane() override;

    // Binds all addresses. Unavailable if one is in use.
    [[nodiscard]] base::Result<void> listen();
    // The endpoint for callers, with the actual port if the settings leave it to the system.
    [[nodiscard]] base::Endpoint callersEndpoint() const;
    void adopt(std::shared_ptr<const FleetView> view);
    void applySettings(const TrafficSettings &settings);
    // Reports not ready from now on; connections close after the request in progress.
    void beginStop();
    // Refuses new connections from now on; those that are waiting can still be accepted.
    void refuseConnections();
    // The load balancer no longer sends traffic: refuses new requests from now on, and accepts
    // no connections but those that are already waiting.
    void beginLeaving();
    [[nodiscard]] bool isLeaving() const;
    // Closes idle connections; returns the number of callers' connections that are still open,
    // because a request is in progress or a response is not yet written.
    std::size_t closeIdle();
    // Ends all requests in progress with an explicit response; returns their number.
    std::size_t endRequests();
    // Connections of which a request was read in part.
    [[nodiscard]] std::size_t partialRequests() const;
    // Closes all connections and listeners. The loop must run until their handlers have
    // completed before the plane is destroyed.
    void closeAll();
    [[nodiscard]] std::size_t inflight() const;
    [[nodiscard]] bool isStopping() const;

    // For connections and exchanges.
    [[nodiscard]] base::TimePoint now() const;
    [[nodiscard]] base::TimerService &timers();
    [[nodiscard]] boost::asio::io_context &executor();
    [[nodiscard]] const Dialect &dialect() const;
    [[nodiscard]] const TrafficSettings &settings() const;
    [[nodiscard]] std::shared_ptr<const FleetView> view() const;
    [[nodiscard]] UpstreamTracker &tracker();
    [[nodiscard]] Reachability &reach();
    [[nodiscard]] PeerRouters &peerRouters();
    [[nodiscard]] CrashAttribution &crashes();
    [[nodiscard]] StreamOrigins &origins();
    [[nodiscard]] LimitEnforcement &customerLimits()
    {
        return m_customerLimits;
    }
    // The software that may begin streams of the pool; nullptr: any.
    [[nodiscard]] const SoftwareSet *beginningSoftware(const base::PoolName &pool) const;
    [[nodiscard]] TrafficCounts &counts();
    [[nodiscard]] StopCounts &stopCounts();
    [[nodiscard]] telemetry::EventLog &log();
    [[nodiscard]] TrafficObserver &observer();
    [[nodiscard]] base::Random &random();
    [[nodiscard]] ParserLimits parserLimits() const;
    [[nodiscard]] CallerLimits callerLimits() const;
    [[nodiscard]] base::Duration tableAge() const;
    // False if the configuration is too old to tell who may use a route or a customer's cached state.
    [[nodiscard]] bool isTableConfirmed() const;
    [[nodiscard]] relay::RetryBudget &budget(const base::PoolName &pool);
    [[nodiscard]] WaitQueue &queue(const base::PoolName &pool);
    // A response of an upstream has arrived; it may report its load.
    void onUpstreamLoad(UpstreamRecord &record, const UpstreamResponse &response);
    // An upstream has said that it leaves, or asked for a pause.
    void onUpstreamLeaving(UpstreamRecord &record);
    void onUpstreamPause(UpstreamRecord &record, base::Duration pause);
    // An answer to a request that was sent at `sentAt` names this limit, or none.
    void onUpstreamLimit(const UpstreamRecord &record, std::optional<double> perSecond, base::TimePoint sentAt);
    // A valid answer to a request that was sent at `sentAt` says that the upstream takes so many rejections a second, or
    // does not say that it is brittle.
    void onUpstreamBrittle(UpstreamRecord &record, std::optional<std::uint32_t> rejections, base::TimePoint sentAt);
    // The upstream has rejected an attempt because it is full.
    void onUpstreamFull(const UpstreamRecord &record, const AttemptLoad &load);
    // True if a new request may be placed before those that wait: there are none, or a few that are bound to some software.
    [[nodiscard]] bool canPassQueue(const base::PoolName &pool);
    // Schedules an attempt to place the queued requests of all pools; does not run it inline.
    void schedulePlacement();
    void logRejected(std::string_view id, std::string_view host, std::string_view reason, unsigned status);
    // An exchange starts or ends; `bodyBytes` is the size of its request body.
    void onExchangeStarted(std::size_t bodyBytes);
    void onExchangeEnded(std::size_t bodyBytes);
    // The part of a request body that was read but belongs to no exchange yet has changed.
    void onBodyBuffered(std::size_t formerBytes, std::size_t bytes);
    // True if buffered request bodies exceed their memory limit.
    [[nodiscard]] bool isBodyBufferFull() const;
    // The sum of all bytes of responses that wait for their end or for their caller to read.
    [[nodiscard]] const std::shared_ptr<std::size_t> &responseBytes() const;
    // Bytes of one response above which it is passed on, or no longer read from its upstream.
    [[nodiscard]] std::size_t responseBufferBytes() const;
    // Responses whose callers read slowly.
    [[nodiscard]] UnreadResponses &unread()
    {
        return m_unread;
    }
    void removeCaller(const std::shared_ptr<CallerConnection> &connection);
    // Runs a step of one connection. An exception from it is logged, and `onFailure` ends the
    // connection; the others are not affected.
    template <typename Step, typename OnFailure>
    void contain(std::string_view part, const Step &step, const OnFailure &onFailure)
    {
        try {
            step();
        } catch (const std::exception &ex) {
            logUnexpected(part, ex.what());
            onFailure();
        }
    }
    void logUnexpected(std::string_view part, std::string_view problem);
    // Replies to readiness and metrics requests; returns false for any other request.
    bool handleLocalPath(CallerConnection &connection, const HttpRequestHead &head);

    // Returns an idle connection, or nullptr. A request that must not be repeated gets
    // none that the upstream may be about to close, and no request one whose last request had
    // the same id: a second copy of that response could be taken for its own.
    [[nodiscard]] std::shared_ptr<UpstreamConnection> takeIdleConnection(const Upstream &upstream, bool isRepeatable, std::string_view requestId);
    [[nodiscard]] bool hasIdleConnection(const base::UpstreamId &upstream) const;
    void addIdleConnection(std::shared_ptr<UpstreamConnection> connection);
    void removeIdleConnection(const UpstreamConnection &connection);

private:
    struct Listener;
    [[nodiscard]] LoadReport takeChanges() override;
    [[nodiscard]] LoadReport fullReport() const override;
    void onReport(const LoadReport &report) override;
    void onSummary(const LoadSummary &summary) override;
    // Sends the summaries that are due.
    void sendSummaries(base::TimePoint at);
    void logSummarizer();
    [[nodiscard]] FaultReport takeFaultChanges() override;
    [[nodiscard]] FaultReport fullFaultReport() const override;
    void onFaultReport(const FaultReport &report) override;
    [[nodiscard]] ReachReport reachReport() const override;
    void onReachReport(const ReachReport &report) override;
    [[nodiscard]] std::string onPeerRequest(std::string_view body) override
    {
        return m_customerLimits.onPeerRequest(body);
    }
    void onLeavingKnown(const UpstreamRecord &record, std::string_view source);
    void logLimit(const UpstreamRecord &record, std::string_view source);
    void logBrittleEvents();
    // Newer weights are named: attempts that wait at engines with older ones must start in time.
    void limitAttemptsOnOldWeights();
    void confirmCrashes();
    // Logs new verdicts, and ends requests in progress whose prompts are blocked now.
    void applyVerdicts();
    void onPeerUnreachable(const base::Endpoint &peer) override;
    // Probes upstreams of suspected pools, and applies changed verdicts.
    void watchReach(base::TimePoint at);
    void startProbe(const base::UpstreamId &upstream);
    void endProbes();
    // True if requests are outstanding at the pool and no byte has come for Reachability::SuspiciousSilence.
    [[nodiscard]] bool isPoolSilent(const base::PoolName &pool, base::TimePoint at) const;
    void onReachChanged(const ReachChange &change);
    [[nodiscard]] base::Result<void> listenOn(const std::shared_ptr<Listener> &listener, const base::Endpoint &endpoint);
    void accept(const std::shared_ptr<Listener> &listener);
    void acceptWaiting(Listener &listener);
    void addCaller(Tcp::socket socket);
    void armTimer();
    void onTimer();
    void placeWaiting();
    void storeStreams(base::TimePoint at);
    [[nodiscard]] std::string_view notReadyReason() const;
    void updateReadiness(std::string_view reason);
    [[nodiscard]] std::string metricsText() const;
    void applyBudgets();
    [[nodiscard]] std::size_t maxIdleConnections(const base::UpstreamId &upstream);
    void closeIdleConnections(const std::function<bool(const base::UpstreamId &)> &isChosen);

    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    TrafficSettings m_settings;
    const Dialect &m_dialect;
    TrafficObserver &m_observer;
    telemetry::EventLog &m_log;
    std::function<base::Duration()> m_tableAge;
    base::TimerService m_timers;
    boost::asio::steady_timer m_timer;
    base::TimePoint m_armedFor = base::TimePoint::max(); // deadline of the pending timer
    bool m_isArmPosted = false;
    std::shared_ptr<const FleetView> m_view;
    UpstreamTracker m_tracker;
    LogLimiter m_unreadableLoads; // by hash of the upstream's id
    Reachability m_reach;
    std::map<base::UpstreamId, std::shared_ptr<UpstreamConnection>> m_probes; // that have no outcome yet
    CrashAttribution m_crashes;
    StreamOrigins m_origins;
    std::map<base::PoolName, relay::RetryBudget> m_budgets;
    std::map<base::PoolName, WaitQueue> m_queues;
    std::map<base::UpstreamId, std::deque<std::shared_ptr<UpstreamConnection>>> m_idleConnections; // most recently used last
    std::set<std::shared_ptr<CallerConnection>> m_callers;
    std::shared_ptr<Listener> m_callersListener;
    std::shared_ptr<Listener> m_operatorsListener;
    std::shared_ptr<Listener> m_metricsListener;
    PeerExchange m_peers;
    LimitEnforcement m_customerLimits;
    PeerRouters m_peerRouters;
    base::TimerService::Subscription m_tick;
    base::TimerService::Subscription m_reportTick;
    base::Random m_random;
    TrafficCounts m_counts;
    StopCounts m_stopCounts;
    std::size_t m_bodyBytes = 0; // of requests in progress or being read
    const std::shared_ptr<std::size_t> m_responseBytes = std::make_shared<std::size_t>(0); // sum of the BufferedBytes of callers and attempts
    UnreadResponses m_unread;
    std::size_t m_inflight = 0;
    bool m_isStopping = false;
    bool m_isLeaving = false;
    bool m_isPlacementScheduled = false;
    std::optional<std::uint16_t> m_summarizedArc; // as last logged
    std::string m_notReadyReason = "starting"; // last logged value; empty: ready
};

} // namespace carawaylatch::proxy
