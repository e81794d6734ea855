// Creates the components in the order of their dependencies and stops them in
// reverse: first the server ports, then the components behind them, the event loop
// and the peer transport last.
#include "carawaylatch/router/router.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "carawaylatch/base/incarnation.h"
#include "carawaylatch/base/logevents.h"
#include "carawaylatch/http/callersserver.h"
#include "carawaylatch/http/engineclient.h"
#include "carawaylatch/http/operatorsserver.h"
#include "carawaylatch/http/serviceclient.h"
#include "carawaylatch/http/upstreamclient.h"
#include "carawaylatch/peer/http2transport.h"
#include "carawaylatch/router/configcontroller.h"
#include "carawaylatch/router/handovercontroller.h"
#include "carawaylatch/router/membercontroller.h"
#include "carawaylatch/router/operatorrequesthandler.h"
#include "carawaylatch/router/periodictasks.h"
#include "carawaylatch/router/trafficplane.h"
#include "carawaylatch/router/upstreamcontroller.h"
#include "carawaylatch/store/httpobjectstore.h"

namespace carawaylatch::router
{

namespace
{

constexpr base::Duration ConnectTimeout = base::milliseconds{500};
constexpr base::Duration PollTimeout = base::milliseconds{500};
constexpr base::Duration SampleInterval = base::seconds{2};
constexpr base::Duration MaxFlushTime = base::seconds{10};
constexpr base::Duration FlushRetryInterval = base::milliseconds{200};
constexpr std::uint32_t PercentScale = 100;

admission::AdmissionOptions admissionOptions(const config::Settings &settings, base::Incarnation incarnation)
{
    admission::AdmissionOptions options;
    options.limits.router = settings.router.id;
    options.limits.incarnation = incarnation;
    options.limits.fleetSize = settings.admission.configuredRouters;
    options.overload.seed = settings.routing.seed;
    options.queue.maxEntries = settings.admission.maxQueue;
    return options;
}

prefix::CacheIndexOptions indexOptions(const config::Settings &settings)
{
    prefix::CacheIndexOptions options;
    options.maxBytes = settings.routing.indexBytes;
    return options;
}

relay::RetryBudgetOptions retryBudgetOptions(const config::Settings &settings)
{
    relay::RetryBudgetOptions options;
    options.share = static_cast<double>(settings.admission.retryBudgetPercent) / PercentScale;
    return options;
}

peer::Http2TransportOptions transportOptions(const config::Settings &settings, base::Incarnation incarnation)
{
    peer::Http2TransportOptions options;
    options.self = {settings.router.id, incarnation};
    options.listen = {settings.peers.address, settings.peers.port};
    options.key = settings.peers.key;
    options.maxConnections = settings.peers.maxConnections;
    return options;
}

http::CallersServerOptions callersOptions(const config::Settings &settings)
{
    return {{settings.callers.address, settings.callers.port}, settings.callers.maxStreams, settings.callers.maxBodyBytes};
}

// Liveness of other routers as the published membership view shows it.
class MembershipLiveness : public orders::RouterLiveness
{
public:
    explicit MembershipLiveness(const ControlSnapshotPointer &published)
        : m_published(published)
    {
    }

    [[nodiscard]] orders::ClaimantLiveness livenessOf(const base::RouterId &router, base::Incarnation incarnation) const override
    {
        const auto members = m_published.load()->members;
        if (!members) {
            return orders::ClaimantLiveness::Unknown;
        }
        for (const auto &it : members->members) {
            if (it.record.id == router) {
                return it.record.incarnation == incarnation ? orders::ClaimantLiveness::Live : orders::ClaimantLiveness::Gone;
            }
        }
        return orders::ClaimantLiveness::Unknown;
    }

private:
    const ControlSnapshotPointer &m_published;
};

} // namespace

class Router::Impl
{
public:
    explicit Impl(const config::Settings &settings);
    ~Impl();

    [[nodiscard]] base::Result<void> start();
    void requestStop();
    [[nodiscard]] StopKind waitUntilStopped();

