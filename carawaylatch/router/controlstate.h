// State shared by the controllers: owned by the control thread and published to the
// other threads as immutable snapshots.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/base/eventloop.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/config/settings.h"
#include "carawaylatch/router/controlsnapshot.h"
#include "carawaylatch/router/routingstate.h"
#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::router
{

// Dependencies of every controller; all outlive the controllers.
struct ControllerDependencies
{
    const config::Settings &settings;
    const base::Clock &clock;
    const base::Incarnation incarnation;
    base::EventLoop &loop;
    store::ObjectStore &objects;
    RoutingState &routingState;
    ControlSnapshotPointer &published;
};

// The current state. Each setter publishes a new snapshot, setUpstreams() and
// setMembers() only if the view is another one. Control thread only.
class ControlState
{
public:
    explicit ControlState(ControlSnapshotPointer &published);

    void setTables(std::shared_ptr<const config::Tables> tables);
    void setUpstreams(std::shared_ptr<const upstreams::UpstreamView> view);
    void setMembers(std::shared_ptr<const membership::MembershipView> view);
    void setServing(ServingState serving, std::string notReadyMessage);

    [[nodiscard]] const ControlSnapshot &snapshot() const;

private:
    void publish();

    ControlSnapshotPointer &m_published;
    ControlSnapshot m_snapshot;
};

} // namespace carawaylatch::router
