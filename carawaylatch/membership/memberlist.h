// Membership of the routers and failure detection, as a state machine without I/O.
//
// The protocol follows SWIM (Das, Gupta, Motivala 2002): a router probes one other
// every period, asks a few others to probe it if it doesn't answer, suspects it
// if these fail too and declares it dead if it doesn't refute the suspicion in
// time. Changes are piggybacked on the probes. The platform's list of VMs and the
// settings only provide endpoints for joining.
//
//     MemberList members(options, self, now);
//     members.onSeeds(endpoints);
//     members.onTick(now);            // at nextDeadline() or every heartbeat
//     for (auto &it : members.takeActions()) ...
//     publish(members.view());
//
// Each router probes a small set: its next few routers on a ring in hash order,
// so that every router is probed, and some random others that change slowly, so
// that updates reach all routers in a logarithmic number of steps over few
// connections.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/membership/member.h"

namespace carawaylatch::membership
{

struct MemberListOptions
{
    base::Duration heartbeat = base::milliseconds{500}; // probe period
    base::Duration probeTimeout = base::milliseconds{200}; // until indirect probes are sent; below heartbeat
    base::Duration suspicionTimeout = base::seconds{2}; // until a suspect is declared dead; multiplied by log10 of the members
    base::Duration reshuffleInterval = base::seconds{10}; // between replacements of a random probe target
    base::Duration reconnectInterval = base::seconds{2}; // between probes of a dead member or seed
    base::Duration deadRetention = base::hours{2}; // until a dead member is forgotten
    base::Duration syncInterval = base::seconds{1}; // between requests of table pages while tables differ
    base::Duration syncQuietTime = base::seconds{10}; // without changes until differing tables are compared
    std::uint32_t ringProbes = 2; // probe targets that follow this router in hash order
    std::uint32_t randomProbes = 6; // random probe targets
    std::uint32_t indirectProbes = 3; // routers asked to probe a target that didn't answer
    std::uint32_t maxUpdates = 8; // records piggybacked on one message
    std::uint32_t pageRecords = 40; // records on one page of the table
    std::size_t maxMembers = 8'192; // when full, the longest dead are forgotten; if none is dead, new members are ignored
    std::uint64_t seed = 1; // of the random number generator
};

using MemberMessage = std::variant<Probe, ProbeAck, IndirectProbe, TableRequest, TablePage>;

// Destination of a message: a member, or a seed of which only the endpoint is known.
struct MemberAddress
{
    base::RouterId id; // empty for a seed
    base::Endpoint endpoint;

    auto operator<=>(const MemberAddress &) const = default;
    bool operator==(const MemberAddress &) const = default;
};

struct SendMember
{
    MemberAddress to;
    MemberMessage message;
};

// A member appeared, changed state or came back with another incarnation.
struct MemberChanged
{
    MemberRecord record;
};

// A member's message reported its configuration revision.
struct RevisionSeen
{
    base::RouterId member;
    base::Revision revision;
};

using MemberAction = std::variant<SendMember, MemberChanged, RevisionSeen>;

// A member in a MembershipView.
struct MemberView
{
    MemberRecord record;
    base::Revision revision; // from the member's last message; may be out of date
};

// Immutable snapshot of the list for other threads.
struct MembershipView
{
    base::RouterId self;
    std::vector<MemberView> members; // ordered by id; with this router, without dead ones

    // Returns the number of members that are alive or suspect.
    [[nodiscard]] std::size_t liveCount() const;
    // Returns the live routers of a failure domain, ordered by rendezvous hashing of
    // the duty's name, so that all routers with the same view agree on the order.
    [[nodiscard]] std::vector<base::RouterId> ranked(std::string_view duty, const base::FailureDomain &domain) const;
    // Returns true if this router is among the first n of ranked().
    [[nodiscard]] bool isSelfAmongFirst(std::size_t n, std::string_view duty, const base::FailureDomain &domain) const;
};

class MemberList
{
public:
    // `self` has the state Alive and a selfVersion. The wall time in milliseconds is
    // sufficient: if another router holds a greater selfVersion of this one, for
    // example because the clock was set back, this router raises its own above it.
    MemberList(MemberListOptions options, MemberRecord self, base::TimePoint now);

    // Sets the endpoints from the settings and the platform's list; those that are not members yet are probed.
    void onSeeds(std::span<const base::Endpoint> seeds);
    // Merges member records from another source, such as a snapshot.
    void onRecords(std::span<const MemberRecord> records, base::TimePoint now);
    void onMessage(const MemberMessage &message, base::TimePoint now);
    void onTick(base::TimePoint now);
    // Sets the configuration revision that this router's messages report.
    void setRevision(base::Revision revision);
    // Announces a planned stop; the router stays in the list as Leaving.
    void leave(base::TimePoint now);
    // Announces the end of a planned stop, so that others need not detect it by probing.
    void depart(base::TimePoint now);

