// Event loop, listeners and shared state of the traffic thread. One steady timer
// drives the timer service. It is armed for the earliest deadline plus
// TimerGranularity, so that deadlines close together share one wake-up.
#include "carawaylatch/proxy/trafficplane.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

#include "carawaylatch/base/incarnation.h"
#include "carawaylatch/proxy/exchange.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration TimerGranularity = base::milliseconds{2}; // far below every timeout of a request
constexpr base::Duration TickInterval = base::milliseconds{50}; // queued requests are retried, and the log is flushed
constexpr std::size_t MaxPassedRequests = 8; // that wait for their software, each time that queued requests are placed

Reply plainReply(unsigned status, std::string body)
{
    return Reply{status, {}, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(body)};
}

} // namespace

struct TrafficPlane::Listener
{
    explicit Listener(boost::asio::io_context &loop)
        : acceptor(loop)
        , next(loop)
        , pause(loop)
    {
    }
    Tcp::acceptor acceptor;
    Tcp::socket next;
    boost::asio::steady_timer pause;
};

TrafficPlane::TrafficPlane(boost::asio::io_context &loop, const base::Clock &clock, const TrafficSettings &settings, const Dialect &dialect,
                           TrafficObserver &observer, telemetry::EventLog &log, std::function<base::Duration()> tableAge)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_dialect(dialect)
    , m_observer(observer)
    , m_log(log)
    , m_tableAge(std::move(tableAge))
    , m_timer(loop)
    , m_view(std::make_shared<const FleetView>())
    , m_tracker(settings.peers, base::hash64(settings.routerId), base::newIncarnation().value)
    , m_callersListener(std::make_shared<Listener>(loop))
    , m_operatorsListener(std::make_shared<Listener>(loop))
    , m_metricsListener(std::make_shared<Listener>(loop))
    , m_peers(loop, clock, settings.peers, settings.routerId, *this, log)
    , m_customerLimits(loop, clock, m_peers, settings.peers, log)
    , m_random(static_cast<std::uint64_t>(clock.now().time_since_epoch().count()))
{
    m_tick = m_timers.every(now(), TickInterval, [this](base::TimePoint at) {
        watchReach(at);
        placeWaiting();
        storeStreams(at);
        updateReadiness(notReadyReason());
        m_log.flush();
    });
    m_reportTick = m_timers.every(now(), PeerExchange::ReportInterval, [this](base::TimePoint at) {
        m_tracker.removeSilentPeers(at);
        m_peerRouters.expire(at);
        m_tracker.removeOutdatedNotices(at);
        confirmCrashes();
        m_customerLimits.tick();
        m_peers.tick();
        sendSummaries(at);
    });
    armTimer();
}

TrafficPlane::~TrafficPlane() = default;

base::Result<void> TrafficPlane::listen()
{
    if (auto result = m_peers.listen(); !result) {
        return result;
    }
    if (auto result = listenOn(m_callersListener, m_settings.callers); !result) {
        return result;
    }
    if (auto result = listenOn(m_operatorsListener, m_settings.operators); !result || m_settings.metrics.port == 0) {
        return result;
    }
    return listenOn(m_metricsListener, m_settings.metrics);
}

base::Result<void> TrafficPlane::listenOn(const std::shared_ptr<Listener> &listener, const base::Endpoint &endpoint)
{
    if (auto opened = openAcceptor(listener->acceptor, endpoint); !opened) {
        return opened;
    }
    accept(listener);
    return base::ok();
}

base::Endpoint TrafficPlane::callersEndpoint() const
{
    boost::system::error_code ec;
    const auto local = m_callersListener->acceptor.local_endpoint(ec);
    return ec ? m_settings.callers : base::Endpoint{local.address().to_string(), local.port()};
}

void TrafficPlane::accept(const std::shared_ptr<Listener> &listener)
{
    listener->next = Tcp::socket(m_loop);
    // A handler can run after the plane has been destroyed, and its listeners with it.
    listener->acceptor.async_accept(listener->next, [this, weak = std::weak_ptr(listener)](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!ec) {
            addCaller(std::move(self->next));
        }
        if (!self->acceptor.is_open()) {
            return;
        }
        if (!ec) {
            accept(self);
            return;
        }
        // Usually out of descriptors; waits until other connections have closed.
        constexpr base::Duration AcceptPause = base::milliseconds{20};
        self->pause.expires_after(AcceptPause);
        self->pause.async_wait([this, weak](const boost::system::error_code &error) {
            if (const auto again = weak.lock(); again && !error && again->acceptor.is_open()) {
                accept(again);
            }
        });
    });
}

