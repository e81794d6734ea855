// Calls to plain services over HTTP: orders::ServiceConnection on cpp-httplib.
#pragma once

#include "carawaylatch/base/time.h"
#include "carawaylatch/orders/serviceconnection.h"

namespace carawaylatch::http
{

class ServiceClient : public orders::ServiceConnection
{
public:
    explicit ServiceClient(base::Duration connectTimeout);

    [[nodiscard]] base::Result<orders::ServiceAnswer> call(const orders::ServiceRequest &request) override;

private:
    const base::Duration m_connectTimeout;
};

} // namespace carawaylatch::http
