// Rules of fleetstate.h, one function for each kind of object.
#include "carawaylatch/gateway/fleetstate.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::gateway
{

std::string_view objectKindName(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Tables:
        return "tables";
    case ObjectKind::Weights:
        return "weights";
    case ObjectKind::Upstreams:
        return "upstreams";
    case ObjectKind::Duties:
        return "duties";
    case ObjectKind::Leases:
        return "leases";
    }
    return "";
}

std::string ChangingEngines::encode() const
{
    std::string text;
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
    while (!text.empty()) {
        const std::size_t space = text.find(' ');
        const std::string_view word = text.substr(0, space);
        const std::size_t equals = word.rfind('=');
        base::WeightsVersion version;
        if (equals != std::string_view::npos) {
            std::from_chars(word.data() + equals + 1, word.data() + word.size(), version.value);
            out.changed.emplace(base::UpstreamId(word.substr(0, equals)), version);
        } else if (!word.empty()) {
            out.engines.insert(base::UpstreamId(word));
        }
        text = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
    }
    return out;
}

std::string encodeRouter(const base::Endpoint &peers)
{
    return peers.port == 0 ? std::string("router") : config::formatEndpoint(peers);
}

std::optional<base::Endpoint> decodeRouter(std::string_view text)
{
    auto endpoint = config::parseEndpoint(text);
    return endpoint ? std::optional(std::move(endpoint.value())) : std::nullopt;
}

FleetState::FleetState(const FleetDecoder &decoder, telemetry::DecisionLog &log)
    : m_decoder(decoder)
    , m_log(log)
{
}

