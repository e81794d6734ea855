// Metrics on prometheus-cpp.
//
// prometheus-cpp looks up a series in a map of labels under a lock, which is too
// slow for one record per token. Therefore each admitted customer has a slot
// with one histogram pointer for each traffic class and measure. Slots are kept
// in an open-addressing hash table of fixed size. They are never removed; the
// thread that applies a configuration adds them with a release store, so that a
// traffic thread finds a slot without a lock, with one hash and usually one
// string comparison. A histogram pointer is null until the first record, which
// creates the histogram under the lock of its prometheus-cpp family. All names
// that were not admitted share the slot "other".
//
// Counters by route work in the same way. Counters by an enumeration are arrays
// of pointers that are created at the start, so that each value is exported as
// zero before its first event and an alert on its rate includes the first one.
#include "carawaylatch/telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <atomic>
#include <bit>
#include <map>
#include <mutex>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/tables.h"

namespace carawaylatch::telemetry
{

namespace
{

constexpr std::string_view OtherName = "other";
constexpr std::size_t ClassCount = 2;
constexpr std::size_t OutcomeCount = 4;
constexpr std::size_t OrderOutcomeCount = 4;
constexpr std::size_t PeerRefusalCount = 5;
constexpr std::size_t ChannelCount = 3;
constexpr std::size_t ErrorKindCount = static_cast<std::size_t>(base::ErrorKind::Internal) + 1;

using Edges = prometheus::Histogram::BucketBoundaries;

// Upper bucket edges, in seconds and in tokens.
const Edges &firstTokenEdges()
{
    static const Edges Values{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10, 30};
    return Values;
}

const Edges &tokenGapEdges()
{
    static const Edges Values{0.005, 0.01, 0.02, 0.028, 0.04, 0.06, 0.1, 0.2, 0.5, 1};
    return Values;
}

const Edges &queueWaitEdges()
{
    static const Edges Values{0.001, 0.005, 0.02, 0.05, 0.1, 0.3, 1, 3, 10, 30};
    return Values;
}

const Edges &tokenEdges()
{
    static const Edges Values{64, 256, 1024, 4096, 16384, 65536, 262144};
    return Values;
}

// The histograms of each customer and traffic class.
enum class Measure {
    FirstToken,
    TokenGap,
    QueueWait,
    PromptTokens,
    CachedTokens,
};
constexpr std::size_t MeasureCount = 5;

struct CustomerSlot
{
    std::string name;
    // Null until the first record; two threads that race store the same pointer.
    std::array<std::array<std::atomic<prometheus::Histogram *>, MeasureCount>, ClassCount> histograms{};
};

struct RouteSlot
{
    std::string name;
    std::array<std::atomic<prometheus::Counter *>, OutcomeCount> counters{};
};

// A hash table of slots by name. Readers take no lock; slots are never removed.
template <typename Slot>
class SlotTable
{
public:
    explicit SlotTable(std::size_t maxNames)
        : m_maxNames(maxNames)
        , m_cells(std::bit_ceil(2 * maxNames + 2))
    {
        m_other.name = OtherName;
    }

    // Returns the slot of the name, or the shared slot "other" if it has none.
    [[nodiscard]] Slot &find(std::string_view name)
    {
        const std::size_t mask = m_cells.size() - 1;
        for (std::size_t i = base::hash64(name) & mask;; i = (i + 1) & mask) {
            Slot *slot = m_cells[i].load(std::memory_order_acquire);
            if (slot == nullptr) {
                return m_other;
            }
            if (slot->name == name) {
                return *slot;
            }
        }
    }

