// Applies objects to the state, with one function for each kind.
#include "carawaylatch/gateway/fleetstate.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::gateway
{

namespace
{

// Words of a list of changing engines that name no engine. Builds that don't know them take them for engines that
// completed a change, and some of these write them again with the version zero.
constexpr char WriterMark = '@';
constexpr std::string_view IncompleteMark = "*";
constexpr std::uint64_t MaxIncompleteMs = 3'600'000; // longer than any takeover delay
constexpr std::uint64_t ListForm = 2; // a reader takes a list of another form for one without a writer

constexpr std::size_t MaxLoggedBytes = 200; // of a name or a problem, which may quote the text of any writer

} // namespace

std::string_view objectKindName(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Tables:
        return "tables";
    case ObjectKind::Weights:
        return "weights";
    case ObjectKind::Upstreams:
        return "upstreams";
    case ObjectKind::Coordination:
        return "duties";
    case ObjectKind::Leases:
        return "leases";
    case ObjectKind::Streams:
        return "streams";
    }
    return "";
}

std::string ChangingEngines::encode() const
{
    std::string text;
    if (!writer.isEmpty()) {
        text.append(1, WriterMark).append(writer.value()).append("=").append(std::to_string(ListForm));
    }
    if (!writer.isEmpty() && isIncomplete) {
        text.append(" ").append(IncompleteMark).append("=").append(std::to_string(base::toMilliseconds(incompleteFor)));
    }
    for (const auto &engine : engines) {
        text.append(text.empty() ? "" : " ").append(engine.value());
    }
    for (const auto &[engine, version] : changed) {
        text.append(text.empty() ? "" : " ").append(engine.value()).append("=").append(std::to_string(version.value));
    }
    return text;
}

ChangingEngines ChangingEngines::decode(std::string_view text)
{
    ChangingEngines out;
    std::optional<base::WeightsVersion> incompleteMilliseconds;
    while (!text.empty()) {
        const std::size_t space = text.find(' ');
        const std::string_view word = text.substr(0, space);
        const std::size_t equals = word.rfind('=');
        base::WeightsVersion version;
        if (equals != std::string_view::npos) {
            std::from_chars(word.data() + equals + 1, word.data() + word.size(), version.value);
            const std::string_view name = word.substr(0, equals);
            if (name == IncompleteMark) {
                incompleteMilliseconds = version;
            } else if (!name.starts_with(WriterMark)) {
                out.changed.emplace(base::UpstreamId(name), version);
            } else if (version.value == ListForm) {
                out.writer = base::RouterId(name.substr(1));
            }
        } else if (!word.empty()) {
            out.engines.insert(base::UpstreamId(word));
        }
        text = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
    }
    if (out.writer.isEmpty()) {
        out.isIncomplete = true;
        out.incompleteFor = base::Duration::max();
    } else if (incompleteMilliseconds) {
        out.isIncomplete = true;
        out.incompleteFor = base::milliseconds{std::min(incompleteMilliseconds->value, MaxIncompleteMs)};
    }
    return out;
}

bool ChangingEngines::mustReplace(const ChangingEngines &published) const
{
    if (engines.empty()) {
        return !published.engines.empty() || (published.isIncomplete && !isIncomplete);
    }
    const bool isIncluded = std::includes(published.engines.begin(), published.engines.end(), engines.begin(), engines.end());
    return !isIncluded || published.writer != writer;
}

std::string encodeRouter(const RouterEntry &router)
{
    if (router.peers.port == 0) {
        return "router";
    }
    std::string text = config::formatEndpoint(router.peers);
    if (!router.domain.isEmpty() && router.relay.port != 0) {
        text.append(" ").append(router.domain.value()).append(" ").append(config::formatEndpoint(router.relay));
    }
    return text;
}

