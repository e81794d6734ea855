// Controller of the configuration: the distributor, and the thread that watches
// the platform's head object while this router is one of its domain's watchers.
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

// Control thread, but for the watching thread.
class ConfigController
{
public:
    // Told of each greater revision that this version can read.
    using InForceHandler = std::function<void(std::shared_ptr<const config::Tables> tables, base::TimePoint now)>;

    // All outlive the controller.
    ConfigController(const ControlParts &parts, PeerBus &bus, InForceHandler onInForce);

    void start();
    void stop();
    void onMembers(const membership::MembershipView &members, base::TimePoint now);
    void onPeerRevision(const base::RouterId &peer, base::Revision revision, base::TimePoint now);
    // Rows from a snapshot of a peer or of the platform.
    void onRows(const config::RowSet &rows, base::TimePoint now);
    [[nodiscard]] base::Revision revision() const;
    [[nodiscard]] std::shared_ptr<const config::RowSet> rows() const;

private:
    void carryOut(base::TimePoint now);
    void carryOut(const config::ConfigInForce &inForce, base::TimePoint now);
    // The watching thread.
    void watch(const std::stop_token &stop);
    void watchOnce(config::ConfigStore &store, const std::stop_token &stop);

    const ControlParts &m_parts;
    PeerBus &m_bus;
    const InForceHandler m_onInForce;
    config::Distributor m_distributor;
    std::atomic<bool> m_isWatcher = false;
    std::jthread m_watcher;
};

} // namespace carawaylatch::router
