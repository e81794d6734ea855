// Interface to a connection to a plain service, as orders need it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"

namespace carawaylatch::orders
{

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct ServiceRequest
{
    base::AttemptId attempt;
    std::string requestId;
    base::UpstreamId upstream;
    base::Endpoint endpoint;
    std::string method;
    std::string path;
    std::string contentType;
    std::string_view body; // outlives the call
    std::string orderKey; // empty for idempotent calls
    base::Duration timeout{};
};

struct ServiceAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    base::AttemptId attempt; // echoed by the service
    base::Incarnation incarnation;
};

class ServiceConnection
{
public:
    virtual ~ServiceConnection() = default;
    // Sends the request once and returns the answer. Unavailable: nothing was sent,
    // nothing ran. Overloaded: the service refused, nothing ran. Any other error: the
    // request may have run.
    [[nodiscard]] virtual base::Result<ServiceAnswer> call(const ServiceRequest &request) = 0;
};

} // namespace carawaylatch::orders