std::optional<RouterEntry> decodeRouter(std::string_view text)
{
    const std::size_t peersEnd = std::min(text.find(' '), text.size());
    auto peers = config::parseEndpoint(text.substr(0, peersEnd));
    if (!peers) {
        return std::nullopt;
    }
    RouterEntry router{std::move(peers.value()), {}, {}};
    const std::size_t domainEnd = text.find(' ', std::min(peersEnd + 1, text.size()));
    if (domainEnd == std::string_view::npos) {
        return router;
    }
    if (auto relay = config::parseEndpoint(text.substr(domainEnd + 1))) {
        router.domain = base::FailureDomain(text.substr(peersEnd + 1, domainEnd - peersEnd - 1));
        router.relay = std::move(relay.value());
    }
    return router;
}

FleetState::FleetState(const FleetDecoder &decoder, telemetry::EventLog &log, const RemovalLimits &limits)
    : m_decoder(decoder)
    , m_log(log)
    , m_limits(limits)
{
}

void FleetState::onList(ObjectKind kind, const std::vector<StoredObject> &objects, std::uint64_t asOf, const ChangeTime &time)
{
    applyAll(kind, m_known.onList(kind, objects, asOf), time);
}

void FleetState::onChanges(ObjectKind kind, const std::vector<StoredObject> &objects, std::uint64_t asOf, const ChangeTime &time)
{
    applyAll(kind, m_known.onChanges(kind, objects, asOf), time);
}

void FleetState::onObject(ObjectKind kind, const StoredObject &object, const ChangeTime &time)
{
    if (m_known.onObject(kind, object)) {
        apply(kind, object, time);
    }
}

void FleetState::applyAll(ObjectKind kind, const std::vector<StoredObject> &objects, const ChangeTime &time)
{
    for (const StoredObject &object : objects) {
        apply(kind, object, time);
    }
}

// Counts from the store's return and from the removal, which may both be long before the removal is read.
base::TimePoint FleetState::usedUntil(const ChangeTime &removal) const
{
    if (!removal.storeReturnedAt) {
        return removal.readAt;
    }
    const base::TimePoint returnedAt = *removal.storeReturnedAt;
    const bool mayHaveExpired = removal.outage >= EntryReturnTime;
    const base::TimePoint removedAt = mayHaveExpired ? std::max(returnedAt, removal.earliest) : removal.earliest;
    return std::min(returnedAt + EntryReturnTime, removedAt + m_limits.maxUse);
}

void FleetState::expireUpstream(const base::UpstreamId &id, std::uint64_t revision, const ChangeTime &time)
{
    const auto it = m_upstreams.find(id);
    const base::TimePoint until = usedUntil(time);
    const Origin origin = originOf(revision, time);
    if (it == m_upstreams.end() || time.readAt >= until || it->second.phase != proxy::UpstreamPhase::Ready) {
        removeUpstream(id, origin);
        return;
    }
    if (!m_expired.emplace(id, until).second) {
        return;
    }
    const bool isRemovalKnown = time.earliest != base::TimePoint{};
    m_log.write(base::LogEvent::UpstreamKept, {{"upstream", id.value()},
                                               {"incarnation", std::to_string(it->second.startTimeMs)},
                                               {"source", origin.source},
                                               {"revision", origin.revision},
                                               {"since", origin.since},
                                               {"age_ms", origin.age},
                                               {"returned_ms", base::formatMilliseconds(time.readAt - *time.storeReturnedAt)},
                                               {"removed_ms", isRemovalKnown ? base::formatMilliseconds(time.readAt - time.earliest) : "-"},
                                               {"kept_ms", base::formatMilliseconds(until - time.readAt)}});
}

void FleetState::apply(ObjectKind kind, const StoredObject &object, const ChangeTime &time)
{
    try {
        applyDecoded(kind, object, time);
    } catch (const std::exception &ex) {
        // The text of one writer must not keep the objects of the others from being read.
        logIgnoredEntry(kind, object, ex.what());
    }
}

