// Reads what others wrote into the store.
//
// Every function gives InvalidArgument with the problem for a text that it can't
// use; the caller logs it and leaves the object out.
#pragma once

#include <string_view>
#include <utility>

#include "carawaylatch/base/error.h"
#include "carawaylatch/proxy/fleet.h"

namespace carawaylatch::gateway
{

class FleetDecoder
{
public:
    virtual ~FleetDecoder() = default;
    [[nodiscard]] virtual base::Result<proxy::RouteTable> decodeTable(std::string_view text) const = 0;
    [[nodiscard]] virtual base::Result<proxy::Upstream> decodeUpstream(std::string_view name, std::string_view text) const = 0;
    [[nodiscard]] virtual base::Result<std::pair<base::ModelId, base::WeightsVersion>> decodeWeights(std::string_view text) const = 0;
};

} // namespace carawaylatch::gateway
