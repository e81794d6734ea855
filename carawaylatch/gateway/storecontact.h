// For each kind of object, until when a router that watches the store has certainly been told of all changes.
//
// A watch is answered as soon as there is a change, so a router with a watch in flight knows of all changes up to when the
// store last answered any of its calls: the watch itself, those of the other kinds, or the lease's. Without a watch in flight, in
// the pause after changes or after a call that failed, this time stands still. A router that passes changes on stops doing so
// once it is too long ago; its followers ask another one. How old each table may get is thereby bounded in one place, and by
// the link to the store, whatever the wait of the watch of that table is.
//
// This is no proof for the age by which the configuration is judged (TableAge): the watch's own connection may have been lost
// unnoticed. A state machine without I/O; times are those of TableAge::bootTime().
#pragma once

#include <map>
#include <optional>

#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"

namespace carawaylatch::gateway
{

class StoreContact
{
public:
    // All objects of a kind were read; the first call for them was sent at this time.
    void onListed(ObjectKind kind, base::Duration sentAt);
    void onWatchSent(ObjectKind kind);
    void onWatchAnswered(ObjectKind kind, base::Duration now);
    void onWatchFailed(ObjectKind kind);
    // The store has answered a call for something else.
    void onAnswered(base::Duration now);
    // Nothing if the router has not read the kind from the store.
    [[nodiscard]] std::optional<base::Duration> toldUntil(ObjectKind kind) const;

private:
    struct Kind
    {
        bool isWatching = false;
        std::optional<base::Duration> toldUntil;
    };
    std::map<ObjectKind, Kind> m_kinds;
};

} // namespace carawaylatch::gateway