void FleetState::applyDecoded(ObjectKind kind, const StoredObject &object, const ChangeTime &time)
{
    switch (kind) {
    case ObjectKind::Tables:
        applyTable(object);
        break;
    case ObjectKind::Weights:
        applyWeights(object, time);
        break;
    case ObjectKind::Upstreams:
        applyUpstream(object, time);
        break;
    case ObjectKind::Coordination:
        applyCoordination(object);
        break;
    case ObjectKind::Leases:
    case ObjectKind::Streams:
        break; // not part of this state
    }
}

void FleetState::applyTable(const StoredObject &object)
{
    if (object.isRemoved) {
        logIgnoredEntry(ObjectKind::Tables, object, "configuration was removed; the previous version stays in use");
        return;
    }
    auto table = m_decoder.decodeTable(object.text);
    if (!table) {
        logIgnoredEntry(ObjectKind::Tables, object, table.error().message);
        return;
    }
    if (m_table && table.value().version <= m_table->version) {
        return;
    }
    m_table = std::make_shared<const proxy::RouteTable>(std::move(table.value()));
    m_isChanged = true;
    m_log.write(base::LogEvent::TableInForce, {{"version", std::to_string(m_table->version)},
                                               {"routes", std::to_string(m_table->routes.size())},
                                               {"pools", std::to_string(m_table->pools.size())},
                                               {"customers", std::to_string(m_table->customers.size())}});
    for (const proxy::LimitProblem &it : m_table->limitProblems) {
        m_log.write(base::LogEvent::LimitUnusable, {{"customer", it.customer.value()}, {"problem", it.problem}, {"version", std::to_string(m_table->version)}});
    }
}

void FleetState::applyWeights(const StoredObject &object, const ChangeTime &time)
{
    if (object.isRemoved) {
        return;
    }
    const auto named = m_decoder.decodeWeights(object.text);
    if (!named) {
        logIgnoredEntry(ObjectKind::Weights, object, named.error().message);
        return;
    }
    const auto &[model, version] = named.value();
    proxy::WeightsTarget &target = m_targets[model];
    if (version <= target.version) {
        return;
    }
    target.announce(version, time.earliest);
    m_isChanged = true;
    const bool isAgeKnown = time.earliest != base::TimePoint{};
    m_log.write(base::LogEvent::WeightsNamed, {{"model", model.value()},
                                               {"version", std::to_string(version.value)},
                                               {"max_age_ms", isAgeKnown ? base::formatMilliseconds(time.readAt - time.earliest) : "-"}});
}

bool FleetState::isSame(const proxy::Upstream &left, const proxy::Upstream &right)
{
    return left.pool == right.pool && left.endpoint == right.endpoint && left.domain == right.domain && left.slots == right.slots && left.phase == right.phase
           && left.startTimeMs == right.startTimeMs && left.software == right.software && left.models == right.models;
}

void FleetState::applyUpstream(const StoredObject &object, const ChangeTime &time)
{
    const base::UpstreamId id(object.name);
    if (object.isRemoved) {
        m_ignored.erase(object.name.substr(0, MaxLoggedBytes));
        expireUpstream(id, object.revision, time);
        return;
    }
    auto decoded = m_decoder.decodeUpstream(object.name, object.text);
    if (!decoded) {
        logIgnoredEntry(ObjectKind::Upstreams, object, decoded.error().message);
        removeUpstream(id, originOf(object.revision, time));
        return;
    }
    m_expired.erase(id);
    proxy::Upstream upstream = std::move(decoded.value());
    const auto it = m_upstreams.find(id);
    if (it != m_upstreams.end()) {
        if (it->second.startTimeMs > upstream.startTimeMs) {
            return; // entry of an earlier incarnation
        }
        const bool isSameLife = it->second.startTimeMs == upstream.startTimeMs;
        if (isSameLife && it->second.phase == proxy::UpstreamPhase::Draining) {
            upstream.phase = proxy::UpstreamPhase::Draining; // draining is final for an incarnation
        }
        if (isSameLife) {
            upstream.brittle = it->second.brittle;
            for (auto &[model, weights] : upstream.models) {
                // The entry lags behind the version that the engine reported itself.
                if (const auto known = it->second.models.find(model); known != it->second.models.end()) {
                    weights = std::max(weights, known->second);
                }
            }
        }
        if (isSame(it->second, upstream)) {
            return;
        }
    }
    const std::string_view phase = upstream.phase == proxy::UpstreamPhase::Ready ? "ready" : "draining";
    logUpstream(upstream, phase, originOf(object.revision, time));
    m_upstreams[id] = std::move(upstream);
    m_isChanged = true;
}