void TrafficPlane::addCaller(Tcp::socket socket)
{
    const auto connection = std::make_shared<CallerConnection>(*this, std::move(socket));
    m_callers.insert(connection);
    connection->start();
}

// Accepts the connections in the listener's backlog: closing the listener would reset them.
void TrafficPlane::acceptWaiting(Listener &listener)
{
    boost::system::error_code ec;
    listener.acceptor.non_blocking(true, ec);
    while (!ec) {
        Tcp::socket socket(m_loop);
        listener.acceptor.accept(socket, ec);
        if (!ec) {
            ++m_stopCounts.backlog;
            addCaller(std::move(socket));
        }
    }
}

void TrafficPlane::adopt(std::shared_ptr<const FleetView> view)
{
    const bool hasOtherRouters = view->routerEndpoints != m_view->routerEndpoints;
    const bool hasNewWeights = view->targets != m_view->targets;
    m_view = std::move(view);
    m_tracker.adopt(*m_view, now());
    m_reach.adopt(*m_view, now());
    logBrittleEvents();
    m_origins.adopt(*m_view);
    closeIdleConnections([this](const base::UpstreamId &upstream) {
        return m_tracker.find(upstream) == nullptr;
    });
    if (hasOtherRouters) {
        m_peers.setRouters(m_view->routerEndpoints);
    }
    m_customerLimits.adopt(*m_view, m_settings.limits);
    applyBudgets();
    if (hasNewWeights) {
        limitAttemptsOnOldWeights();
    }
    schedulePlacement();
}

void TrafficPlane::limitAttemptsOnOldWeights()
{
    const std::vector<std::shared_ptr<CallerConnection>> callers(m_callers.begin(), m_callers.end());
    for (const auto &caller : callers) {
        caller->onWeightsNamed();
    }
}

void TrafficPlane::onPeerUnreachable(const base::Endpoint &peer)
{
    m_observer.onRouterUnreachable(peer);
}

// Divides the fleet's retry reserve by one router more than are known, so that a router
// that was just added does not exceed it.
void TrafficPlane::applyBudgets()
{
    constexpr double UsedShare = 0.85; // of the budget; the rest is a margin for requests counted late
    const relay::RetryBudgetOptions options{m_settings.retryShare * UsedShare,
                                            static_cast<std::uint32_t>(m_settings.retryReserve * UsedShare / (m_view->routers + 1))};
    if (!m_view->table) {
        return;
    }
    for (const Pool &pool : m_view->table->pools) {
        m_budgets.try_emplace(pool.name).first->second.setOptions(options);
    }
}

void TrafficPlane::applySettings(const TrafficSettings &settings)
{
    m_settings = settings;
    applyBudgets();
    m_customerLimits.adopt(*m_view, m_settings.limits);
}

void TrafficPlane::beginStop()
{
    m_isStopping = true;
    updateReadiness(notReadyReason());
}

bool TrafficPlane::isLeaving() const
{
    return m_isLeaving;
}

void TrafficPlane::refuseConnections()
{
    proxy::refuseConnections(m_callersListener->acceptor);
}

void TrafficPlane::beginLeaving()
{
    m_isLeaving = true;
    m_customerLimits.stop();
    acceptWaiting(*m_callersListener);
    boost::system::error_code ignored;
    m_callersListener->acceptor.close(ignored);
}

std::size_t TrafficPlane::closeIdle()
{
    const std::vector<std::shared_ptr<CallerConnection>> callers(m_callers.begin(), m_callers.end());
    for (const auto &caller : callers) {
        caller->closeWhenIdle();
    }
    return m_callers.size();
}

std::size_t TrafficPlane::endRequests()
{
    const std::vector<std::shared_ptr<CallerConnection>> callers(m_callers.begin(), m_callers.end());
    return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [](const auto &caller) {
        return caller->endRequest();
    }));
}

std::size_t TrafficPlane::partialRequests() const
{
    return static_cast<std::size_t>(std::count_if(m_callers.begin(), m_callers.end(), [](const auto &caller) {
        return caller->hasPartialRequest();
    }));
}

