// Builds the parts in the order in which they depend on each other and ends them
// in the opposite one: first the ports, then what serves them, last the loops.
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
#include "carawaylatch/router/operatordesk.h"
#include "carawaylatch/router/platformduties.h"
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
constexpr base::Duration LongestFlush = base::seconds{10};
constexpr base::Duration FlushPause = base::milliseconds{200};
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

relay::RetryBudgetOptions budgetOptions(const config::Settings &settings)
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

// What the published member list says of other routers.
class PublishedLiveness : public orders::RouterLiveness
{
public:
    explicit PublishedLiveness(const Published &published)
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
    const Published &m_published;
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
        return m_callers.endpoint();
    }
    [[nodiscard]] base::Endpoint operatorsEndpoint() const
    {
        return m_operators.endpoint();
    }
    [[nodiscard]] base::Endpoint peersEndpoint() const
    {
        return m_transport.endpoint();
    }

private:
    // Controllers, made once the peers' port is bound. Control thread.
    struct Controllers
    {
        explicit Controllers(Impl &router);

        UpstreamController upstreams;
        ConfigController config;
        MemberController members;
        PlatformDuties duties;
        HandoverController handover;
        OperatorDesk desk;
    };

    void startControllers();
    void applyTables(const std::shared_ptr<const config::Tables> &tables, base::TimePoint now);
    void onList(const std::vector<store::VmRecord> &vms, base::TimePoint now);
    [[nodiscard]] ShutdownHooks shutdownHooks();
    void noteStopped(StopKind kind);
    void flushOrders();
    void stopParts();

    const config::Settings m_settings;
    const base::SteadyClock m_clock;
    const base::Incarnation m_incarnation = base::newIncarnation();
    base::EventLoop m_loop{m_clock};
    Published m_published;
    telemetry::Metrics m_metrics;
    Knowledge m_knowledge;
    store::HttpObjectStore m_objects;
    const ControlParts m_controlParts;
    ControlState m_state{m_published};
    http::UpstreamClient m_upstreamClient{PollTimeout};
    peer::Http2Transport m_transport;
    PeerBus m_bus{m_transport, m_loop};

    // Traffic.
    admission::AdmissionController m_admissionController;
    relay::AttemptIdGenerator m_attemptIds;
    relay::RetryBudgets m_budgets;
    relay::HedgeDelays m_hedgeDelays;
    http::EngineClient m_engineClient;
    http::ServiceClient m_serviceClient{ConnectTimeout};
    relay::RelayDriver m_relay;
    orders::ObjectRecordStore m_claims{m_objects};
    const PublishedLiveness m_liveness{m_published};
    orders::OrderExecutor m_orderExecutor;
    std::unique_ptr<routing::RoutingStrategy> m_strategy;
    std::unique_ptr<TrafficPlane> m_traffic;

    std::unique_ptr<Controllers> m_controllers;
    // The operators' port forwards to the desk in m_controllers.
    class OperatorFront;
    std::unique_ptr<OperatorFront> m_operatorFront;
    http::CallersServer m_callers;
    http::OperatorsServer m_operators;
    base::TimerService::Subscription m_sampleTimer;

    std::mutex m_mutex;
    std::condition_variable m_exitChanged;
    std::optional<StopKind> m_stopped; // guarded by m_mutex
};

// The ports are bound after the controllers stand, but their types need a handler
// from the start.
class Router::Impl::OperatorFront : public http::OperatorHandler, public http::CallerHandler
{
public:
    explicit OperatorFront(Impl &router)
        : m_router(router)
    {
    }

    std::string notReadyBecause() override
    {
        return desk().notReadyBecause();
    }
    std::string metricsText() override
    {
        return desk().metricsText();
    }
    std::string statusJson() override
    {
        return desk().statusJson();
    }
    std::string dashboard() override
    {
        return desk().dashboard();
    }
    base::Result<std::string> explainJson(const http::CompletionCall &call) override
    {
        return desk().explainJson(call);
    }
    base::Result<void> drain(const base::UpstreamId &upstream) override
    {
        return desk().drain(upstream);
    }
    base::Result<void> undrain(const base::UpstreamId &upstream) override
    {
        return desk().undrain(upstream);
    }
    void complete(const http::CompletionCall &call, relay::CallerSink &sink) override
    {
        m_router.m_traffic->complete(call, sink);
    }
    http::ServiceReply callService(const http::ServiceCall &call) override
    {
        return m_router.m_traffic->callService(call);
    }
    base::Result<std::vector<base::ModelId>> models(const http::CallerHead &head) override
    {
        return m_router.m_traffic->models(head);
    }

private:
    OperatorDesk &desk()
    {
        return m_router.m_controllers->desk;
    }

    Impl &m_router;
};

