// Chooses among the plain services of a pool for one call.
#pragma once

#include <vector>

#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/router/routeplacer.h"

namespace carawaylatch::router
{

class ServiceChooser : public orders::UpstreamChooser
{
public:
    // Both outlive the chooser.
    ServiceChooser(const PlacingParts &parts, const RequestContext &context);

    [[nodiscard]] base::Result<orders::ChosenUpstream> choose(const std::vector<base::UpstreamId> &refused) override;

private:
    const PlacingParts &m_parts;
    const RequestContext &m_context;
    upstreams::InflightTable::Ticket m_ticket; // of the call under way
};

} // namespace carawaylatch::router
