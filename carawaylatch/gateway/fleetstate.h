// What the control thread knows of the fleet, and the snapshots made of it.
//
// A state machine without I/O: objects of the store come in, decoded or refused,
// and view() gives the snapshot for the traffic thread. Rules that it keeps:
//   - configurations and named weights never go back to a lower version;
//   - an upstream that an unreadable entry names is not used;
//   - upstreams that are missing after the store was out of reach stay in use for
//     a while, as their entries may have lapsed meanwhile, unless they were leaving.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/decoder.h"
#include "carawaylatch/gateway/objectclient.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/telemetry/decisionlog.h"

namespace carawaylatch::gateway
{

// Names of this project's own objects.
constexpr std::string_view LeaseName = "lease";
constexpr std::string_view ChangingName = "changing"; // engines that change weights
constexpr std::string_view RouterPrefix = "router."; // one object for each router that ever started

// Engines that change weights, as the holder of the lease publishes them: "a b=7"
// says that a is changing and that b has version 7 since.
struct ChangingEngines
{
    std::set<base::UpstreamId> engines; // changing, or about to
    std::map<base::UpstreamId, base::WeightsVersion> changed; // have it

    [[nodiscard]] std::string encode() const;
    [[nodiscard]] static ChangingEngines decode(std::string_view text);
};

// Text of a router's own object: where it takes load reports, or a plain word if it takes none.
[[nodiscard]] std::string encodeRouter(const base::Endpoint &peers);
[[nodiscard]] std::optional<base::Endpoint> decodeRouter(std::string_view text);

class FleetState
{
public:
    // After the store is back, entries that lapsed meanwhile return within about this time.
    static constexpr base::Duration ExpiredEntryGrace = base::milliseconds{1700};

    FleetState(const FleetDecoder &decoder, telemetry::DecisionLog &log);

    // All objects of a kind. `wasStoreUnavailable`: calls failed before this list.
    void onList(ObjectKind kind, const std::vector<StoredObject> &objects, bool wasStoreUnavailable, base::TimePoint now);
    void onChange(ObjectKind kind, const StoredObject &object, bool wasStoreUnavailable, base::TimePoint now);
    // An engine told its weights itself.
    void onWeightsSeen(const base::UpstreamId &upstream, base::WeightsVersion weights);
    void onCacheStoreProbed(const base::Endpoint &endpoint, bool isAlive);
    // Drops entries whose time is over; true if the snapshot changes.
    bool onTick(base::TimePoint now);

    // True once since the last call if the snapshot has changed.
    [[nodiscard]] bool consumeChanged();
    [[nodiscard]] std::shared_ptr<const proxy::FleetView> view();
    // An own object as last seen, or nothing.
    [[nodiscard]] const StoredObject *coordinationObject(std::string_view name) const;
    // The object of the router that takes load reports there, or nothing.
    [[nodiscard]] const StoredObject *routerAt(const base::Endpoint &peers) const;
    [[nodiscard]] const std::map<base::UpstreamId, proxy::Upstream> &upstreams() const;
    [[nodiscard]] const std::map<base::ModelId, proxy::WeightsTarget> &targets() const;
    [[nodiscard]] std::vector<proxy::CacheStore> cacheStores() const;

private:
    void applyTable(const StoredObject &object);
    void applyUpstream(const StoredObject &object, bool wasStoreUnavailable, base::TimePoint now);
    void expireUpstream(const base::UpstreamId &id, bool wasStoreUnavailable, base::TimePoint now);
    void applyWeights(const StoredObject &object, bool isListed, base::TimePoint now);
    void applyCoordination(const StoredObject &object);
    void removeUpstream(const base::UpstreamId &id);
    void logUpstream(const proxy::Upstream &upstream, std::string_view phase);
    void logIgnoredEntry(ObjectKind kind, const StoredObject &object, const std::string &problem);
    [[nodiscard]] static bool isSame(const proxy::Upstream &left, const proxy::Upstream &right);

    const FleetDecoder &m_decoder;
    telemetry::DecisionLog &m_log;
    std::shared_ptr<const proxy::RouteTable> m_table;
    std::map<base::UpstreamId, proxy::Upstream> m_upstreams;
    std::map<base::UpstreamId, base::TimePoint> m_expired; // missing in a list; used until then
    std::map<base::ModelId, proxy::WeightsTarget> m_targets;
    std::map<std::string, StoredObject, std::less<>> m_coordinationObjects;
    std::map<std::string, std::uint64_t> m_ignored; // name to the revision whose problem was logged
    std::set<base::Endpoint> m_deadCacheStores;
    std::uint64_t m_sequence = 0;
    bool m_isChanged = true;
};

} // namespace carawaylatch::gateway
