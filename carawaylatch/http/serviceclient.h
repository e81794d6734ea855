// Calls plain services over HTTP: implements orders::ServiceConnection with
// cpp-httplib.
#pragma once

#include "carawaylatch/base/time.h"
#include "carawaylatch/orders/serviceconnection.h"

namespace carawaylatch::http
{

class ServiceClient : public orders::ServiceConnection
{
public:
    explicit ServiceClient(base::Duration connectTimeout);

    // Unavailable: nothing was sent. Overloaded: the service responded 503, nothing ran.
    // Unclear: the response was lost and the call may have run.
    [[nodiscard]] base::Result<orders::ServiceAnswer> call(const orders::ServiceRequest &request) override;

private:
    const base::Duration m_connectTimeout;
};

} // namespace carawaylatch::http
