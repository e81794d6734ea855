// The control thread: reads the store, holds the lease, changes weights.
//
// One coroutine watches each kind of object, one drives the lease and the
// rollout. All state is touched by the control thread's loop alone. Snapshots go
// out through `publish`, called on the control thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/fleet/lease.h"
#include "carawaylatch/gateway/decoder.h"
#include "carawaylatch/gateway/engineclient.h"
#include "carawaylatch/gateway/fleetstate.h"
#include "carawaylatch/gateway/objectclient.h"
#include "carawaylatch/gateway/rollout.h"
#include "carawaylatch/gateway/tableage.h"
#include "carawaylatch/telemetry/decisionlog.h"

namespace carawaylatch::gateway
{

struct ControlSettings
{
    base::RouterId router; // names one VM
    base::Endpoint peers; // where it takes other routers' load reports; port zero: nowhere
    fleet::LeaseSettings lease;
    RolloutSettings rollout;
    base::Duration watchWait = base::milliseconds{1200}; // of one watch of the configuration; bounds its age
    base::Duration longWatchWait = base::milliseconds{3500}; // of the other watches; each call costs, and a silent connection shows after it
    base::Duration upstreamsPause = base::milliseconds{400}; // entries change together; news of them waits no longer
    base::Duration retryPause = base::milliseconds{150}; // after a failed call; doubles up to maxRetryPause
    base::Duration maxRetryPause = base::milliseconds{1000};
};

class ControlPlane
{
public:
    using Publish = std::function<void(std::shared_ptr<const proxy::FleetView>)>;

    // All references outlive the plane.
    ControlPlane(boost::asio::io_context &loop, const base::Clock &clock, const ControlSettings &settings, ObjectClientFactory &clients, EngineClient &engines,
                 const FleetDecoder &decoder, telemetry::DecisionLog &log, TableAge &tableAge, Publish publish);

    void start();
    // Gives the lease up, so that another router can take it at once; no new orders.
    void beginStop();
    // From the control thread.
    void onWeightsSeen(const base::UpstreamId &upstream, base::WeightsVersion weights);
    // From the control thread: the router that takes load reports there was not reached for
    // long. Its object is removed; a router that is only cut off writes it again.
    void onRouterUnreachable(const base::Endpoint &peers);

private:
    // A list of which some pages were read. A busy store refuses calls, so a list of many
    // pages goes on where it was refused; begun anew each time it would never end.
    struct PartialList
    {
        std::vector<StoredObject> objects;
        std::string after; // the last name read; empty: nothing yet
        std::uint64_t asOf = 0; // of the first page; changes since are seen by a watch from there
        base::TimePoint begunAt;
    };
    [[nodiscard]] Awaitable<void> watchKind(ObjectKind kind);
    [[nodiscard]] Awaitable<base::Result<std::uint64_t>> listAll(ObjectClient &client, ObjectKind kind, bool wasOutOfReach, PartialList &partial);
    [[nodiscard]] Awaitable<void> runDuties();
    [[nodiscard]] Awaitable<void> watchCacheStores();
    [[nodiscard]] Awaitable<void> stepLease(ObjectClient &client);
    [[nodiscard]] Awaitable<void> stepRollout(ObjectClient &client);
    [[nodiscard]] Awaitable<bool> publishChanging(ObjectClient &client);
    [[nodiscard]] Awaitable<void> registerRouter(ObjectClient &client);
    [[nodiscard]] Awaitable<void> removeGoneRouters(ObjectClient &client);
    [[nodiscard]] std::string ownName() const;
    [[nodiscard]] Awaitable<void> giveOrder(WeightsOrder order);
    [[nodiscard]] Awaitable<void> askStatus(WeightsOrder order);
    [[nodiscard]] Awaitable<void> pause(base::Duration duration);
    void publishIfChanged();
    [[nodiscard]] Awaitable<void> noteHolding(ObjectClient &client);
    [[nodiscard]] Awaitable<void> releaseLease(ObjectClient &client);
    [[nodiscard]] base::Duration watchWait(ObjectKind kind) const;
    [[nodiscard]] base::Duration pauseAfterChanges(ObjectKind kind) const;
    void interruptWatches();

    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    const ControlSettings m_settings;
    ObjectClientFactory &m_clients;
    EngineClient &m_engines;
    telemetry::DecisionLog &m_log;
    TableAge &m_tableAge;
    Publish m_publish;
    FleetState m_state;
    fleet::Lease m_lease;
    Rollout m_rollout;
    base::Random m_random;
    std::map<ObjectKind, ObjectClient *> m_watches; // clients of the watches
    std::set<base::UpstreamId> m_asked; // status calls under way
    bool m_isHolding = false;
    std::set<base::Endpoint> m_goneRouters; // whose objects are still to be removed
    bool m_isRegistered = false;
    bool m_isOwnObjectSeen = false; // in what was read of the store last
    bool m_isStopping = false;
};

} // namespace carawaylatch::gateway
