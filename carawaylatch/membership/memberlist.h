// The list of routers, as a state machine without I/O.
//
// In the manner of SWIM (Das, Gupta, Motivala 2002): a router probes one other
// every period, asks a few others to probe it if it doesn't answer, suspects it
// if these fail too and declares it dead if it doesn't refute the suspicion in
// time. What changes travels on the probes. The platform's list of VMs and the
// settings only seed the list.
//
//     MemberList members(options, self, now);
//     members.onSeeds(endpoints);
//     members.onTick(now);            // at nextDeadline() or every heartbeat
//     for (auto &it : members.takeActions()) ...
//     publish(members.view());
//
// Each router probes a small set: its next few routers on a ring in hash order,
// so that everybody is watched, and some others that change slowly, so that news
// reaches all in a logarithmic number of steps over few connections.
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
    base::Duration heartbeat = base::milliseconds{500}; // one probe each
    base::Duration probeTimeout = base::milliseconds{200}; // until others are asked; below heartbeat
    base::Duration suspicionTimeout = base::seconds{2}; // until a suspect is dead; grows with the logarithm of the members
    base::Duration reshuffleInterval = base::seconds{10}; // until one of the probed is exchanged
    base::Duration reconnectInterval = base::seconds{2}; // between probes of a dead member or seed
    base::Duration deadRetention = base::hours{2}; // then a dead member is forgotten
    base::Duration syncInterval = base::seconds{1}; // between pages asked for while tables differ
    base::Duration syncQuietTime = base::seconds{10}; // without news until differing tables are compared
    std::uint32_t ringProbes = 2; // next routers in hash order
    std::uint32_t randomProbes = 6;
    std::uint32_t indirectProbes = 3; // routers asked to probe another
    std::uint32_t maxUpdates = 8; // records on one message
    std::uint32_t pageRecords = 40; // records on one page of the table
    std::size_t maxMembers = 8'192; // beyond it the longest dead are forgotten, then news of new ones dropped
    std::uint64_t seed = 1; // of random choices
};

using MemberMessage = std::variant<Probe, ProbeAck, IndirectProbe, TableRequest, TablePage>;

// Where to send: a member, or a seed of which only the endpoint is known.
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

// A message showed a member's revision.
struct RevisionSeen
{
    base::RouterId member;
    base::Revision revision;
};

using MemberAction = std::variant<SendMember, MemberChanged, RevisionSeen>;

// A member as other parts see it.
struct MemberView
{
    MemberRecord record;
    base::Revision revision; // last seen in a message of its own; may lag
};

// Immutable list for other threads, ordered by id.
struct MembershipView
{
    base::RouterId self;
    std::vector<MemberView> members; // this router included, dead ones left out

    // Returns how many are alive or suspect.
    [[nodiscard]] std::size_t liveCount() const;
    // Returns the routers of a failure domain that take duties, by rank: in rendezvous
    // order for a duty's name, so that all routers with the same view agree.
    [[nodiscard]] std::vector<base::RouterId> ranked(std::string_view duty, const base::FailureDomain &domain) const;
    // Tells whether this router is among the first n of a failure domain for a duty.
    [[nodiscard]] bool isSelfAmongFirst(std::size_t n, std::string_view duty, const base::FailureDomain &domain) const;
};

class MemberList
{
public:
    // `self` has the state Alive and a life; the time in milliseconds will do, because a
    // router that finds a greater life of itself with others goes beyond it.
    MemberList(MemberListOptions options, MemberRecord self, base::TimePoint now);

    // Endpoints from settings and from the platform's list, to be asked if they are no members.
    void onSeeds(std::span<const base::Endpoint> seeds);
    // Member records known from elsewhere, such as a snapshot.
    void onRecords(std::span<const MemberRecord> records, base::TimePoint now);
    void onMessage(const MemberMessage &message, base::TimePoint now);
    void onTick(base::TimePoint now);
    // This router's configuration revision, for its messages.
    void setRevision(base::Revision revision);
    // Announces the planned stop; the router stays in the list as Leaving.
    void leave(base::TimePoint now);
    // Announces the end of a planned stop, so that nobody has to suspect.
    void depart(base::TimePoint now);

    [[nodiscard]] std::vector<MemberAction> takeActions();
    [[nodiscard]] base::TimePoint nextDeadline() const;
    [[nodiscard]] std::shared_ptr<const MembershipView> view() const;
    [[nodiscard]] const MemberRecord &self() const;
    // Members that this router probes now.
    [[nodiscard]] std::vector<base::RouterId> probeTargets() const;
    // How another router is seen; nothing if it is unknown.
    [[nodiscard]] std::optional<MemberState> stateOf(const base::RouterId &id) const;
    // All records, dead ones included.
    [[nodiscard]] std::vector<MemberRecord> records() const;
    [[nodiscard]] MemberDigest digest() const;

private:
    struct Member
    {
        MemberRecord record;
        base::Revision revision;
        base::TimePoint since; // of the state
    };
    // A probe without an answer yet.
    struct PendingProbe
    {
        MemberAddress target;
        base::TimePoint sentAt;
        bool isIndirect = false; // others were asked
    };
    // A probe on behalf of another router.
    struct RelayedProbe
    {
        std::uint64_t number = 0; // of the asking router
        MemberAddress requester;
        base::TimePoint sentAt;
    };
    // Whether a record taken over is told to others.
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
    std::set<base::Endpoint> m_seeds; // that are no members
    std::vector<base::RouterId> m_probeTargets;
    std::size_t m_nextTarget = 0;
    bool m_isTargetListStale = true; // members came or went since m_probeTargets was chosen
    std::map<std::uint64_t, PendingProbe> m_pendingProbes; // by number; ends within two heartbeats
    std::map<std::uint64_t, RelayedProbe> m_relayedProbes; // by own number; ends within two heartbeats
    std::uint64_t m_lastNumber = 0;
    std::deque<base::RouterId> m_updates; // whose records go on messages next, the keys of m_transmissions
    std::map<base::RouterId, std::uint32_t> m_transmissions; // how often each was sent
    base::TimePoint m_nextHeartbeat;
    base::TimePoint m_nextReshuffle;
    base::TimePoint m_nextReconnect;
    std::set<base::RouterId> m_suspects; // members in that state
    // A cut that heals: the table of a peer from its other side is read page by page.
    struct PartitionRecovery
    {
        base::RouterId peer;
        base::TimePoint deadSince; // deaths from here on came of the cut
        base::RouterId cursor; // last id of the page read last
        base::TimePoint requestedAt;
        std::uint32_t unanswered = 0; // requests for one page
    };
    std::optional<PartitionRecovery> m_recovery;
    base::TimePoint m_deathSuppressionEnd; // deaths are not told to others: they may come of a cut
    base::RouterId m_syncCursor; // last id of the page compared last
    base::TimePoint m_syncRequestedAt; // when a page was asked for last
    base::TimePoint m_lastChangeAt; // when a record changed last
    base::TimePoint m_lastTick;
    bool m_isDeparted = false;
    std::vector<MemberAction> m_actions;
    mutable std::shared_ptr<const MembershipView> m_view; // nullptr if a change made it old
};

} // namespace carawaylatch::membership