    [[nodiscard]] base::Endpoint callersEndpoint() const
    {
        return m_callersServer.endpoint();
    }
    [[nodiscard]] base::Endpoint operatorsEndpoint() const
    {
        return m_operatorsServer.endpoint();
    }
    [[nodiscard]] base::Endpoint peersEndpoint() const
    {
        return m_transport.endpoint();
    }

private:
    // Created once the peers' port is bound. Control thread.
    struct Controllers
    {
        explicit Controllers(Impl &router);

        UpstreamController upstreams;
        ConfigController config;
        MemberController members;
        PeriodicTasks tasks;
        HandoverController handover;
        OperatorRequestHandler operatorHandler;
    };

    void startControllers();
    void applyTables(const std::shared_ptr<const config::Tables> &tables, base::TimePoint now);
    void onVmList(const std::vector<store::VmRecord> &vms, base::TimePoint now);
    [[nodiscard]] ShutdownHooks shutdownHooks();
    void setStopped(StopKind kind);
    void flushOrders();
    void stopComponents();

    const config::Settings m_settings;
    const base::SteadyClock m_clock;
    const base::Incarnation m_incarnation = base::newIncarnation();
    base::EventLoop m_controlLoop{m_clock};
    ControlSnapshotPointer m_published;
    telemetry::Metrics m_metrics;
    RoutingState m_routingState;
    store::HttpObjectStore m_objects;
    const ControllerDependencies m_controllerDependencies;
    ControlState m_state{m_published};
    http::UpstreamClient m_upstreamClient{PollTimeout};
    peer::Http2Transport m_transport;
    PeerBus m_bus{m_transport, m_controlLoop};

    // Traffic threads.
    admission::AdmissionController m_admissionController;
    relay::AttemptIdGenerator m_attemptIds;
    relay::RetryBudgets m_retryBudgets;
    relay::HedgeDelays m_hedgeDelays;
    http::EngineClient m_engineClient;
    http::ServiceClient m_serviceClient{ConnectTimeout};
    relay::RelayDriver m_relayDriver;
    orders::ObjectRecordStore m_orderRecords{m_objects};
    const MembershipLiveness m_liveness{m_published};
    orders::OrderExecutor m_orderExecutor;
    std::unique_ptr<routing::RoutingStrategy> m_strategy;
    std::unique_ptr<TrafficPlane> m_traffic;

    std::unique_ptr<Controllers> m_controllers;
    // Forwards requests of callers and operators to m_traffic and m_controllers.
    class RequestHandlerProxy;
    std::unique_ptr<RequestHandlerProxy> m_handlerProxy;
    http::CallersServer m_callersServer;
    http::OperatorsServer m_operatorsServer;
    base::TimerService::Subscription m_sampleTimer;

    std::mutex m_mutex;
    std::condition_variable m_stopChanged;
    std::optional<StopKind> m_stopKind; // guarded by m_mutex
};

// The servers need their handler when they are constructed, before the controllers
// and the traffic plane exist. No request arrives before the ports are bound.
class Router::Impl::RequestHandlerProxy : public http::OperatorHandler, public http::CallerHandler
{
public:
    explicit RequestHandlerProxy(Impl &router)
        : m_router(router)
    {
    }

    std::string notReadyBecause() override
    {
        return operatorHandler().notReadyBecause();
    }
    std::string metricsText() override
    {
        return operatorHandler().metricsText();
    }
    std::string statusJson() override
    {
        return operatorHandler().statusJson();
    }
    std::string dashboard() override
    {
        return operatorHandler().dashboard();
    }
    base::Result<std::string> explainJson(const http::CompletionCall &call) override
    {
        return operatorHandler().explainJson(call);
    }
    base::Result<void> drain(const base::UpstreamId &upstream) override
    {
        return operatorHandler().drain(upstream);
    }
    base::Result<void> undrain(const base::UpstreamId &upstream) override
    {
        return operatorHandler().undrain(upstream);
    }
    void complete(const http::CompletionCall &call, relay::CallerSink &sink) override
    {
        m_router.m_traffic->complete(call, sink);
    }
    http::ServiceResult callService(const http::ServiceCall &call) override
    {
        return m_router.m_traffic->callService(call);
    }
    base::Result<std::vector<base::ModelId>> models(const http::RequestMetadata &head) override
    {
        return m_router.m_traffic->models(head);
    }

private:
    OperatorRequestHandler &operatorHandler()
    {
        return m_router.m_controllers->operatorHandler;
    }

