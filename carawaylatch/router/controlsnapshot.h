// Immutable state that the control thread publishes to the traffic threads. A reader
// always gets a complete snapshot, so that its tables and views are consistent.
#pragma once

#include <memory>
#include <string>

#include "carawaylatch/base/snapshotpointer.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/membership/memberlist.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::router
{

// Whether new requests are accepted. /readyz reports ready only for Ready.
enum class ServingState {
    NotReady, // configuration or upstreams are missing
    Ready,
    Draining, // the shutdown has started; requests that still arrive are served
    Refusing, // new requests are refused as not run
};

struct ControlSnapshot
{
    std::shared_ptr<const config::Tables> tables; // nullptr before the first configuration
    std::shared_ptr<const upstreams::UpstreamView> upstreams; // never nullptr
    std::shared_ptr<const membership::MembershipView> members; // nullptr before the first view
    ServingState serving = ServingState::NotReady;
    std::string notReadyMessage; // empty when ready
};

// The latest snapshot. Written by the control thread, read by all threads.
class ControlSnapshotPointer : public base::SnapshotPointer<ControlSnapshot>
{
public:
    ControlSnapshotPointer()
        : SnapshotPointer(std::make_shared<const ControlSnapshot>(
            ControlSnapshot{nullptr, std::make_shared<const upstreams::UpstreamView>(), nullptr, ServingState::NotReady, "starting"}))
    {
    }
};

} // namespace carawaylatch::router
