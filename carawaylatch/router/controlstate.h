// What controllers share: owned by the control thread, published to the others.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/base/eventloop.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/config/settings.h"
#include "carawaylatch/router/knowledge.h"
#include "carawaylatch/router/published.h"
#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::router
{

// Parts that every controller uses; all outlive the controllers.
struct ControlParts
{
    const config::Settings &settings;
    const base::Clock &clock;
    const base::Incarnation incarnation;
    base::EventLoop &loop;
    store::ObjectStore &objects;
    Knowledge &knowledge;
    Published &published;
};

// The present state; each set function publishes a new snapshot. Control thread only.
class ControlState
{
public:
    explicit ControlState(Published &published);

    void setTables(std::shared_ptr<const config::Tables> tables);
    void setUpstreams(std::shared_ptr<const upstreams::UpstreamView> view);
    void setMembers(std::shared_ptr<const membership::MembershipView> view);
    void setServing(Serving serving, std::string notReadyBecause);

    [[nodiscard]] const ControlSnapshot &snapshot() const;

private:
    void publish();

    Published &m_published;
    ControlSnapshot m_snapshot;
};

} // namespace carawaylatch::router
