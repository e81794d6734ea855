// Bounds for when a change of the store that this router reads was made.
//
// Time limits that changes set, such as that for older weights, count from when the store
// accepted the change. A router may read it much later: it was suspended, its connection was
// dead, or its reader was late. The bound is the last time at which the state before the
// change was certainly the newest:
//
//   - when the call was sent that last confirmed this state, or
//   - while a call is held open and the control thread runs, the last but one heartbeat:
//     an answer that had arrived by then would have been read before the last one.
//
// An answer may be on its way for longer than that, for instance behind a lossy link. The store has one
// count of revisions for all kinds, so an answer to any other call that tells of the change's revision, or
// of a later one, shows this if it was read before. Then the bound is when the last call was sent whose
// answer told of an earlier revision.
//
// After a failed call only the first holds until the next answer, since an answer may have been
// lost meanwhile. After the thread did not run for long, heartbeats before that count only if the
// same call is answered.
//
// Entries that expired while the store was unavailable are written again soon after its
// return. The class bounds the return, too: the store was back when it first answered any call
// after the last one for the kind that failed. The next call for the kind itself may follow much
// later, after the pause between retries. Nor was the store back much later than when the last call was sent that failed,
// as far as time limits go: a router that is back counts as undisturbed some seconds after that, whenever it notices.
// Only calls of this router that failed make an outage: a reader that was cut off from the store may have been the only one.
//
// An entry expires in an outage only if its writer can't write it for a time that is longer than that between two of its
// writes. So the class tells how long the store may have been out of reach at most: from the last contact, by any call or
// through a reader, to the return. A state machine without I/O. All times are those of TableAge::bootTime(), which count
// suspension.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"

namespace carawaylatch::gateway
{

class ChangeTimes
{
public:
    static constexpr base::Duration HeartbeatInterval = base::milliseconds{50};
    // Longer than a heartbeat is late on a VM that is short of processor time.
    static constexpr base::Duration MaxHeartbeatGap = base::milliseconds{250};
    // From when the last call that failed was sent to the return, at most; about as long as a pause between retries.
    static constexpr base::Duration MaxReturnDelay = base::milliseconds{800};

    // Call it at each HeartbeatInterval. Returns the time since the last call if it is longer
    // than MaxHeartbeatGap.
    std::optional<base::Duration> onHeartbeat(base::Duration now);
    void onCallSent(ObjectKind kind, base::Duration now);
    void onCallFailed(ObjectKind kind);
    // The store has answered the call. Returns the earliest time at which the changes in the
    // answer can have been made; nothing if no state of the kind was read before. `changedIn` is the
    // revision of the first of them, if it is known.
    std::optional<base::Duration> onAnswered(ObjectKind kind, std::optional<std::uint64_t> changedIn = std::nullopt);
    // A call for any kind that was sent at `sentAt` is answered: the revision was `revision` in between.
    void onRevisionSeen(std::uint64_t revision, base::Duration sentAt, base::Duration now);
    // A reader has answered. Its state was the newest at `confirmedAt`; the changes were made
    // at `changedAfter` or later if it tells.
    std::optional<base::Duration> onRelayed(ObjectKind kind, base::Duration confirmedAt, std::optional<base::Duration> changedAfter);

    // The store was in reach at this time: it answered a call that is not for one of the kinds, or a reader that told of it.
    void onContact(base::Duration at);
    // The store did not answer a call, or refused it.
    void onStoreFailed(ObjectKind kind, base::Duration now);
    // The store answered a call.
    void onStoreAnswered(ObjectKind kind, base::Duration at);
    // A reader answered. The store confirmed its state at `confirmedAt`, and was back for it at `returnedAt` if the
    // reader tells. Both end an outage that this router has seen itself; one that only the reader had is none of this router.
    void onReaderAnswered(ObjectKind kind, base::Duration confirmedAt, std::optional<base::Duration> returnedAt);
    // The store is known to have returned at this time or before, after a time that is not known.
    void onStoreReturned(ObjectKind kind, base::Duration at);
    // When the first of the calls failed that have failed since the last answer.
    [[nodiscard]] std::optional<base::Duration> storeLostAt(ObjectKind kind) const;
    // Nothing if no call has failed since the start.
    [[nodiscard]] std::optional<base::Duration> storeReturnedAt(ObjectKind kind) const;
    // For how long the store may have been out of reach before that return, at most.
    [[nodiscard]] std::optional<base::Duration> outageDuration(ObjectKind kind) const;

private:
    struct Kind
    {
        std::optional<base::Duration> newestAt; // the state was certainly the newest
        std::optional<base::Duration> sentAt; // of the call in flight
        std::optional<base::Duration> heldUntil; // the call in flight was not answered by then; counts once it is answered
        bool mayHaveMissedAnswer = true; // heartbeats prove nothing about the call in flight
        std::optional<base::Duration> storeLostAt;
        std::optional<base::Duration> otherAnsweredAt; // first answer of another kind after the last failed call was sent
        std::optional<base::Duration> storeReturnedAt;
        base::Duration contactAt{}; // before the first call that failed
        base::Duration outage{}; // that ended with storeReturnedAt
    };
    static void endOutage(Kind &kind, base::Duration returnedAt, base::Duration outage);
    // The latest time at which the state of the kind was certainly the newest.
    [[nodiscard]] std::optional<base::Duration> newestAt(const Kind &kind) const;

    struct SeenRevision
    {
        std::uint64_t revision = 0;
        base::Duration sentAt{}; // of the call
        base::Duration answeredAt{};
    };
    static constexpr std::size_t MaxSeenRevisions = 256; // more than the calls of the longest watch
    // An answer that was read before `at` tells of this revision or of a later one.
    [[nodiscard]] bool isSeenBefore(std::uint64_t revision, base::Duration at) const;

    std::map<ObjectKind, Kind> m_kinds;
    std::deque<SeenRevision> m_seenRevisions; // the latest ones
    base::Duration m_contactAt{}; // last time at which the store was in reach
    base::Duration m_failedCallSentAt{}; // of the last call that failed
    std::optional<base::Duration> m_lastHeartbeat;
    base::Duration m_lastButOneHeartbeat{};
};

} // namespace carawaylatch::gateway
