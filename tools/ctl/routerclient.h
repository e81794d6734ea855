// Client interface of a router's operators' port.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"

namespace carawaylatch::ctl
{

// Request of POST /v1/explain: the request of a client.
struct ExplainRequest
{
    std::string customerKey;
    std::string trafficClass; // empty for the default
    std::string body; // as the client would send it
};

class RouterClient
{
public:
    virtual ~RouterClient() = default;
    // These return the JSON body of the response. Error Unavailable: the router was not reached.
    [[nodiscard]] virtual base::Result<std::string> status() = 0;
    [[nodiscard]] virtual base::Result<std::string> drain(std::string_view upstream) = 0;
    [[nodiscard]] virtual base::Result<std::string> undrain(std::string_view upstream) = 0;
    [[nodiscard]] virtual base::Result<std::string> explain(const ExplainRequest &request) = 0;
};

// Returns a client of one router over HTTP.
[[nodiscard]] std::unique_ptr<RouterClient> makeHttpRouterClient(const base::Endpoint &router);

} // namespace carawaylatch::ctl
