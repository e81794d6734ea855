// What the control thread publishes to traffic threads: immutable, taken whole.
#pragma once

#include <memory>
#include <string>

#include "carawaylatch/base/snapshotpointer.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/membership/memberlist.h"
#include "carawaylatch/upstreams/upstreamview.h"

namespace carawaylatch::router
{

// Whether new requests are taken; the balancer is told by /readyz.
enum class ServingState {
    NotReady, // started, configuration or upstreams are missing
    Ready,
    Draining, // a planned stop began; requests that still come are served
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

// The newest snapshot. Written by the control thread, read by all.
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