Router::Impl::Controllers::Controllers(Impl &router)
    : upstreams(router.m_controlParts, router.m_state, router.m_bus, router.m_upstreamClient, router.m_admissionController, router.m_metrics)
    , config(router.m_controlParts, router.m_bus,
             [&router](const auto &tables, base::TimePoint now) {
                 router.applyTables(tables, now);
             })
    , members(
          router.m_controlParts, router.m_state, router.m_bus, router.m_admissionController, router.m_transport.endpoint(),
          [this](const auto &view, base::TimePoint now) {
              config.onMembers(view, now);
          },
          [this](const auto &peer, base::Revision revision, base::TimePoint now) {
              config.onPeerRevision(peer, revision, now);
          })
    , duties(router.m_controlParts, router.m_orderExecutor, router.m_upstreamClient,
             [&router](const auto &vms, base::TimePoint now) {
                 router.onList(vms, now);
             })
    , handover(router.m_controlParts, router.m_state, router.m_bus, duties.platformLoop(), {config, members, upstreams}, router.shutdownHooks())
    , desk({router.m_settings, router.m_incarnation, router.m_clock, router.m_loop, router.m_published, router.m_knowledge, router.m_admissionController,
            router.m_metrics, *router.m_traffic, upstreams, router.m_transport, router.m_objects})
{
}

Router::Impl::Impl(const config::Settings &settings)
    : m_settings(settings)
    , m_knowledge(indexOptions(settings))
    , m_objects({settings.platform.address, settings.platform.port}, settings.router.failureDomain, settings.platform.timeout)
    , m_controlParts{m_settings, m_clock, m_incarnation, m_loop, m_objects, m_knowledge, m_published}
    , m_transport(transportOptions(settings, m_incarnation))
    , m_admissionController(admissionOptions(settings, m_incarnation), m_clock)
    , m_attemptIds(settings.router.id, m_incarnation)
    , m_budgets(budgetOptions(settings))
    , m_engineClient(ConnectTimeout,
                     [this](const base::UpstreamId &upstream) {
                         m_loop.post([this, upstream](base::TimePoint now) {
                             m_controllers->upstreams.onLeaving(upstream, upstreams::LeavingSource::Refusal, now);
                         });
                     })
    , m_relay(m_engineClient, m_clock, m_attemptIds, m_budgets, m_hedgeDelays)
    , m_orderExecutor(settings.router.id, m_incarnation, m_claims, m_liveness, m_clock)
    , m_operatorFront(std::make_unique<OperatorFront>(*this))
    , m_callers(callersOptions(settings), *m_operatorFront)
    , m_operators({settings.operators.address, settings.operators.port}, *m_operatorFront)
{
}

Router::Impl::~Impl()
{
    stopParts();
}

base::Result<void> Router::Impl::start()
{
    BOOST_OUTCOME_TRY(strategy, routing::makeStrategy(m_settings.routing.strategy, m_knowledge.forStrategy(), m_settings.routing.seed));
    m_strategy = std::move(strategy);
    const AttemptListener onAttempt = [this](const AttemptNotice &notice) {
        m_loop.post([this, notice](base::TimePoint now) {
            m_controllers->upstreams.onAttempt(notice, now);
        });
    };
    m_traffic = std::make_unique<TrafficPlane>(TrafficParts{{m_published, m_knowledge, *m_strategy, m_clock, onAttempt},
                                                            m_admissionController,
                                                            m_relay,
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
    if (!m_operators.start()) {
        return base::fail(base::ErrorKind::Unavailable, "the operators' port can't be bound; change [operators] address or port");
    }
    if (!m_callers.start()) {
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
    m_controllers->duties.start(now);
    m_sampleTimer = m_loop.timers().every(now, SampleInterval, [this](base::TimePoint at) {
        m_controllers->desk.sample(at);
    });
    m_loop.start();
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

void Router::Impl::onList(const std::vector<store::VmRecord> &vms, base::TimePoint now)
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
        noteStopped(StopKind::Graceful);
    };
    hooks.cutStreams = [this] {
        noteStopped(StopKind::Cut);
    };
    return hooks;
}

void Router::Impl::noteStopped(StopKind kind)
{
    const std::lock_guard lock(m_mutex);
    m_stopped = m_stopped.value_or(kind);
    m_exitChanged.notify_all();
}

void Router::Impl::requestStop()
{
    m_loop.post([this](base::TimePoint now) {
        m_controllers->handover.onSignal(now);
    });
}

StopKind Router::Impl::waitUntilStopped()
{
    std::optional<StopKind> kind;
    {
        std::unique_lock lock(m_mutex);
        m_exitChanged.wait(lock, [this] {
            return m_stopped.has_value();
        });
        kind = m_stopped;
    }
    base::logEvent(base::LogEvent::RouterStopped, {{"streams", std::to_string(m_traffic->openRequests())}});
    return *kind;
}

// Outcomes that only this process knows must reach the platform before it ends; an
// outage that outlasts the bound leaves them unknown.
void Router::Impl::flushOrders()
{
    const base::TimePoint until = m_clock.now() + LongestFlush;
    while (!m_orderExecutor.flush() && m_clock.now() < until) {
        std::this_thread::sleep_for(FlushPause);
    }
}

void Router::Impl::stopParts()
{
    m_callers.stop();
    flushOrders();
    m_operators.stop();
    m_objects.stop();
    if (m_controllers) {
        m_controllers->upstreams.stop();
        m_controllers->config.stop();
        m_controllers->duties.stop();
    }
    m_loop.stop();
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
