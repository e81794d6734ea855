// Chooses a service of a pool for each attempt of one call.
#pragma once

#include <vector>

#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/router/completionplacer.h"

namespace carawaylatch::router
{

class ServiceChooser : public orders::UpstreamChooser
{
public:
    // Both outlive the chooser.
    ServiceChooser(const PlacementDependencies &dependencies, const RequestContext &context);

    [[nodiscard]] base::Result<orders::ChosenUpstream> choose(const std::vector<base::UpstreamId> &refused) override;

private:
    const PlacementDependencies &m_dependencies;
    const RequestContext &m_context;
    upstreams::InflightTable::Ticket m_ticket; // of the current attempt
};

} // namespace carawaylatch::router