    // Adds a slot for the name unless the table is full. Calls must be serialized.
    void admit(std::string_view name)
    {
        if (m_slots.size() >= m_maxNames || name == OtherName || &find(name) != &m_other) {
            return;
        }
        m_slots.push_back(std::make_unique<Slot>());
        m_slots.back()->name = name;
        const std::size_t mask = m_cells.size() - 1;
        std::size_t i = base::hash64(name) & mask;
        while (m_cells[i].load(std::memory_order_relaxed) != nullptr) {
            i = (i + 1) & mask;
        }
        m_cells[i].store(m_slots.back().get(), std::memory_order_release);
    }

private:
    const std::size_t m_maxNames;
    // At most half full, so that linear probing ends at an empty cell.
    std::vector<std::atomic<Slot *>> m_cells;
    std::vector<std::unique_ptr<Slot>> m_slots;
    Slot m_other;
};

prometheus::Family<prometheus::Histogram> &histogramFamily(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter> &counterFamily(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge> &gaugeFamily(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

template <std::size_t N, typename NameOf>
std::array<prometheus::Counter *, N> countersByName(prometheus::Family<prometheus::Counter> &family, const char *label, NameOf nameOf)
{
    std::array<prometheus::Counter *, N> counters{};
    for (std::size_t i = 0; i < N; ++i) {
        counters.at(i) = &family.Add({{label, std::string(nameOf(i))}});
    }
    return counters;
}

void raiseTo(prometheus::Counter &counter, std::uint64_t total)
{
    const auto now = static_cast<double>(total);
    if (now > counter.Value()) {
        counter.Increment(now - counter.Value());
    }
}

struct MeasureFamily
{
    prometheus::Family<prometheus::Histogram> *family;
    const Edges *edges;
};

} // namespace

std::string_view requestOutcomeName(RequestOutcome outcome)
{
    static constexpr std::array<std::string_view, OutcomeCount> Names{"completed", "refused", "failed", "cancelled"};
    return Names.at(static_cast<std::size_t>(outcome));
}

std::string_view orderOutcomeName(OrderOutcome outcome)
{
    static constexpr std::array<std::string_view, OrderOutcomeCount> Names{"done", "not_run", "unknown", "running"};
    return Names.at(static_cast<std::size_t>(outcome));
}

std::string_view upstreamStateName(UpstreamState state)
{
    static constexpr std::array<std::string_view, 5> Names{"live", "loading", "leaving", "suspected", "unreachable"};
    return Names.at(static_cast<std::size_t>(state));
}

std::string_view peerRefusalName(PeerRefusal reason)
{
    static constexpr std::array<std::string_view, PeerRefusalCount> Names{"wrong_key", "wrong_version", "too_large", "malformed", "replayed"};
    return Names.at(static_cast<std::size_t>(reason));
}

std::string_view controlChannelName(ControlChannel channel)
{
    static constexpr std::array<std::string_view, ChannelCount> Names{"peer", "platform", "upstream"};
    return Names.at(static_cast<std::size_t>(channel));
}

std::string_view trafficClassName(base::TrafficClass trafficClass)
{
    return trafficClass == base::TrafficClass::Interactive ? "interactive" : "batch";
}

class Metrics::Private
{
public:
    explicit Private(MetricsOptions limits);
    void observe(const base::CustomerId &customer, base::TrafficClass trafficClass, Measure measure, double value);

    const MetricsOptions options;
    prometheus::Registry registry;
    std::array<MeasureFamily, MeasureCount> measures;
    prometheus::Family<prometheus::Counter> &requestFamily;
    std::array<prometheus::Counter *, ErrorKindCount> refusals;
    std::array<prometheus::Counter *, OrderOutcomeCount> orders;
    std::array<prometheus::Counter *, PeerRefusalCount> peerRefusals;
    std::array<prometheus::Counter *, PeerRefusalCount> peerRefusedBytes;
    std::array<prometheus::Counter *, ChannelCount> controlMessages;
    std::array<prometheus::Counter *, ChannelCount> controlBytes;
    prometheus::Counter &retries;
    prometheus::Counter &hedges;
    prometheus::Counter &wastedTokens;
    prometheus::Counter &staleResponses;
    prometheus::Gauge &controlSeconds;
    prometheus::Gauge &residentBytes;
    prometheus::Gauge &revision;
    prometheus::Gauge &openStreams;
    prometheus::Family<prometheus::Gauge> &upstreamFamily;

    SlotTable<CustomerSlot> customers;
    SlotTable<RouteSlot> routes;
    std::mutex admitMutex; // serializes admission to both tables

    std::mutex upstreamMutex; // guards upstreamGauges
    std::map<std::string, prometheus::Gauge *, std::less<>> upstreamGauges;

    LatencyRecorder firstTokenInteractive;
    LatencyRecorder firstTokenBatch;
    LatencyRecorder tokenGap;
    std::array<std::atomic<std::uint64_t>, OutcomeCount> requestsByOutcome{};
    std::atomic<std::uint64_t> promptTokens{0};
    std::atomic<std::uint64_t> cachedTokens{0};
    std::atomic<std::uint64_t> deliveredTokens{0};
};

Metrics::Private::Private(MetricsOptions limits)
    : options(limits)
    , measures{{
          {&histogramFamily(registry, "carawaylatch_first_token_seconds", "Time from a request's arrival to its first token."), &firstTokenEdges()},
          {&histogramFamily(registry, "carawaylatch_token_gap_seconds", "Time between two tokens of a stream."), &tokenGapEdges()},
          {&histogramFamily(registry, "carawaylatch_queue_wait_seconds", "Time a request waited for admission."), &queueWaitEdges()},
          {&histogramFamily(registry, "carawaylatch_prompt_tokens", "Prompt tokens of an answered request."), &tokenEdges()},
          {&histogramFamily(registry, "carawaylatch_cached_tokens", "Prompt tokens that the engine took from its cache."), &tokenEdges()},
      }}
    , requestFamily(counterFamily(registry, "carawaylatch_requests_total", "Requests by route and outcome."))
    , refusals(countersByName<ErrorKindCount>(counterFamily(registry, "carawaylatch_refusals_total", "Refusals by kind of error."), "kind",
                                              [](std::size_t i) {
                                                  return base::errorKindName(static_cast<base::ErrorKind>(i));
                                              }))
    , orders(countersByName<OrderOutcomeCount>(counterFamily(registry, "carawaylatch_orders_total", "At-most-once calls by answer."), "outcome",
                                               [](std::size_t i) {
                                                   return orderOutcomeName(static_cast<OrderOutcome>(i));
                                               }))
    , peerRefusals(countersByName<PeerRefusalCount>(counterFamily(registry, "carawaylatch_peer_refused_messages_total", "Peer messages dropped."), "reason",
                                                    [](std::size_t i) {
                                                        return peerRefusalName(static_cast<PeerRefusal>(i));
                                                    }))
    , peerRefusedBytes(countersByName<PeerRefusalCount>(counterFamily(registry, "carawaylatch_peer_refused_bytes_total", "Bytes of dropped peer messages."),
                                                        "reason",
                                                        [](std::size_t i) {
                                                            return peerRefusalName(static_cast<PeerRefusal>(i));
                                                        }))
    , controlMessages(countersByName<ChannelCount>(counterFamily(registry, "carawaylatch_control_messages_total", "Control messages, both directions."),
                                                   "channel",
                                                   [](std::size_t i) {
                                                       return controlChannelName(static_cast<ControlChannel>(i));
                                                   }))
    , controlBytes(countersByName<ChannelCount>(counterFamily(registry, "carawaylatch_control_bytes_total", "Bytes of control messages, both directions."),
                                                "channel",
                                                [](std::size_t i) {
                                                    return controlChannelName(static_cast<ControlChannel>(i));
                                                }))
    , retries(counterFamily(registry, "carawaylatch_retries_total", "Attempts after a failed one.").Add({}))
    , hedges(counterFamily(registry, "carawaylatch_hedges_total", "Second attempts sent beside a slow one.").Add({}))
    , wastedTokens(counterFamily(registry, "carawaylatch_wasted_tokens_total", "Prompt tokens computed again although a live upstream held them.").Add({}))
    , staleResponses(counterFamily(registry, "carawaylatch_stale_answers_total", "Answers discarded since their echo did not match.").Add({}))
    , controlSeconds(gaugeFamily(registry, "carawaylatch_control_cpu_seconds", "Processor time of the control thread since the start.").Add({}))
    , residentBytes(gaugeFamily(registry, "carawaylatch_resident_bytes", "Memory that the process holds.").Add({}))
    , revision(gaugeFamily(registry, "carawaylatch_config_revision", "Configuration revision in force.").Add({}))
    , openStreams(gaugeFamily(registry, "carawaylatch_open_streams", "Streams being delivered.").Add({}))
    , upstreamFamily(gaugeFamily(registry, "carawaylatch_upstream_state", "State of an upstream: 0 live, 1 loading, 2 leaving, 3 suspected, 4 unreachable."))
    , customers(limits.maxCustomers)
    , routes(limits.maxRoutes)
{
}

void Metrics::Private::observe(const base::CustomerId &customer, base::TrafficClass trafficClass, Measure measure, double value)
{
    auto &slot = customers.find(customer.value());
    auto &cell = slot.histograms.at(static_cast<std::size_t>(trafficClass)).at(static_cast<std::size_t>(measure));
    auto *histogram = cell.load(std::memory_order_acquire);
    if (histogram == nullptr) {
        const auto &measureFamily = measures.at(static_cast<std::size_t>(measure));
        // Add() returns the same series to threads that race here.
        histogram = &measureFamily.family->Add({{"customer", slot.name}, {"class", std::string(trafficClassName(trafficClass))}}, *measureFamily.edges);
        cell.store(histogram, std::memory_order_release);
    }
    histogram->Observe(value);
}

Metrics::Metrics(MetricsOptions options)
    : m_d(std::make_unique<Private>(options))
{
}

Metrics::~Metrics() = default;

void Metrics::registerTables(const config::Tables &tables)
{
    const std::lock_guard lock(m_d->admitMutex);
    for (const auto &it : tables.customers) {
        m_d->customers.admit(it.id.value());
    }
    for (const auto &it : tables.routes) {
        m_d->routes.admit(it.name.value());
    }
}

void Metrics::recordFirstToken(const base::CustomerId &customer, base::TrafficClass trafficClass, base::Duration wait)
{
    m_d->observe(customer, trafficClass, Measure::FirstToken, base::toSeconds(wait));
    m_d->deliveredTokens.fetch_add(1, std::memory_order_relaxed);
    auto &counter = trafficClass == base::TrafficClass::Interactive ? m_d->firstTokenInteractive : m_d->firstTokenBatch;
    counter.add(wait);
}

void Metrics::recordTokenGap(const base::CustomerId &customer, base::TrafficClass trafficClass, base::Duration gap)
{
    m_d->observe(customer, trafficClass, Measure::TokenGap, base::toSeconds(gap));
    m_d->deliveredTokens.fetch_add(1, std::memory_order_relaxed);
    m_d->tokenGap.add(gap);
}

void Metrics::recordQueueWait(const base::CustomerId &customer, base::TrafficClass trafficClass, base::Duration wait)
{
    m_d->observe(customer, trafficClass, Measure::QueueWait, base::toSeconds(wait));
}

void Metrics::recordPrompt(const base::CustomerId &customer, base::TrafficClass trafficClass, std::uint64_t promptTokens, std::uint64_t cachedTokens)
{
    m_d->observe(customer, trafficClass, Measure::PromptTokens, static_cast<double>(promptTokens));
    m_d->observe(customer, trafficClass, Measure::CachedTokens, static_cast<double>(cachedTokens));
    m_d->promptTokens.fetch_add(promptTokens, std::memory_order_relaxed);
    m_d->cachedTokens.fetch_add(cachedTokens, std::memory_order_relaxed);
}

void Metrics::countRequest(const base::RouteName &route, RequestOutcome outcome)
{
    auto &slot = m_d->routes.find(route.value());
    auto &cell = slot.counters.at(static_cast<std::size_t>(outcome));
    auto *counter = cell.load(std::memory_order_acquire);
    if (counter == nullptr) {
        counter = &m_d->requestFamily.Add({{"route", slot.name}, {"outcome", std::string(requestOutcomeName(outcome))}});
        cell.store(counter, std::memory_order_release);
    }
    counter->Increment();
    m_d->requestsByOutcome.at(static_cast<std::size_t>(outcome)).fetch_add(1, std::memory_order_relaxed);
}

void Metrics::countRefusal(base::ErrorKind kind)
{
    m_d->refusals.at(static_cast<std::size_t>(kind))->Increment();
}

void Metrics::countRetry()
{
    m_d->retries.Increment();
}

void Metrics::countHedge()
{
    m_d->hedges.Increment();
}

void Metrics::countOrder(OrderOutcome outcome)
{
    m_d->orders.at(static_cast<std::size_t>(outcome))->Increment();
}

void Metrics::countWastedTokens(std::uint64_t tokens)
{
    m_d->wastedTokens.Increment(static_cast<double>(tokens));
}

void Metrics::countStaleResponse()
{
    m_d->staleResponses.Increment();
}

void Metrics::countPeerRefusal(PeerRefusal reason, std::uint64_t bytes)
{
    m_d->peerRefusals.at(static_cast<std::size_t>(reason))->Increment();
    m_d->peerRefusedBytes.at(static_cast<std::size_t>(reason))->Increment(static_cast<double>(bytes));
}

void Metrics::countControl(ControlChannel channel, std::uint64_t messages, std::uint64_t bytes)
{
    m_d->controlMessages.at(static_cast<std::size_t>(channel))->Increment(static_cast<double>(messages));
    m_d->controlBytes.at(static_cast<std::size_t>(channel))->Increment(static_cast<double>(bytes));
}

void Metrics::raisePeerRefusalsTo(PeerRefusal reason, std::uint64_t messages)
{
    raiseTo(*m_d->peerRefusals.at(static_cast<std::size_t>(reason)), messages);
}

void Metrics::raiseControlTo(ControlChannel channel, std::uint64_t messages, std::uint64_t bytes)
{
    raiseTo(*m_d->controlMessages.at(static_cast<std::size_t>(channel)), messages);
    raiseTo(*m_d->controlBytes.at(static_cast<std::size_t>(channel)), bytes);
}

void Metrics::setResourceUsage(base::Duration processorTime, std::uint64_t residentBytes)
{
    m_d->controlSeconds.Set(base::toSeconds(processorTime));
    m_d->residentBytes.Set(static_cast<double>(residentBytes));
}

void Metrics::setUpstreamState(const base::UpstreamId &upstream, UpstreamState state)
{
    const std::lock_guard lock(m_d->upstreamMutex);
    auto it = m_d->upstreamGauges.find(upstream.value());
    if (it == m_d->upstreamGauges.end()) {
        if (m_d->upstreamGauges.size() >= m_d->options.maxUpstreams) {
            return;
        }
        it = m_d->upstreamGauges.emplace(upstream.value(), &m_d->upstreamFamily.Add({{"upstream", upstream.value()}})).first;
    }
    it->second->Set(static_cast<double>(state));
}

void Metrics::removeUpstream(const base::UpstreamId &upstream)
{
    const std::lock_guard lock(m_d->upstreamMutex);
    const auto it = m_d->upstreamGauges.find(upstream.value());
    if (it != m_d->upstreamGauges.end()) {
        m_d->upstreamFamily.Remove(it->second);
        m_d->upstreamGauges.erase(it);
    }
}

void Metrics::setRevision(base::Revision revision)
{
    m_d->revision.Set(static_cast<double>(revision.value));
}

void Metrics::streamOpened()
{
    m_d->openStreams.Increment();
}

void Metrics::streamClosed()
{
    m_d->openStreams.Decrement();
}

std::string Metrics::renderText() const
{
    return prometheus::TextSerializer().Serialize(m_d->registry.Collect());
}

MetricsTotals Metrics::totals() const
{
    const auto toCount = [](const auto &series) {
        return static_cast<std::uint64_t>(series.Value());
    };
    const auto outcome = [this](RequestOutcome it) {
        return m_d->requestsByOutcome.at(static_cast<std::size_t>(it)).load(std::memory_order_relaxed);
    };
    const auto order = [this, toCount](OrderOutcome it) {
        return toCount(*m_d->orders.at(static_cast<std::size_t>(it)));
    };
    MetricsTotals totals;
    totals.completed = outcome(RequestOutcome::Completed);
    totals.refused = outcome(RequestOutcome::Refused);
    totals.failed = outcome(RequestOutcome::Failed);
    totals.cancelled = outcome(RequestOutcome::Cancelled);
    totals.requests = totals.completed + totals.refused + totals.failed + totals.cancelled;
    totals.promptTokens = m_d->promptTokens.load(std::memory_order_relaxed);
    totals.cachedTokens = m_d->cachedTokens.load(std::memory_order_relaxed);
    totals.deliveredTokens = m_d->deliveredTokens.load(std::memory_order_relaxed);
    totals.wastedTokens = toCount(m_d->wastedTokens);
    totals.retries = toCount(m_d->retries);
    totals.hedges = toCount(m_d->hedges);
    totals.staleResponses = toCount(m_d->staleResponses);
    totals.ordersDone = order(OrderOutcome::Done);
    totals.ordersNotRun = order(OrderOutcome::NotRun);
    totals.ordersUnknown = order(OrderOutcome::Unknown);
    for (std::size_t i = 0; i < ChannelCount; ++i) {
        totals.controlMessages += toCount(*m_d->controlMessages.at(i));
        totals.controlBytes += toCount(*m_d->controlBytes.at(i));
    }
    totals.openStreams = static_cast<std::int64_t>(m_d->openStreams.Value());
    totals.firstTokenInteractive = m_d->firstTokenInteractive.snapshot();
    totals.firstTokenBatch = m_d->firstTokenBatch.snapshot();
    totals.tokenGap = m_d->tokenGap.snapshot();
    return totals;
}

} // namespace carawaylatch::telemetry