    Impl &m_router;
};

Router::Impl::Controllers::Controllers(Impl &router)
    : upstreams(router.m_controllerDependencies, router.m_state, router.m_bus, router.m_upstreamClient, router.m_admissionController, router.m_metrics)
    , config(router.m_controllerDependencies, router.m_bus,
             [&router](const auto &tables, base::TimePoint now) {
                 router.applyTables(tables, now);
             })
    , members(
          router.m_controllerDependencies, router.m_state, router.m_bus, router.m_admissionController, router.m_transport.endpoint(),
          [this](const auto &view, base::TimePoint now) {
              config.onMembers(view, now);
          },
          [this](const auto &peer, base::Revision revision, base::TimePoint now) {
              config.onPeerRevision(peer, revision, now);
          })
    , tasks(router.m_controllerDependencies, router.m_orderExecutor, router.m_upstreamClient,
            [&router](const auto &vms, base::TimePoint now) {
                router.onVmList(vms, now);
            })
    , handover(router.m_controllerDependencies, router.m_state, router.m_bus, tasks.platformLoop(), {config, members, upstreams}, router.shutdownHooks())
    , operatorHandler({router.m_settings, router.m_incarnation, router.m_clock, router.m_controlLoop, router.m_published, router.m_routingState,
                       router.m_admissionController, router.m_metrics, *router.m_traffic, upstreams, router.m_transport, router.m_objects})
{
}

Router::Impl::Impl(const config::Settings &settings)
    : m_settings(settings)
    , m_routingState(indexOptions(settings))
    , m_objects({settings.platform.address, settings.platform.port}, settings.router.failureDomain, settings.platform.timeout)
    , m_controllerDependencies{m_settings, m_clock, m_incarnation, m_controlLoop, m_objects, m_routingState, m_published}
    , m_transport(transportOptions(settings, m_incarnation))
    , m_admissionController(admissionOptions(settings, m_incarnation), m_clock)
    , m_attemptIds(settings.router.id, m_incarnation)
    , m_retryBudgets(retryBudgetOptions(settings))
    , m_engineClient(ConnectTimeout,
                     [this](const base::UpstreamId &upstream) {
                         m_controlLoop.post([this, upstream](base::TimePoint now) {
                             m_controllers->upstreams.onLeaving(upstream, upstreams::LeavingSource::Refusal, now);
                         });
                     })
    , m_relayDriver(m_engineClient, m_clock, m_attemptIds, m_retryBudgets, m_hedgeDelays)
    , m_orderExecutor(settings.router.id, m_incarnation, m_orderRecords, m_liveness, m_clock)
    , m_handlerProxy(std::make_unique<RequestHandlerProxy>(*this))
    , m_callersServer(callersOptions(settings), *m_handlerProxy)
    , m_operatorsServer({settings.operators.address, settings.operators.port}, *m_handlerProxy)
{
}

Router::Impl::~Impl()
{
    stopComponents();
}

base::Result<void> Router::Impl::start()
{
    BOOST_OUTCOME_TRY(strategy, routing::makeStrategy(m_settings.routing.strategy, m_routingState.sharedRoutingState(), m_settings.routing.seed));
    m_strategy = std::move(strategy);
    const AttemptListener onAttempt = [this](const AttemptReport &attempt) {
        m_controlLoop.post([this, attempt](base::TimePoint now) {
            m_controllers->upstreams.onAttempt(attempt, now);
        });
    };
    m_traffic = std::make_unique<TrafficPlane>(TrafficDependencies{{m_published, m_routingState, *m_strategy, m_clock, onAttempt},
                                                                   m_admissionController,
                                                                   m_relayDriver,
                                                                   m_orderExecutor,
                                                                   m_serviceClient,
                                                                   m_attemptIds,
                                                                   m_metrics,
                                                                   m_settings.timings.upstreamTimeout});
    BOOST_OUTCOME_TRYV(m_transport.start([this](const peer::PeerEnvelope &envelope) {
        m_bus.deliver(envelope);
    }));
    base::logEvent(base::LogEvent::RouterStarted, {{"router", m_settings.router.id.value()},
                                                   {"domain", m_settings.router.failureDomain.value()},
                                                   {"incarnation", std::to_string(m_incarnation.value)},
                                                   {"version", m_settings.router.versionLabel}});
    startControllers();
    if (!m_operatorsServer.start()) {
        return base::fail(base::ErrorKind::Unavailable, "the operators' port can't be bound; change [operators] address or port");
    }
    if (!m_callersServer.start()) {
        return base::fail(base::ErrorKind::Unavailable, "the callers' port can't be bound; change [callers] address or port");
    }
    return base::ok();
}

void Router::Impl::startControllers()
{
    const base::TimePoint now = m_clock.now();
    m_controllers = std::make_unique<Controllers>(*this);
    m_controllers->config.start();
    m_controllers->members.start(now);
    m_controllers->upstreams.start(now);
    m_controllers->handover.start(now);
    m_controllers->tasks.start(now);
    m_sampleTimer = m_controlLoop.timers().every(now, SampleInterval, [this](base::TimePoint at) {
        m_controllers->operatorHandler.sample(at);
    });
    m_controlLoop.start();
}

void Router::Impl::applyTables(const std::shared_ptr<const config::Tables> &tables, base::TimePoint now)
{
    m_metrics.registerTables(*tables);
    m_metrics.setRevision(tables->revision);
    m_admissionController.configure(*tables, now);
    m_state.setTables(tables);
    m_controllers->upstreams.configure(*tables, now);
    m_controllers->members.setRevision(tables->revision);
}

void Router::Impl::onVmList(const std::vector<store::VmRecord> &vms, base::TimePoint now)
{
    m_controllers->upstreams.onPlatformList(vms, now);
    m_controllers->members.onPlatformList(vms, now);
}

ShutdownHooks Router::Impl::shutdownHooks()
{
    ShutdownHooks hooks;
    hooks.openRequests = [this] {
        return m_traffic->openRequests();
    };
    hooks.refuseRequests = [this] {
        m_admissionController.stop();
    };
    hooks.exit = [this] {
        setStopped(StopKind::Graceful);
    };
    hooks.abortStreams = [this] {
        setStopped(StopKind::Forced);
    };
    return hooks;
}

void Router::Impl::setStopped(StopKind kind)
{
    const std::lock_guard lock(m_mutex);
    m_stopKind = m_stopKind.value_or(kind);
    m_stopChanged.notify_all();
}

void Router::Impl::requestStop()
{
    m_controlLoop.post([this](base::TimePoint now) {
        m_controllers->handover.onSignal(now);
    });
}

StopKind Router::Impl::waitUntilStopped()
{
    std::optional<StopKind> kind;
    {
        std::unique_lock lock(m_mutex);
        m_stopChanged.wait(lock, [this] {
            return m_stopKind.has_value();
        });
        kind = m_stopKind;
    }
    base::logEvent(base::LogEvent::RouterStopped, {{"streams", std::to_string(m_traffic->openRequests())}});
    return *kind;
}

// Outcomes of orders that are not stored yet must be written to the platform before
// the process exits. If the platform is unreachable for longer than MaxFlushTime,
// these orders stay unknown.
void Router::Impl::flushOrders()
{
    const base::TimePoint until = m_clock.now() + MaxFlushTime;
    while (!m_orderExecutor.flush() && m_clock.now() < until) {
        std::this_thread::sleep_for(FlushRetryInterval);
    }
}

void Router::Impl::stopComponents()
{
    m_callersServer.stop();
    flushOrders();
    m_operatorsServer.stop();
    m_objects.stop();
    if (m_controllers) {
        m_controllers->upstreams.stop();
        m_controllers->config.stop();
        m_controllers->tasks.stop();
    }
    m_controlLoop.stop();
    m_transport.stop();
}

Router::Router(const config::Settings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Router::~Router() = default;

base::Result<void> Router::start()
{
    return m_impl->start();
}

void Router::requestStop()
{
    m_impl->requestStop();
}

StopKind Router::waitUntilStopped()
{
    return m_impl->waitUntilStopped();
}

base::Endpoint Router::callersEndpoint() const
{
    return m_impl->callersEndpoint();
}

base::Endpoint Router::operatorsEndpoint() const
{
    return m_impl->operatorsEndpoint();
}

base::Endpoint Router::peersEndpoint() const
{
    return m_impl->peersEndpoint();
}

} // namespace carawaylatch::router