void TrafficPlane::closeAll()
{
    boost::system::error_code ignored;
    m_callersListener->acceptor.close(ignored);
    m_operatorsListener->acceptor.close(ignored);
    m_metricsListener->acceptor.close(ignored);
    m_peers.closeAll();
    endProbes();
    m_timer.cancel();
    const std::vector<std::shared_ptr<CallerConnection>> callers(m_callers.begin(), m_callers.end());
    for (const auto &caller : callers) {
        caller->cancel();
    }
    closeIdleConnections([](const base::UpstreamId &) {
        return true;
    });
}

std::size_t TrafficPlane::inflight() const
{
    return m_inflight;
}

bool TrafficPlane::isStopping() const
{
    return m_isStopping;
}

base::TimePoint TrafficPlane::now() const
{
    return m_clock.now();
}

base::TimerService &TrafficPlane::timers()
{
    // The caller may add the earliest deadline, so the timer is armed again after the caller returns.
    if (!m_isArmPosted) {
        m_isArmPosted = true;
        boost::asio::post(m_loop, [this] {
            m_isArmPosted = false;
            armTimer();
        });
    }
    return m_timers;
}

void TrafficPlane::armTimer()
{
    const auto deadline = m_timers.nextDeadline();
    if (!deadline) {
        return;
    }
    if (*deadline >= m_armedFor) {
        return; // the pending timer fires first
    }
    m_armedFor = *deadline;
    const base::Duration wait = std::max<base::Duration>(*deadline - now(), base::Duration{}) + TimerGranularity;
    m_timer.expires_after(wait);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            onTimer();
        }
    });
}

void TrafficPlane::onTimer()
{
    m_armedFor = base::TimePoint::max();
    m_timers.advance(now());
    armTimer();
}

boost::asio::io_context &TrafficPlane::executor()
{
    return m_loop;
}

const Dialect &TrafficPlane::dialect() const
{
    return m_dialect;
}

const TrafficSettings &TrafficPlane::settings() const
{
    return m_settings;
}

std::shared_ptr<const FleetView> TrafficPlane::view() const
{
    return m_view;
}

UpstreamTracker &TrafficPlane::tracker()
{
    return m_tracker;
}

CrashAttribution &TrafficPlane::crashes()
{
    return m_crashes;
}

StreamOrigins &TrafficPlane::origins()
{
    return m_origins;
}

const SoftwareSet *TrafficPlane::beginningSoftware(const base::PoolName &pool) const
{
    const SoftwareSet *admitted = m_origins.admittedOnly(pool);
    if (admitted == nullptr || admitted->empty()) {
        return nullptr;
    }
    if (admitted->size() < MaxAdmittedSoftware) {
        return admitted;
    }
    // A further version can't be admitted, but while the store names so many, the software of streams is known from records.
    const auto &members = m_tracker.members(pool);
    const bool stays = std::any_of(members.begin(), members.end(), [admitted](const UpstreamRecord *record) {
        return record->isStaying() && record->runsOneOf(admitted);
    });
    return stays ? admitted : nullptr;
}

TrafficCounts &TrafficPlane::counts()
{
    return m_counts;
}

StopCounts &TrafficPlane::stopCounts()
{
    return m_stopCounts;
}

telemetry::EventLog &TrafficPlane::log()
{
    return m_log;
}

TrafficObserver &TrafficPlane::observer()
{
    return m_observer;
}

base::Random &TrafficPlane::random()
{
    return m_random;
}

ParserLimits TrafficPlane::parserLimits() const
{
    const CallerLimits limits = callerLimits();
    return ParserLimits{limits.maxHeadBytes, limits.maxBodyBytes};
}

CallerLimits TrafficPlane::callerLimits() const
{
    return m_view->table ? m_view->table->limits : CallerLimits{};
}

base::Duration TrafficPlane::tableAge() const
{
    return m_tableAge();
}

bool TrafficPlane::isTableConfirmed() const
{
    return m_settings.maxTableAge == base::Duration{} || tableAge() <= m_settings.maxTableAge;
}

relay::RetryBudget &TrafficPlane::budget(const base::PoolName &pool)
{
    return m_budgets.try_emplace(pool).first->second;
}

WaitQueue &TrafficPlane::queue(const base::PoolName &pool)
{
    WaitQueue &queue = m_queues[pool];
    queue.setOrder(m_settings.queueOrder);
    return queue;
}