FleetState::Origin FleetState::originOf(std::uint64_t revision, const ChangeTime &time)
{
    const ChangeSource &source = time.source;
    return {source.reader.port == 0 ? "store" : config::formatEndpoint(source.reader), std::to_string(revision), std::to_string(source.since),
            base::formatMilliseconds(source.age)};
}

void FleetState::removeUpstream(const base::UpstreamId &id, const Origin &origin)
{
    m_expired.erase(id);
    const auto it = m_upstreams.find(id);
    if (it == m_upstreams.end()) {
        return;
    }
    logUpstream(it->second, "gone", origin);
    m_upstreams.erase(it);
    m_isChanged = true;
}

void FleetState::logUpstream(const proxy::Upstream &upstream, std::string_view phase, const Origin &origin)
{
    const auto weights = upstream.models.empty() ? std::uint64_t{0} : upstream.models.begin()->second.value;
    m_log.write(base::LogEvent::UpstreamChanged, {{"upstream", upstream.id.value()},
                                                  {"pool", upstream.pool.value()},
                                                  {"phase", std::string(phase)},
                                                  {"weights", std::to_string(weights)},
                                                  {"endpoint", config::formatEndpoint(upstream.endpoint)},
                                                  {"incarnation", std::to_string(upstream.startTimeMs)},
                                                  {"source", origin.source},
                                                  {"revision", origin.revision},
                                                  {"since", origin.since},
                                                  {"age_ms", origin.age}});
}

void FleetState::applyCoordination(const StoredObject &object)
{
    m_isChanged = true;
    if (object.isRemoved) {
        m_coordinationObjects.erase(object.name);
    } else {
        m_coordinationObjects[object.name] = object;
    }
    if (object.name == ChangingName) {
        for (const auto &[engine, weights] : ChangingEngines::decode(object.text).changed) {
            onWeightsSeen(engine, weights);
        }
    }
}

void FleetState::onUpstreamLeaving(const base::UpstreamId &upstream, std::uint64_t startTimeMs)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || it->second.startTimeMs != startTimeMs || it->second.phase == proxy::UpstreamPhase::Draining) {
        return;
    }
    it->second.phase = proxy::UpstreamPhase::Draining;
    logUpstream(it->second, "draining", {"upstream"});
    m_isChanged = true;
}

void FleetState::onBrittleWord(const base::UpstreamId &upstream, const proxy::BrittleWord &word)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end()) {
        return;
    }
    auto &known = it->second.brittle;
    if ((known ? known->rejections : std::nullopt) == word.rejections) {
        return;
    }
    known = word;
    m_isChanged = true;
}

void FleetState::onWeightsSeen(const base::UpstreamId &upstream, base::WeightsVersion weights)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || it->second.models.empty()) {
        return;
    }
    auto &known = it->second.models.begin()->second;
    if (weights > known) {
        known = weights;
        m_isChanged = true;
    }
}

void FleetState::onCacheStoreProbed(const base::Endpoint &endpoint, bool isAlive)
{
    const bool hasChanged = isAlive ? m_deadCacheStores.erase(endpoint) > 0 : m_deadCacheStores.insert(endpoint).second;
    if (hasChanged) {
        m_isChanged = true;
        m_log.write(base::LogEvent::CacheStoreChanged, {{"endpoint", config::formatEndpoint(endpoint)}, {"state", isAlive ? "answers" : "silent"}});
    }
}

std::vector<proxy::CacheStore> FleetState::cacheStores() const
{
    return m_table ? m_table->cacheStores : std::vector<proxy::CacheStore>{};
}

