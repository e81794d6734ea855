// The control plane of a gateway: reads configuration and upstreams from the object
// store, competes for the fleet's lease and, as its holder, rolls out new weights.
//
// One coroutine watches each kind of object; another drives the lease and the rollout. In a
// failure domain with many routers a few of them watch the store, and the others learn of
// changes from these (ReaderChoice, WatchLog, RelayClient); a router whose reader fails
// watches the store itself.
// All state belongs to the control thread. Every new snapshot is passed to `publish`,
// which is called on the control thread.
#pragma once

#include <exception>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/fleet/lease.h"
#include "carawaylatch/gateway/changetimes.h"
#include "carawaylatch/gateway/decoder.h"
#include "carawaylatch/gateway/engineclient.h"
#include "carawaylatch/gateway/fleetstate.h"
#include "carawaylatch/gateway/leaseobserver.h"
#include "carawaylatch/gateway/objectclient.h"
#include "carawaylatch/gateway/readerchoice.h"
#include "carawaylatch/gateway/rollout.h"
#include "carawaylatch/gateway/storecontact.h"
#include "carawaylatch/gateway/streamsoftware.h"
#include "carawaylatch/gateway/tableage.h"
#include "carawaylatch/gateway/watchlog.h"
#include "carawaylatch/gateway/watchrelay.h"
#include "carawaylatch/telemetry/eventlog.h"

namespace carawaylatch::gateway
{

struct ControlSettings
{
    base::RouterId router; // one id for each VM
    base::Endpoint peers; // address for load reports of other routers; port zero: none
    base::FailureDomain domain;
    base::Endpoint relay; // address for polls of routers of the domain; port zero: none
    ReaderSettings readers;
    fleet::LeaseSettings lease;
    RolloutSettings rollout;
    base::Duration watchWait = base::milliseconds{1200}; // long-poll wait of a configuration watch; bounds the configuration's age
    // Long-poll wait of the other watches. A longer wait means fewer calls, but a dead
    // connection is noticed only after the wait.
    base::Duration longWatchWait = base::milliseconds{3500};
    RemovalLimits removal;
    // A router that learns from a reader reads the store itself once it was last certainly told of all changes of a kind this long
    // ago. Longer than readers' calls to the store and polls for the configuration are apart, so that none is needed while all is well.
    base::Duration maxUntoldTime = base::milliseconds{1200};
    base::Duration retryPause = base::milliseconds{150}; // after a failed call; doubles up to maxRetryPause
    base::Duration maxRetryPause = base::milliseconds{1000};
};

class ControlPlane : public RelaySource
{
public:
    using Publish = std::function<void(std::shared_ptr<const proxy::FleetView>)>;

    // All references must outlive the ControlPlane.
    ControlPlane(boost::asio::io_context &loop, const base::Clock &clock, const ControlSettings &settings, ObjectClientFactory &clients, EngineClient &engines,
                 const FleetDecoder &decoder, telemetry::EventLog &log, TableAge &tableAge, RelayClient &relay, Publish publish);

