// The control thread's table of upstreams: configuration, health, load,
// incarnations, leaving marks and ejection, from which views are built.
//
// A state machine without I/O: takes events and the current time, returns actions.
// The caller polls /v1/load of each upstream every PollPeriod and reports the answer
// or the failure; traffic threads report failed attempts through the control queue.
//
//     registry.configure(tables, now);
//     registry.onLoadReport(id, report, now);
//     registry.onTick(now);                       // at least every ViewPeriod
//     for (auto &it : registry.takeActions()) ... // cache index, peers
//     publish(registry.view());
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/store/objectstore.h"
#include "carawaylatch/upstreams/leavingmarks.h"
#include "carawaylatch/upstreams/loadreport.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::upstreams
{

constexpr base::Duration PollPeriod = base::milliseconds{250};

enum class AttemptOutcome {
    Succeeded,
    NotSent, // the connection could not be established
    Failed, // broke off, timed out or got an invalid answer after it was sent
    RefusedLeaving, // the upstream refused because it is leaving
    RefusedOther, // overloaded or loading; says nothing about health
};

// Discard what is known of the slot's cache; later entries belong to `incarnation`.
struct AdoptIncarnation
{
    Slot slot;
    base::UpstreamId upstream;
    base::Incarnation incarnation; // zero: the slot is free
    std::uint64_t capacityBlocks = 0;
};

// Send this mark to the peers at once.
struct AnnounceMark
{
    LeavingMark mark;
};

// Ask a peer for all its marks, then call importMarks and onMarksSynchronised.
struct RequestMarks
{
};

using RegistryAction = std::variant<AdoptIncarnation, AnnounceMark, RequestMarks>;

class Registry
{
public:
    // Applies the upstreams of accepted tables; those no longer listed get no new requests.
    void configure(const config::Tables &tables, base::TimePoint now);
    // Handles a load report of the upstream. A report of a past incarnation is ignored.
    void onLoadReport(const base::UpstreamId &id, const LoadReport &report, base::TimePoint now);
    // Handles a failed poll of /v1/load.
    void onUnreachable(const base::UpstreamId &id, base::TimePoint now);
    // Handles the end of an attempt, reported by traffic threads.
    void onAttempt(const base::UpstreamId &id, base::Incarnation incarnation, AttemptOutcome outcome, base::TimePoint now);
    // Handles a notice that an incarnation of the upstream is leaving. Incarnation
    // zero stands for the current one.
    void onLeaving(const base::UpstreamId &id, base::Incarnation incarnation, LeavingSource source, base::TimePoint now);
    // Revokes a drain for an operator; no effect while the upstream itself or the platform says that it is leaving.
    void onUndrain(const base::UpstreamId &id, base::TimePoint now);
    // Handles the platform's list of VMs, which lags; only state "leaving" is used.
    void onPlatformList(std::span<const store::VmRecord> vms, base::TimePoint now);
    // Merges marks from a peer or a snapshot, some or all.
    void importMarks(std::span<const LeavingMark> marks, base::TimePoint now);
    // Called when a peer has answered RequestMarks in full; makes views usable again after a freeze.
    void onMarksSynchronised(base::TimePoint now);
    [[nodiscard]] std::vector<LeavingMark> exportMarks() const;
    // Updates health and ejection, detects that the process was frozen, and rebuilds
    // the view if a state changed or ViewPeriod is over. Called after each batch of
    // events and at least every ViewPeriod.
    void onTick(base::TimePoint now);

    // Returns the actions since the last call, in order.
    [[nodiscard]] std::vector<RegistryAction> takeActions();
    // Returns the view built last.
    [[nodiscard]] std::shared_ptr<const UpstreamView> view() const;

private:
    struct Entry
    {
        UpstreamStatus status;
        // When the last report arrived; unlike confirmedAt it ignores the report's age.
        base::TimePoint lastReportAt;
        std::uint32_t failedPolls = 0; // failed polls in a row
        std::uint32_t failures = 0; // failed attempts in a row
        std::uint32_t ejections = 0; // in a row; each doubles the ejection time
        base::TimePoint ejectedUntil;
        bool isReportedLeaving = false; // by a load report or refusal of the current incarnation
        bool isListedLeaving = false; // in the platform's last list, whatever the incarnation
        std::vector<base::Incarnation> pastIncarnations; // newest last, at most MaxPastIncarnations
    };

    void adopt(Entry &entry, const LoadReport &report);
    void eject(Entry &entry, base::TimePoint now);
    void markLeaving(const Entry &entry, base::Incarnation incarnation);
    void onPlatformState(Entry &entry, store::VmRecord::State state);
    void remove(const base::UpstreamId &id);
    void addMember(const config::PoolMember &member);
    [[nodiscard]] UpstreamState stateOf(const Entry &entry, base::TimePoint now) const;
    [[nodiscard]] bool mayEject(const Entry &entry, base::TimePoint now) const;
    [[nodiscard]] std::optional<Slot> takeSlot();
    void refreshStates(base::TimePoint now);
    void rebuild(base::TimePoint now);
    [[nodiscard]] PoolView buildPool(const config::Pool &pool, const UpstreamView &view) const;

    std::map<base::UpstreamId, Entry> m_entries;
    std::vector<config::Pool> m_pools;
    LeavingMarks m_marks;
    std::deque<Slot> m_freeSlots; // oldest first, so that a slot is reused as late as possible
    std::uint16_t m_nextSlot = 0;
    std::vector<RegistryAction> m_actions;
    bool m_isDirty = true; // a state changed since the view was built
    bool m_hasNewLoad = false; // load figures changed since the view was built
    base::TimePoint m_lastTick;
    base::TimePoint m_usableFrom;
    std::shared_ptr<const UpstreamView> m_view = std::make_shared<const UpstreamView>();
};

} // namespace carawaylatch::upstreams