    [[nodiscard]] std::vector<MemberAction> takeActions();
    [[nodiscard]] base::TimePoint nextDeadline() const;
    [[nodiscard]] std::shared_ptr<const MembershipView> view() const;
    [[nodiscard]] const MemberRecord &self() const;
    // Returns the members that this router probes at present.
    [[nodiscard]] std::vector<base::RouterId> probeTargets() const;
    // Returns the state of a router; nothing if it is unknown.
    [[nodiscard]] std::optional<MemberState> stateOf(const base::RouterId &id) const;
    // All records, dead ones included.
    [[nodiscard]] std::vector<MemberRecord> records() const;
    [[nodiscard]] MemberDigest digest() const;

private:
    struct Member
    {
        MemberRecord record;
        base::Revision revision;
        base::TimePoint since; // when record.state was set
    };
    // A probe that is not acknowledged yet.
    struct PendingProbe
    {
        MemberAddress target;
        base::TimePoint sentAt;
        bool isIndirect = false; // indirect probes were sent
    };
    // A probe on behalf of another router.
    struct RelayedProbe
    {
        std::uint64_t number = 0; // probe number of the requester
        MemberAddress requester;
        base::TimePoint sentAt;
    };
    // Whether a merged record is announced to other routers.
    enum class Dissemination {
        Yes,
        No,
    };

    void handle(const Probe &message, base::TimePoint now);
    void handle(const ProbeAck &message, base::TimePoint now);
    void handle(const IndirectProbe &message, base::TimePoint now);
    void handle(const TableRequest &message, base::TimePoint now);
    void handle(const TablePage &message, base::TimePoint now);
    void mergeGossip(const Gossip &gossip, base::TimePoint now);
    void merge(const MemberRecord &record, Dissemination dissemination, base::TimePoint now);
    void mergeSelf(const MemberRecord &record, base::TimePoint now);
    void store(Member &member, const MemberRecord &record, Dissemination dissemination, base::TimePoint now);
    void setState(Member &member, MemberState state, base::TimePoint now);
    void announce(const base::RouterId &id);
    [[nodiscard]] bool isSuppressed(MemberState state, base::TimePoint now) const;
    void dropQueuedDeaths();
    void send(const MemberAddress &to, MemberMessage message);
    [[nodiscard]] Gossip makeGossip(const base::RouterId &to);
    [[nodiscard]] Gossip makeAnswer(const Gossip &received);
    [[nodiscard]] std::uint32_t retransmissions() const;
    void probeNext(base::TimePoint now);
    void probe(const MemberAddress &target, Gossip gossip, base::TimePoint now);
    void reconnectNext(base::TimePoint now);
    void expireProbes(base::TimePoint now);
    void expireSuspects(base::TimePoint now);
    void forgetDead(base::TimePoint now);
    void chooseProbeTargets();
    void replaceRandomTarget();
    void syncWith(const Gossip &gossip, base::TimePoint now);
    void requestPage(const MemberAddress &from, base::TimePoint now);
    [[nodiscard]] bool isJoining(const MemberDigest &other) const;
    void announceMissing(const TablePage &page);
    void revive(Member &member, MemberState state, Dissemination dissemination, base::TimePoint now);
    void startPartitionRecovery(const base::RouterId &peer, base::TimePoint deadSince, base::TimePoint now);
    void recoverFromPage(const TablePage &page, base::TimePoint now);
    void continuePartitionRecovery(base::TimePoint now);
    [[nodiscard]] const MemberRecord *find(const base::RouterId &id) const;
    void restartTimersAfterPause(base::TimePoint now);
    [[nodiscard]] base::Duration suspicionTime() const;
    void requestIndirectProbes(std::uint64_t number, const MemberRecord &target);
    [[nodiscard]] MemberAddress addressOf(const base::RouterId &id) const;
    [[nodiscard]] bool isProbeable(const base::RouterId &id) const;

    MemberListOptions m_options;
    MemberRecord m_self;
    base::Revision m_revision;
    base::Random m_random;
    std::map<base::RouterId, Member> m_members; // without this router; at most maxMembers
    MemberDigest m_digest; // of all records but dead ones, this router's included
    std::set<base::Endpoint> m_seeds; // endpoints of no known live member
    std::vector<base::RouterId> m_probeTargets;
    std::size_t m_nextTarget = 0;
    bool m_isTargetListStale = true; // members joined or died since m_probeTargets was chosen
    std::map<std::uint64_t, PendingProbe> m_pendingProbes; // by number; removed within two heartbeats
    std::map<std::uint64_t, RelayedProbe> m_relayedProbes; // by this router's number; removed within two heartbeats
    std::uint64_t m_lastNumber = 0;
    std::deque<base::RouterId> m_updates; // members whose records are piggybacked next; the keys of m_transmissions
    std::map<base::RouterId, std::uint32_t> m_transmissions; // number of messages that carried each record
    base::TimePoint m_nextHeartbeat;
    base::TimePoint m_nextReshuffle;
    base::TimePoint m_nextReconnect;
    std::set<base::RouterId> m_suspects; // members in state Suspect
    // Recovery after a partition: the table of a peer on the other side is read page by page.
    struct PartitionRecovery
    {
        base::RouterId peer;
        base::TimePoint deadSince; // deaths since then are attributed to the partition
        base::RouterId cursor; // last id of the last page read
        base::TimePoint requestedAt;
        std::uint32_t unanswered = 0; // unanswered requests for the current page
    };
    std::optional<PartitionRecovery> m_recovery;
    base::TimePoint m_deathSuppressionEnd; // until then deaths are not announced, since a partition may have caused them
    base::RouterId m_syncCursor; // last id of the last page compared
    base::TimePoint m_syncRequestedAt; // time of the last page request
    base::TimePoint m_lastChangeAt; // time of the last change of a record
    base::TimePoint m_lastTick;
    bool m_isDeparted = false;
    std::vector<MemberAction> m_actions;
    mutable std::shared_ptr<const MembershipView> m_view; // cached; reset by each change
};

} // namespace carawaylatch::membership
