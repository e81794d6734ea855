// For each kind of object, until when this router was certainly told of all changes, by the store or by a reader.
//
// A watch is answered as soon as there is a change, so a router with a watch in flight knows of all changes up to when the
// store last answered any of its calls: the watch itself, those of the other kinds, or the lease's. Without a watch in flight, in
// the pause after changes or after a call that failed, this time stands still. A watch whose answer is overdue shows that the
// store may have been silent since it was sent, and that answers to all watches in flight may be lost; what calls on other
// connections tell counts for none of them then, until they are sent again.
//
// A router that passes changes on tells its followers this time, and stops passing changes on once it is too long ago. A
// follower counts what a reader tells only if the reader has no changes that the follower does not know. Once its own time for
// a kind is too long ago, it reads the store. How old each table may get is thereby bounded by two times, whatever
// the number of readers that are late, silent or gone.
//
// This is no proof for the age by which the configuration is judged (TableAge): the watch's own connection may have been lost
// unnoticed. A state machine without I/O; times are those of TableAge::bootTime().
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"

namespace carawaylatch::gateway
{

class StoreContact
{
public:
    // For the way of a call to the store and back. A call that is not answered in time failed, and one that is repeated at once,
    // take less together.
    static constexpr base::Duration MaxCallDelay = base::milliseconds{300};

    // All objects of a kind were read; the first call for them was sent at this time.
    void onListed(ObjectKind kind, base::Duration sentAt);
    // The watch returns after `wait` at the latest.
    void onWatchSent(ObjectKind kind, base::Duration now, base::Duration wait);
    void onWatchAnswered(ObjectKind kind, base::Duration now);
    void onWatchFailed(ObjectKind kind, base::Duration now);
    // The store has answered a call for something else.
    void onAnswered(base::Duration now);
    // A reader was told of all changes until this time, and this router knows them.
    void onReaderTold(ObjectKind kind, base::Duration until);
    // A reader was certainly told of all changes until this time only, whatever it has said before.
    void onReaderDoubted(ObjectKind kind, base::Duration until);

    // By the store itself; nothing if the router has not read the kind from the store.
    [[nodiscard]] std::optional<base::Duration> toldUntil(ObjectKind kind, base::Duration now) const;
    // By the store or a reader; nothing if it has not read the kind.
    [[nodiscard]] std::optional<base::Duration> knownUntil(ObjectKind kind, base::Duration now) const;
    // True if the answer of a watch in flight is overdue.
    [[nodiscard]] bool isSilent(base::Duration now) const;
    // Watches in flight whose answers may be lost.
    [[nodiscard]] std::vector<ObjectKind> doubtfulWatches() const;
    // Watches in flight that were sent before this time.
    [[nodiscard]] std::vector<ObjectKind> watchesSentBefore(base::Duration time) const;

private:
    struct Kind
    {
        bool isWatching = false;
        bool isDoubtful = false; // the watch in flight was sent before a silence of the store
        base::Duration sentAt{}; // of the watch in flight
        base::Duration dueAt{}; // its answer
        std::optional<base::Duration> toldUntil;
        std::optional<base::Duration> toldByReaderUntil;
    };
    // When the first watch in flight was sent whose answer is overdue.
    [[nodiscard]] std::optional<base::Duration> silentSince(base::Duration now) const;
    template <typename Condition>
    [[nodiscard]] std::vector<ObjectKind> watchesInFlight(Condition condition) const;

    std::map<ObjectKind, Kind> m_kinds;
};

} // namespace carawaylatch::gateway
