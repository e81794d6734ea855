// Execution of admitted requests, and the metrics recorded for each request.
#include "carawaylatch/router/trafficplane.h"

#include <algorithm>
#include <utility>

#include "carawaylatch/prefix/chain.h"
#include "carawaylatch/router/servicechooser.h"
#include "carawaylatch/router/tokenmeter.h"

namespace carawaylatch::router
{

namespace
{

constexpr std::uint32_t MaxServiceAttempts = 3;

telemetry::RequestOutcome toRequestOutcome(const std::optional<base::Error> &error)
{
    if (!error) {
        return telemetry::RequestOutcome::Completed;
    }
    switch (error->kind) {
    case base::ErrorKind::Cancelled:
        return telemetry::RequestOutcome::Cancelled;
    case base::ErrorKind::Truncated:
    case base::ErrorKind::Internal:
    case base::ErrorKind::Unclear:
    case base::ErrorKind::StaleState:
        return telemetry::RequestOutcome::Failed;
    default:
        return telemetry::RequestOutcome::Refused;
    }
}

telemetry::OrderOutcome toMetricOutcome(http::OrderOutcome outcome)
{
    switch (outcome) {
    case http::OrderOutcome::NotRun:
        return telemetry::OrderOutcome::NotRun;
    case http::OrderOutcome::Running:
        return telemetry::OrderOutcome::Running;
    case http::OrderOutcome::Unknown:
        return telemetry::OrderOutcome::Unknown;
    case http::OrderOutcome::None:
    case http::OrderOutcome::Done:
        break;
    }
    return telemetry::OrderOutcome::Done;
}

http::ServiceResult toServiceReply(const orders::OrderAnswer &answer)
{
    http::ServiceResult reply;
    switch (answer.kind) {
    case orders::OrderAnswerKind::Done:
        reply.outcome = http::OrderOutcome::Done;
        reply.isReplayed = answer.execution == orders::ExecutionStatus::NotRun;
        reply.response.status = answer.answer.status;
        reply.response.contentType = answer.answer.contentType;
        reply.response.body = answer.answer.body;
        return reply;
    case orders::OrderAnswerKind::NotRun:
        reply.outcome = http::OrderOutcome::NotRun;
        break;
    case orders::OrderAnswerKind::Unknown:
        reply.outcome = http::OrderOutcome::Unknown;
        break;
    case orders::OrderAnswerKind::Running:
        reply.outcome = http::OrderOutcome::Running;
        break;
    case orders::OrderAnswerKind::Refused:
        break;
    }
    reply.error = answer.error;
    return reply;
}

http::ServiceResult errorReply(const base::Error &error)
{
    http::ServiceResult reply;
    reply.error = error;
    return reply;
}

telemetry::ExplainCandidate toExplainCandidate(const routing::Candidate &candidate, std::uint32_t blockTokens)
{
    telemetry::ExplainCandidate row;
    row.upstream = candidate.upstream;
    row.expectedWait = candidate.expectedWait;
    row.missingTokens = candidate.missingTokens;
    row.cachedTokens = static_cast<std::uint64_t>(candidate.heldBlocks) * blockTokens;
    row.score = base::fromSeconds(candidate.score);
    const bool isEligible = candidate.verdict == routing::Candidate::Verdict::Chosen || candidate.verdict == routing::Candidate::Verdict::Possible;
    row.excluded = isEligible ? "" : std::string(routing::verdictName(candidate.verdict));
    return row;
}

} // namespace

class TrafficPlane::OpenRequestScope
{
public:
    explicit OpenRequestScope(TrafficPlane &plane)
        : m_plane(plane)
    {
        ++m_plane.m_openRequests;
        m_plane.m_dependencies.metrics.streamOpened();
    }
    ~OpenRequestScope()
    {
        m_plane.m_dependencies.metrics.streamClosed();
        --m_plane.m_openRequests;
    }
    OpenRequestScope(const OpenRequestScope &) = delete;
    OpenRequestScope &operator=(const OpenRequestScope &) = delete;

private:
    TrafficPlane &m_plane;
};

TrafficPlane::TrafficPlane(const TrafficDependencies &dependencies)
    : m_dependencies(dependencies)
{
    for (auto *it : {&m_filters, &m_explainFilters}) {
        it->push_back(std::make_unique<CheckServing>());
        it->push_back(std::make_unique<IdentifyCustomer>());
        it->push_back(std::make_unique<MatchRoute>());
        it->push_back(std::make_unique<CheckSize>());
    }
    m_filters.push_back(std::make_unique<Admit>(m_dependencies.admissionController, *this, m_dependencies.placing.clock));
}

TrafficPlane::~TrafficPlane() = default;

void TrafficPlane::complete(const http::CompletionCall &call, relay::CallerSink &sink)
{
    const OpenRequestScope open(*this);
    RequestContext context = createContext(call.metadata);
    context.model = call.model;
    context.prompt = call.prompt;
    context.maxTokens = call.maxTokens;
    if (const auto passed = runFilters(m_filters, context); !passed) {
        recordRefusal(context, passed.error());
        sink.abort(passed.error());
        return;
    }
    CompletionPlacer placer(m_dependencies.placing, context);
    relay::RelayRequest request;
    request.requestId = call.metadata.requestId;
    request.pool = context.pool->name;
    request.model = call.model;
    request.trafficClass = call.metadata.trafficClass;
    request.prompt = call.prompt;
    request.maxTokens = call.maxTokens;
    request.idempotency = context.route->idempotency;
    request.hedging = context.route->hedging;
    request.firstTokenDeadline = context.deadline;
    request.deadline = context.deadline;
    TokenMeter meter(sink, m_dependencies.metrics, context.customer->id, call.metadata.trafficClass, m_dependencies.placing.clock);
    const relay::RelayReport report = m_dependencies.relay.run(request, placer, meter);
    recordMetrics(context, report, placer.wastedTokens());
}

http::ServiceResult TrafficPlane::callService(const http::ServiceCall &call)
{
    const OpenRequestScope open(*this);
    RequestContext context = createContext(call.metadata);
    context.prompt = call.body;
    if (const auto passed = runFilters(m_filters, context); !passed) {
        recordRefusal(context, passed.error());
        return errorReply(passed.error());
    }
    auto reply = context.route->idempotency == config::Idempotency::AtMostOnce ? runOrder(call, context) : runIdempotentCall(call, context);
    m_dependencies.metrics.countRequest(context.route->name, toRequestOutcome(reply.error));
    return reply;
}

base::Result<std::vector<base::ModelId>> TrafficPlane::models(const http::RequestMetadata &head)
{
    RequestContext context = createContext(head);
    BOOST_OUTCOME_TRYV(CheckServing().apply(context));
    BOOST_OUTCOME_TRYV(IdentifyCustomer().apply(context));
    std::vector<base::ModelId> models;
    for (const auto &it : context.snapshot->tables->routes) {
        const bool isAllowed = it.customers.empty() || std::count(it.customers.begin(), it.customers.end(), context.customer->id) > 0;
        if (isAllowed && !it.model.isEmpty() && std::count(models.begin(), models.end(), it.model) == 0) {
            models.push_back(it.model);
        }
    }
    return models;
}

base::Result<telemetry::ExplainReport> TrafficPlane::explain(const http::CompletionCall &call)
{
    RequestContext context = createContext(call.metadata);
    context.model = call.model;
    context.prompt = call.prompt;
    BOOST_OUTCOME_TRYV(runFilters(m_explainFilters, context));
    CompletionPlacer placer(m_dependencies.placing, context);
    telemetry::ExplainReport report;
    report.customer = context.customer->id;
    report.route = context.route->name;
    report.pool = context.pool->name;
    report.revision = context.snapshot->tables->revision;
    report.promptTokens = prefix::promptTokens(call.prompt);
    if (const auto placement = placer.previewPlacement(); placement) {
        report.chosen = placement.value().upstream;
    } else {
        report.refusal = std::string(base::errorKindName(placement.error().kind)) + ": " + placement.error().message;
    }
    BOOST_OUTCOME_TRY(explanation, placer.explain());
    const std::uint32_t blockTokens = std::max(1U, context.pool->blockBytes / prefix::BytesPerToken);
    for (const auto &it : explanation.candidates) {
        report.candidates.push_back(toExplainCandidate(it, blockTokens));
    }
    std::stable_sort(report.candidates.begin(), report.candidates.end(), [](const auto &a, const auto &b) {
        return std::pair(!a.excluded.empty(), a.score) < std::pair(!b.excluded.empty(), b.score);
    });
    return report;
}

std::size_t TrafficPlane::openRequests() const
{
    return m_openRequests;
}

base::Duration TrafficPlane::expectedFirstToken(const RequestContext &context) const
{
    if (context.pool->kind == config::UpstreamKind::Service) {
        return {};
    }
    const auto placement = CompletionPlacer(m_dependencies.placing, context).previewPlacement();
    return placement ? placement.value().expectedFirstToken : base::Duration{};
}

RequestContext TrafficPlane::createContext(const http::RequestMetadata &head) const
{
    return RequestContext{head, {}, {}, 0, m_dependencies.placing.clock.now(), m_dependencies.placing.published.load(), nullptr, nullptr, nullptr, {}, {}};
}

void TrafficPlane::recordMetrics(const RequestContext &context, const relay::RelayReport &report, std::uint64_t wastedTokens)
{
    auto &metrics = m_dependencies.metrics;
    const auto &customer = context.customer->id;
    const auto trafficClass = context.head.trafficClass;
    metrics.countRequest(context.route->name, toRequestOutcome(report.error));
    metrics.recordQueueWait(customer, trafficClass, context.ticket.waited());
    if (report.firstToken) {
        metrics.recordFirstToken(customer, trafficClass, *report.firstToken + context.ticket.waited());
    }
    if (report.done) {
        metrics.recordPrompt(customer, trafficClass, report.done->usage.promptTokens, report.done->usage.cachedTokens);
    }
    if (report.error) {
        metrics.countRefusal(report.error->kind);
    }
    metrics.countWastedTokens(wastedTokens);
    for (std::uint32_t i = 1; i + report.hedges < report.runCount; ++i) {
        metrics.countRetry();
    }
    for (std::uint32_t i = 0; i < report.hedges; ++i) {
        metrics.countHedge();
    }
    for (std::uint32_t i = 0; i < report.staleAnswers; ++i) {
        metrics.countStaleResponse();
    }
}

void TrafficPlane::recordRefusal(const RequestContext &context, const base::Error &error)
{
    m_dependencies.metrics.countRefusal(error.kind);
    if (context.route != nullptr) {
        m_dependencies.metrics.countRequest(context.route->name, telemetry::RequestOutcome::Refused);
    }
}

http::ServiceResult TrafficPlane::runOrder(const http::ServiceCall &call, RequestContext &context)
{
    if (call.idempotencyKey.empty()) {
        return errorReply(
            base::fail(base::ErrorKind::InvalidArgument, "this route's calls run at most once; send a header Idempotency-Key that names the order"));
    }
    orders::OrderRequest request;
    request.customer = context.customer->id;
    request.key = call.idempotencyKey;
    request.service = serviceRequest(call, context);
    request.deadline = context.deadline;
    ServiceChooser chooser(m_dependencies.placing, context);
    auto reply = toServiceReply(m_dependencies.executor.run(request, m_dependencies.services, chooser));
    m_dependencies.metrics.countOrder(toMetricOutcome(reply.outcome));
    return reply;
}

http::ServiceResult TrafficPlane::runIdempotentCall(const http::ServiceCall &call, RequestContext &context)
{
    ServiceChooser chooser(m_dependencies.placing, context);
    orders::ServiceRequest request = serviceRequest(call, context);
    request.timeout = std::min(m_dependencies.serviceTimeout, context.deadline - context.arrivedAt);
    std::vector<base::UpstreamId> tried;
    base::Error error = base::fail(base::ErrorKind::Unavailable, "no service accepts the call now; try again", base::seconds{1});
    while (tried.size() < MaxServiceAttempts && m_dependencies.placing.clock.now() < context.deadline) {
        const auto chosen = chooser.choose(tried);
        if (!chosen) {
            error = tried.empty() ? chosen.error() : error;
            break;
        }
        request.upstream = chosen.value().upstream;
        request.endpoint = chosen.value().endpoint;
        request.attempt = m_dependencies.attemptIds.next();
        auto answer = m_dependencies.services.call(request);
        if (answer && answer.value().attempt == request.attempt) {
            http::ServiceResult reply;
            reply.response = std::move(answer).value();
            return reply;
        }
        error = answer ? base::fail(base::ErrorKind::StaleState, request.upstream.value() + " returned the response to another request; try again")
                       : answer.error();
        tried.push_back(request.upstream);
    }
    return errorReply(error);
}

orders::ServiceRequest TrafficPlane::serviceRequest(const http::ServiceCall &call, const RequestContext &context) const
{
    orders::ServiceRequest request;
    request.requestId = call.metadata.requestId;
    request.method = call.method;
    request.path = call.metadata.path.substr(context.route->path.size());
    if (!request.path.starts_with('/')) {
        request.path.insert(request.path.begin(), '/');
    }
    request.contentType = call.contentType;
    request.body = call.body;
    return request;
}

} // namespace carawaylatch::router
