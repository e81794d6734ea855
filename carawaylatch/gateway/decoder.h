// Decodes objects that other programs wrote into the object store.
//
// Every function returns InvalidArgument with the reason for a text that it can't decode;
// the caller logs the reason and ignores the object.
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