void TrafficPlane::schedulePlacement()
{
    const bool isNeeded = std::any_of(m_queues.begin(), m_queues.end(), [](const auto &it) {
        return !it.second.isEmpty();
    });
    if (m_isPlacementScheduled || !isNeeded) {
        return;
    }
    m_isPlacementScheduled = true;
    boost::asio::post(m_loop, [this] {
        placeWaiting();
    });
}

void TrafficPlane::placeWaiting()
{
    m_isPlacementScheduled = false;
    for (auto &[pool, queue] : m_queues) {
        // A request that is bound to some software does not hold up those behind it.
        WaitQueue::Key passed;
        std::size_t passedRequests = 0;
        while (const auto exchange = queue.after(passed)) {
            const WaitQueue::Key key = exchange->queueKey();
            if (exchange->tryToPlace()) {
                continue;
            }
            if (!exchange->isBoundToSoftware() || ++passedRequests > MaxPassedRequests) {
                break;
            }
            passed = key;
        }
    }
}

bool TrafficPlane::canPassQueue(const base::PoolName &pool)
{
    const WaitQueue &waiting = queue(pool);
    if (waiting.size() > MaxPassedRequests) {
        return false;
    }
    WaitQueue::Key passed;
    while (const auto exchange = waiting.after(passed)) {
        if (!exchange->isBoundToSoftware()) {
            return false;
        }
        passed = exchange->queueKey();
    }
    return true;
}

void TrafficPlane::storeStreams(base::TimePoint at)
{
    std::vector<StreamOrigin> due = m_origins.takeDue(at);
    if (!due.empty()) {
        m_observer.onStreamsSent(std::move(due));
    }
}

void TrafficPlane::logRejected(std::string_view id, std::string_view host, std::string_view reason, unsigned status)
{
    ++m_counts.rejected;
    m_log.write(base::LogEvent::RequestRejected, {{"id", std::string(id)},
                                                  {"host", std::string(host)},
                                                  {"reason", std::string(reason)},
                                                  {"status", std::to_string(status)},
                                                  {"table", std::to_string(m_view->table ? m_view->table->version : 0)}});
}

void TrafficPlane::logUnexpected(std::string_view part, std::string_view problem)
{
    m_log.write(base::LogEvent::UnexpectedError, {{"part", std::string(part)}, {"problem", std::string(problem)}});
}

bool TrafficPlane::isBodyBufferFull() const
{
    return m_bodyBytes > m_settings.maxBufferedBodyBytes;
}

const std::shared_ptr<std::size_t> &TrafficPlane::responseBytes() const
{
    return m_responseBytes;
}

std::size_t TrafficPlane::responseBufferBytes() const
{
    constexpr std::size_t UsualBytes = 262'144;
    constexpr std::size_t LeastBytes = 16'384;
    return *m_responseBytes > m_settings.maxBufferedResponseBytes ? LeastBytes : UsualBytes;
}

void TrafficPlane::onExchangeStarted(std::size_t bodyBytes)
{
    m_bodyBytes += bodyBytes;
    ++m_inflight;
    ++m_counts.requests;
}

void TrafficPlane::onExchangeEnded(std::size_t bodyBytes)
{
    m_bodyBytes -= bodyBytes;
    --m_inflight;
}

void TrafficPlane::onBodyBuffered(std::size_t formerBytes, std::size_t bytes)
{
    m_bodyBytes = m_bodyBytes - formerBytes + bytes;
}

void TrafficPlane::removeCaller(const std::shared_ptr<CallerConnection> &connection)
{
    m_callers.erase(connection);
}

bool TrafficPlane::handleLocalPath(CallerConnection &connection, const HttpRequestHead &head)
{
    constexpr std::string_view MetricsPath = "/metrics";
    if (head.target == m_dialect.readinessPath()) {
        const std::string_view reason = notReadyReason();
        updateReadiness(reason);
        connection.reply(plainReply(reason.empty() ? 200 : 503, std::string(reason.empty() ? "ready" : reason) + '\n'));
        return true;
    }
    if (head.target == MetricsPath && findField(head.fields, m_dialect.requestIdField()) == nullptr) {
        connection.reply(plainReply(200, metricsText()));
        return true;
    }
    return false;
}

} // namespace carawaylatch::proxy