    void start();
    // Releases the lease, so that another router can acquire it at once, and sends no more
    // orders.
    void beginStop();
    // Call it on the control thread.
    // An upstream has said that it leaves.
    void onUpstreamLeaving(const base::UpstreamId &upstream, std::uint64_t startTimeMs);
    void onWeightsSeen(const base::UpstreamId &upstream, base::WeightsVersion weights);
    // Call it on the control thread when the router with this load report address has been
    // unreachable for long. Its object is removed; a router that was only disconnected
    // writes it again.
    void onRouterUnreachable(const base::Endpoint &peers);
    // Streams that were sent to upstreams, and which software began them.
    void onStreamsSent(const std::vector<proxy::StreamOrigin> &streams);
    // `done` gets the software that began a stream of the pool, as the store tells it now.
    void findOrigin(const base::PoolName &pool, std::uint64_t stream, std::function<void(proxy::OriginAnswer)> done);
    [[nodiscard]] Awaitable<std::unique_ptr<RelayAnswer>> answer(RelayPoll poll) override;

private:
    // Changes of one kind of object, from the store or from a reader.
    struct KindChanges
    {
        std::optional<base::Error> error; // nothing was read
        std::uint64_t revision = 0; // of the store, after the changes
        std::vector<StoredObject> objects;
        base::Duration confirmedAt{}; // bootTime() at which the state was certainly the newest
        std::optional<base::Duration> changedAfter; // bootTime(); the objects changed at this time or later
        base::Endpoint reader; // that told them; port zero: the store
        std::string readerProblem; // why the last reader that was polled did not serve
    };
    // A list of which some pages have been read. An overloaded store rejects some calls, so
    // the list continues at the rejected page; if it restarted each time, a list of many
    // pages would never complete.
    struct PartialList
    {
        std::vector<StoredObject> objects;
        std::string after; // last name read; empty: no page yet
        std::uint64_t asOf = 0; // revision of the first page; the watch that follows starts there
        base::TimePoint startedAt;
    };
    [[nodiscard]] Awaitable<void> watchKind(ObjectKind kind);
    // Results are passed by reference: GCC 12 destroys an aggregate that a coroutine returns twice.
    [[nodiscard]] Awaitable<void> nextChanges(ObjectClient &client, ObjectKind kind, std::uint64_t since, base::Duration wait, KindChanges &changes);
    enum class PollResult {
        Answered,
        AnotherReader, // this one is gone or no reader; another one may answer at once
        Store, // the store is asked next
    };
    [[nodiscard]] Awaitable<PollResult> pollReader(base::Endpoint reader, const RelayPoll &poll, KindChanges &changes);
    [[nodiscard]] PollResult onPollFailed(const base::Endpoint &reader, ObjectKind kind, base::Duration elapsed, base::Duration timeout);
    [[nodiscard]] PollResult onPollRefused(const base::Endpoint &reader, ObjectKind kind, RelayRefusal refusal, std::string &problem);
    // Takes until when the reader was certainly told of all changes. `answeredAt`: bootTime() at which it said so, or before.
    void noteTold(const base::Endpoint &reader, const RelayAnswer &answer, ObjectKind kind, base::Duration answeredAt);
    // As of which revision this router knows each kind.
    [[nodiscard]] std::map<ObjectKind, std::uint64_t> knownRevisions() const;
    // Ends polls during which this router was not told of all changes for too long, so that the store is read instead, and those
    // that it can't answer any more.
    void checkStoreContact();
    // How long ago this router, by its own calls to the store, was certainly told of all changes of the kind, and of kinds of which
    // it knows no more than the poll's revisions include.
    [[nodiscard]] std::map<ObjectKind, base::Duration> toldAges(const RelayPoll &poll) const;
    [[nodiscard]] std::unique_ptr<RelayAnswer> refused(RelayRefusal refusal, const RelayPoll &poll, base::Duration arrivedAt) const;
    void logReader(const std::optional<base::Endpoint> &reader, const std::string &problem);
    void onConfirmed(ObjectKind kind, base::Duration confirmedAt, bool isRelayed);
    void wakePolls(ObjectKind kind);
    // Returns why polls of a kind are not answered by this router now.
    [[nodiscard]] RelayRefusal refusalOf(ObjectKind kind);
    // Until when polls of a kind are answered if the store answers nothing more; bootTime().
    [[nodiscard]] base::Duration answersUntil(ObjectKind kind) const;
    [[nodiscard]] Awaitable<void> waitForConfirmation(ObjectKind kind, base::Duration limit);
    [[nodiscard]] Awaitable<base::Result<std::uint64_t>> listAll(ObjectClient &client, ObjectKind kind, PartialList &partial);
    [[nodiscard]] Awaitable<void> runControlLoop();
    // Makes no calls. Notices that the thread did not run for a while, and ends what is limited in time.
    [[nodiscard]] Awaitable<void> runHeartbeat();
    // Changes that are read now, and were made at `changedAfter` (bootTime()) or later.
    [[nodiscard]] ChangeTime changeTime(ObjectKind kind, std::optional<base::Duration> changedAfter, const ChangeSource &source) const;
    [[nodiscard]] Awaitable<void> watchCacheStores();
    void checkStoreEra();
    void noteList();
    [[nodiscard]] Awaitable<void> stepLease(ObjectClient &client);
    // The store has answered a call that is no list or watch.
    void onOtherCallAnswered();
    // Returns false if the read failed.
    [[nodiscard]] Awaitable<bool> readLease(ObjectClient &client, ReadConsistency consistency);
    [[nodiscard]] Awaitable<void> stepRollout(ObjectClient &client);
    [[nodiscard]] Awaitable<bool> publishChangingEngines(ObjectClient &client);
    // Reads the list again if `error` says that the store has another one.
    [[nodiscard]] Awaitable<void> readChangingEngines(ObjectClient &client, base::Error error);
    [[nodiscard]] Awaitable<void> registerRouter(ObjectClient &client);
    [[nodiscard]] Awaitable<void> removeUnreachableRouters(ObjectClient &client);
    [[nodiscard]] std::string routerObjectName() const;
    // Runs a task, and again after an exception from it.
    void start(std::string name, std::function<Awaitable<void>()> task);
    [[nodiscard]] Awaitable<void> repeat(std::string name, std::function<Awaitable<void>()> task);
    // Returns a completion handler that logs an exception of `part`.
    [[nodiscard]] std::function<void(const std::exception_ptr &)> logged(const char *part);
    [[nodiscard]] Awaitable<void> sendOrder(WeightsOrder order, base::TimePoint plannedAt);
    [[nodiscard]] Awaitable<void> pollStatus(WeightsOrder order);
    [[nodiscard]] Awaitable<void> pause(base::Duration duration);
    void publishIfChanged();
    [[nodiscard]] StreamSoftwareInput streamSoftwareInput();
    [[nodiscard]] Awaitable<void> updateHolderState(ObjectClient &client);
    [[nodiscard]] Awaitable<void> releaseLease(ObjectClient &client);
    [[nodiscard]] base::Duration watchWait(ObjectKind kind) const;
    [[nodiscard]] base::Duration pauseAfterChanges(ObjectKind kind) const;
    // Makes these watches fail, so that they are sent again.
    void interruptWatches(const std::vector<ObjectKind> &kinds);

    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    const ControlSettings m_settings;
    ObjectClientFactory &m_clients;
    EngineClient &m_engines;
    telemetry::EventLog &m_log;
    TableAge &m_tableAge;
    Publish m_publish;
    FleetState m_state;
    fleet::Lease m_lease;
    LeaseObserver m_leaseObserver;
    Rollout m_rollout;
    base::Random m_random;
    std::map<ObjectKind, std::shared_ptr<ObjectClient>> m_watches; // for interrupting the watches
    std::map<ObjectKind, base::Endpoint> m_polls; // in flight, and the readers that they ask
    std::set<ObjectKind> m_overduePolls; // of these; they end because the store is to be read
    std::set<base::UpstreamId> m_pendingStatusCalls; // engines with a status call in flight
    RelayClient &m_relay;
    ReaderChoice m_readers;
    WatchLog m_watchLog;
    ChangeTimes m_changeTimes;
    StoreContact m_contact;
    StreamSoftware m_streamSoftware;
    std::shared_ptr<const proxy::FleetView> m_published; // the last snapshot
    base::TimePoint m_startedAt;
    SoftwareByPool m_listedSoftware; // of m_published
    // State of each kind for polls of other routers.
    struct Confirmation
    {
        base::Duration at{}; // bootTime()
        std::uint64_t count = 0;
        bool isRelayed = false; // the last one
        std::list<boost::asio::steady_timer *> waiting; // of polls that are held
    };
    std::map<ObjectKind, Confirmation> m_confirmations;
    std::optional<base::Endpoint> m_loggedReader;
    bool m_isLeaseHolder = false;
    struct ChangingList
    {
        std::uint64_t revision = 0;
        base::TimePoint seenAt; // when this revision was first known here
        bool isWritten = false; // the last write was by this holder, and was answered
    };
    ChangingList m_list;
    std::set<base::Endpoint> m_unreachableRouters; // by load report address; their objects are still to be removed
    std::optional<std::uint64_t> m_storeEra; // as last checked; empty before the first answer of the store
    bool m_isRegistered = false;
    bool m_wasRouterObjectStored = false; // at the last check
    bool m_isStopping = false;
    bool m_wasStoreSilent = false; // at the last heartbeat
};

} // namespace carawaylatch::gateway