void FleetState::onList(ObjectKind kind, const std::vector<StoredObject> &objects, bool wasOutOfReach, base::TimePoint now)
{
    std::set<std::string, std::less<>> names;
    for (const StoredObject &object : objects) {
        names.insert(object.name);
        if (kind == ObjectKind::Weights) {
            applyWeights(object, true, now);
        } else {
            onChange(kind, object, wasOutOfReach, now);
        }
    }
    if (kind == ObjectKind::Duties) {
        const auto erased = std::erase_if(m_duties, [&names](const auto &it) {
            return !names.contains(it.first);
        });
        m_isChanged = m_isChanged || erased > 0;
    }
    if (kind != ObjectKind::Upstreams) {
        return; // configurations and named weights are never taken back
    }
    std::vector<base::UpstreamId> missing;
    for (const auto &[id, upstream] : m_upstreams) {
        if (!names.contains(id.value()) && !m_lapsed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        loseUpstream(id, wasOutOfReach, now);
    }
}

void FleetState::loseUpstream(const base::UpstreamId &id, bool wasOutOfReach, base::TimePoint now)
{
    const auto it = m_upstreams.find(id);
    if (it != m_upstreams.end() && wasOutOfReach && it->second.phase == proxy::UpstreamPhase::Ready) {
        m_lapsed.emplace(id, now + LapsedEntryLife);
    } else {
        removeUpstream(id);
    }
}

void FleetState::onChange(ObjectKind kind, const StoredObject &object, bool wasOutOfReach, base::TimePoint now)
{
    switch (kind) {
    case ObjectKind::Tables:
        applyTable(object);
        break;
    case ObjectKind::Weights:
        applyWeights(object, false, now);
        break;
    case ObjectKind::Upstreams:
        applyUpstream(object, wasOutOfReach, now);
        break;
    case ObjectKind::Duties:
        applyDuty(object);
        break;
    case ObjectKind::Leases:
        break; // no part of the fleet
    }
}

void FleetState::applyTable(const StoredObject &object)
{
    if (object.isRemoved) {
        ignoreEntry(ObjectKind::Tables, object, "removed; the configuration before stays in force");
        return;
    }
    auto table = m_decoder.decodeTable(object.text);
    if (!table) {
        ignoreEntry(ObjectKind::Tables, object, table.error().message);
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
}

void FleetState::applyWeights(const StoredObject &object, bool isListed, base::TimePoint now)
{
    if (object.isRemoved) {
        return;
    }
    const auto named = m_decoder.decodeWeights(object.text);
    if (!named) {
        ignoreEntry(ObjectKind::Weights, object, named.error().message);
        return;
    }
    const auto &[model, version] = named.value();
    proxy::WeightsTarget &target = m_targets[model];
    if (version <= target.version) {
        return;
    }
    // A version that is found rather than announced may have been named long ago.
    target.announce(version, isListed ? base::TimePoint{} : now);
    m_isChanged = true;
    m_log.write(base::LogEvent::WeightsNamed, {{"model", model.value()}, {"version", std::to_string(version.value)}});
}

bool FleetState::isSame(const proxy::Upstream &left, const proxy::Upstream &right)
{
    return left.pool == right.pool && left.endpoint == right.endpoint && left.domain == right.domain && left.slots == right.slots && left.phase == right.phase
           && left.startTimeMs == right.startTimeMs && left.models == right.models;
}

void FleetState::applyUpstream(const StoredObject &object, bool wasOutOfReach, base::TimePoint now)
{
    const base::UpstreamId id(object.name);
    if (object.isRemoved) {
        m_ignored.erase(object.name);
        loseUpstream(id, wasOutOfReach, now);
        return;
    }
    auto decoded = m_decoder.decodeUpstream(object.name, object.text);
    if (!decoded) {
        ignoreEntry(ObjectKind::Upstreams, object, decoded.error().message);
        removeUpstream(id);
        return;
    }
    m_lapsed.erase(id);
    proxy::Upstream upstream = std::move(decoded.value());
    const auto it = m_upstreams.find(id);
    if (it != m_upstreams.end()) {
        if (it->second.startTimeMs > upstream.startTimeMs) {
            return; // of an earlier life
        }
        const bool isSameLife = it->second.startTimeMs == upstream.startTimeMs;
        if (isSameLife && it->second.phase == proxy::UpstreamPhase::Draining) {
            upstream.phase = proxy::UpstreamPhase::Draining; // a life that leaves doesn't come back
        }
        if (isSameLife) {
            for (auto &[model, weights] : upstream.models) {
                // The entry lags behind what the engine said itself.
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
    logUpstream(upstream, phase);
    m_upstreams[id] = std::move(upstream);
    m_isChanged = true;
}

void FleetState::removeUpstream(const base::UpstreamId &id)
{
    m_lapsed.erase(id);
    const auto it = m_upstreams.find(id);
    if (it == m_upstreams.end()) {
        return;
    }
    logUpstream(it->second, "gone");
    m_upstreams.erase(it);
    m_isChanged = true;
}

void FleetState::logUpstream(const proxy::Upstream &upstream, std::string_view phase)
{
    const auto weights = upstream.models.empty() ? std::uint64_t{0} : upstream.models.begin()->second.value;
    m_log.write(base::LogEvent::UpstreamChanged, {{"upstream", upstream.id.value()},
                                                  {"pool", upstream.pool.value()},
                                                  {"phase", std::string(phase)},
                                                  {"weights", std::to_string(weights)},
                                                  {"endpoint", config::formatEndpoint(upstream.endpoint)}});
}

void FleetState::applyDuty(const StoredObject &object)
{
    const auto it = m_duties.find(object.name);
    // A removal may bear the revision of the change before it.
    const std::uint64_t known = it == m_duties.end() ? 0 : it->second.revision;
    if (known > object.revision || (known == object.revision && !object.isRemoved)) {
        return;
    }
    m_isChanged = true;
    if (object.isRemoved) {
        m_duties.erase(object.name);
    } else {
        m_duties[object.name] = object;
    }
    if (object.name == ChangingName) {
        for (const auto &[engine, weights] : ChangingEngines::decode(object.text).changed) {
            onWeightsSeen(engine, weights);
        }
    }
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

void FleetState::onCacheStore(const base::Endpoint &endpoint, bool isAlive)
{
    const bool isNews = isAlive ? m_deadCacheStores.erase(endpoint) > 0 : m_deadCacheStores.insert(endpoint).second;
    if (isNews) {
        m_isChanged = true;
        m_log.write(base::LogEvent::CacheStoreChanged, {{"endpoint", config::formatEndpoint(endpoint)}, {"state", isAlive ? "answers" : "silent"}});
    }
}

std::vector<proxy::CacheStore> FleetState::cacheStores() const
{
    return m_table ? m_table->cacheStores : std::vector<proxy::CacheStore>{};
}

bool FleetState::onTick(base::TimePoint now)
{
    std::vector<base::UpstreamId> over;
    for (const auto &[id, until] : m_lapsed) {
        if (now >= until) {
            over.push_back(id);
        }
    }
    for (const auto &id : over) {
        removeUpstream(id);
    }
    return !over.empty();
}

bool FleetState::takeChanged()
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
    view->unavailableCacheStores = m_deadCacheStores;
    if (const StoredObject *changing = duty(ChangingName)) {
        view->reloading = ChangingEngines::decode(changing->text).engines;
    }
    std::uint32_t routers = 0;
    for (const auto &[name, object] : m_duties) {
        if (!name.starts_with(RouterPrefix)) {
            continue;
        }
        ++routers;
        if (auto endpoint = decodeRouter(object.text)) {
            view->routerEndpoints.push_back(std::move(*endpoint));
        }
    }
    view->routers = std::max(1U, routers);
    view->sequence = ++m_sequence;
    return view;
}

const StoredObject *FleetState::duty(std::string_view name) const
{
    const auto it = m_duties.find(name);
    return it == m_duties.end() ? nullptr : &it->second;
}

const StoredObject *FleetState::routerAt(const base::Endpoint &peers) const
{
    const auto it = std::find_if(m_duties.begin(), m_duties.end(), [&peers](const auto &duty) {
        return duty.first.starts_with(RouterPrefix) && decodeRouter(duty.second.text) == peers;
    });
    return it == m_duties.end() ? nullptr : &it->second;
}

const std::map<base::UpstreamId, proxy::Upstream> &FleetState::upstreams() const
{
    return m_upstreams;
}

const std::map<base::ModelId, proxy::WeightsTarget> &FleetState::targets() const
{
    return m_targets;
}

void FleetState::ignoreEntry(ObjectKind kind, const StoredObject &object, const std::string &problem)
{
    constexpr std::size_t MaxIgnored = 256; // names remembered so that each problem is logged once
    if (m_ignored.size() >= MaxIgnored) {
        m_ignored.clear();
    }
    if (std::exchange(m_ignored[object.name], object.revision) != object.revision) {
        m_log.write(base::LogEvent::EntryIgnored, {{"kind", std::string(objectKindName(kind))}, {"name", object.name}, {"problem", problem}});
    }
}

} // namespace carawaylatch::gateway
