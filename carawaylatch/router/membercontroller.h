// Controller of membership: the member list with its failure detector, and the
// exchange of demand reports and limit shares of customers.
#pragma once

#include <functional>
#include <memory>

#include "carawaylatch/admission/admissioncontroller.h"
#include "carawaylatch/config/distributor.h"
#include "carawaylatch/membership/memberlist.h"
#include "carawaylatch/router/controlstate.h"
#include "carawaylatch/router/peerbus.h"

namespace carawaylatch::router
{

// Control thread only.
class MemberController
{
public:
    using ViewHandler = std::function<void(const membership::MembershipView &view, base::TimePoint now)>;
    using RevisionHandler = std::function<void(const base::RouterId &peer, base::Revision revision, base::TimePoint now)>;

    // All outlive the controller.
    MemberController(const ControllerDependencies &dependencies, ControlState &state, PeerBus &bus, admission::AdmissionController &admissionController,
                     const base::Endpoint &peerEndpoint, ViewHandler onView, RevisionHandler onRevision);

    void start(base::TimePoint now);
    void onPlatformList(std::span<const store::VmRecord> vms, base::TimePoint now);
    void onRecords(std::span<const membership::MemberRecord> records, base::TimePoint now);
    void setRevision(base::Revision revision);
    void leave(base::TimePoint now);
    void depart(base::TimePoint now);
    [[nodiscard]] std::vector<membership::MemberRecord> records() const;
    // Live routers except this one, those of the same failure domain first.
    [[nodiscard]] std::vector<config::DistributionPeer> peers() const;

private:
    template <typename Message>
    void subscribe();
    void advance(base::TimePoint now);
    void sendDemandReport(base::TimePoint now);
    [[nodiscard]] base::Endpoint endpointOf(const base::RouterId &router) const;

    const ControllerDependencies &m_dependencies;
    ControlState &m_state;
    PeerBus &m_bus;
    admission::AdmissionController &m_admissionController;
    const ViewHandler m_onView;
    const RevisionHandler m_onRevision;
    membership::MemberList m_members;
    std::size_t m_nextReportPeer = 0; // counter, modulo peers(): receiver of the next demand report
    base::TimerService::Subscription m_tickTimer;
    base::TimerService::Subscription m_demandReportTimer;
};

} // namespace carawaylatch::router
