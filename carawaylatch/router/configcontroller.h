// Controller of the configuration: runs the distributor, and a thread that watches
// the head object in the platform's store while this router is one of the watchers
// of its failure domain.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "carawaylatch/config/configstore.h"
#include "carawaylatch/config/distributor.h"
#include "carawaylatch/router/controlstate.h"
#include "carawaylatch/router/peerbus.h"

namespace carawaylatch::router
{

// Control thread only, except for watch().
class ConfigController
{
public:
    // Called for each greater revision that this software version can read.
    using InForceHandler = std::function<void(std::shared_ptr<const config::Tables> tables, base::TimePoint now)>;

    // All outlive the controller.
    ConfigController(const ControllerDependencies &dependencies, PeerBus &bus, InForceHandler onInForce);

    void start();
    void stop();
    void onMembers(const membership::MembershipView &members, base::TimePoint now);
    void onPeerRevision(const base::RouterId &peer, base::Revision revision, base::TimePoint now);
    // Rows from a snapshot received from a peer or read from the platform.
    void onRows(const config::RowSet &rows, base::TimePoint now);
    [[nodiscard]] base::Revision revision() const;
    [[nodiscard]] std::shared_ptr<const config::RowSet> rows() const;

private:
    void executeActions(base::TimePoint now);
    void onConfigInForce(const config::ConfigInForce &inForce, base::TimePoint now);
    // Body of m_watcher.
    void watch(const std::stop_token &stop);
    void loadAndWatch(config::ConfigStore &store, const std::stop_token &stop);

    const ControllerDependencies &m_dependencies;
    PeerBus &m_bus;
    const InForceHandler m_onInForce;
    config::Distributor m_distributor;
    std::atomic<bool> m_isWatcher = false;
    std::jthread m_watcher;
};

} // namespace carawaylatch::router