void FleetState::onSoftwareAdmitted(const std::map<base::PoolName, std::set<base::SoftwareVersion>> &software)
{
    m_software = software;
    m_isChanged = true;
}

bool FleetState::onTick(base::TimePoint now)
{
    std::vector<base::UpstreamId> expired;
    for (const auto &[id, until] : m_expired) {
        if (now >= until) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        removeUpstream(id, {"timer"});
    }
    return !expired.empty();
}

bool FleetState::consumeChanged()
{
    return std::exchange(m_isChanged, false);
}

std::shared_ptr<const proxy::FleetView> FleetState::view()
{
    auto view = std::make_shared<proxy::FleetView>();
    view->table = m_table;
    for (const auto &[id, upstream] : m_upstreams) {
        view->upstreams.push_back(upstream);
    }
    view->targets = m_targets;
    view->software = m_software;
    view->unavailableCacheStores = m_deadCacheStores;
    if (const StoredObject *changing = coordinationObject(ChangingName)) {
        view->reloading = ChangingEngines::decode(changing->text).engines;
    }
    std::uint32_t routers = 0;
    for (const auto &[name, object] : m_coordinationObjects) {
        if (!name.starts_with(RouterPrefix)) {
            continue;
        }
        ++routers;
        if (auto router = decodeRouter(object.text)) {
            view->routerEndpoints.push_back(std::move(router->peers));
            view->routerKeys.push_back(base::hash64(std::string_view(name).substr(RouterPrefix.size())));
        }
    }
    view->routers = std::max(1U, routers);
    view->sequence = ++m_sequence;
    return view;
}

const StoredObject *FleetState::coordinationObject(std::string_view name) const
{
    const auto it = m_coordinationObjects.find(name);
    return it == m_coordinationObjects.end() ? nullptr : &it->second;
}

const StoredObject *FleetState::routerAt(const base::Endpoint &peers) const
{
    const auto it = std::find_if(m_coordinationObjects.begin(), m_coordinationObjects.end(), [&peers](const auto &coordinationObject) {
        const auto router = coordinationObject.first.starts_with(RouterPrefix) ? decodeRouter(coordinationObject.second.text) : std::nullopt;
        return router && router->peers == peers;
    });
    return it == m_coordinationObjects.end() ? nullptr : &it->second;
}

std::vector<base::Endpoint> FleetState::relaysOf(const base::FailureDomain &domain) const
{
    std::vector<base::Endpoint> relays;
    for (const auto &[name, object] : m_coordinationObjects) {
        const auto router = name.starts_with(RouterPrefix) ? decodeRouter(object.text) : std::nullopt;
        if (router && router->domain == domain) {
            relays.push_back(router->relay);
        }
    }
    return relays;
}

std::uint64_t FleetState::knownAsOf(ObjectKind kind) const
{
    return m_known.knownAsOf(kind);
}

const std::map<base::UpstreamId, proxy::Upstream> &FleetState::upstreams() const
{
    return m_upstreams;
}

const std::map<base::ModelId, proxy::WeightsTarget> &FleetState::targets() const
{
    return m_targets;
}

void FleetState::logIgnoredEntry(ObjectKind kind, const StoredObject &object, const std::string &problem)
{
    constexpr std::size_t MaxIgnored = 256; // names remembered to log each problem only once
    const std::string name = object.name.substr(0, MaxLoggedBytes);
    const std::string shownProblem = problem.substr(0, MaxLoggedBytes);
    const auto known = m_ignored.find(name);
    if (known != m_ignored.end() && known->second == shownProblem) {
        return;
    }
    if (known == m_ignored.end() && m_ignored.size() >= MaxIgnored) {
        m_ignored.clear();
    }
    m_ignored[name] = shownProblem;
    m_log.write(base::LogEvent::EntryIgnored, {{"kind", std::string(objectKindName(kind))}, {"name", name}, {"problem", shownProblem}});
}

} // namespace carawaylatch::gateway
