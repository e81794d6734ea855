// A snapshot is a few pointers and a string, so copying it for each change is cheap.
#include "carawaylatch/router/controlstate.h"

#include <utility>

namespace carawaylatch::router
{

ControlState::ControlState(ControlSnapshotPointer &published)
    : m_published(published)
    , m_snapshot(*published.load())
{
}

void ControlState::setTables(std::shared_ptr<const config::Tables> tables)
{
    m_snapshot.tables = std::move(tables);
    publish();
}

void ControlState::setUpstreams(std::shared_ptr<const upstreams::UpstreamView> view)
{
    if (view != m_snapshot.upstreams) {
        m_snapshot.upstreams = std::move(view);
        publish();
    }
}

void ControlState::setMembers(std::shared_ptr<const membership::MembershipView> view)
{
    if (view != m_snapshot.members) {
        m_snapshot.members = std::move(view);
        publish();
    }
}

void ControlState::setServing(ServingState serving, std::string notReadyMessage)
{
    m_snapshot.serving = serving;
    m_snapshot.notReadyMessage = std::move(notReadyMessage);
    publish();
}

const ControlSnapshot &ControlState::snapshot() const
{
    return m_snapshot;
}

void ControlState::publish()
{
    m_published.store(std::make_shared<const ControlSnapshot>(m_snapshot));
}

} // namespace carawaylatch::router
