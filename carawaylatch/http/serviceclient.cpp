// Sends each call once, on a new connection. If a kept-alive connection turned out to
// be closed, it would be unknown whether the service had read the request.
#include "carawaylatch/http/serviceclient.h"

#include "carawaylatch/http/checkedclient.h"
#include "carawaylatch/http/wirejson.h"

namespace carawaylatch::http
{

namespace
{

constexpr int StatusUnavailable = 503;

std::string contentTypeOf(const httplib::Response &response)
{
    return response.has_header("Content-Type") ? response.get_header_value("Content-Type") : "application/octet-stream";
}

} // namespace

ServiceClient::ServiceClient(base::Duration connectTimeout)
    : m_connectTimeout(connectTimeout)
{
}

base::Result<orders::ServiceAnswer> ServiceClient::call(const orders::ServiceRequest &request)
{
    CheckedClient client(request.endpoint.address, request.endpoint.port);
    client.set_connection_timeout(std::chrono::duration_cast<base::microseconds>(m_connectTimeout));
    client.set_read_timeout(std::chrono::duration_cast<base::microseconds>(std::max<base::Duration>(request.timeout, base::milliseconds{1})));
    client.set_tcp_nodelay(true);
    httplib::Request httpRequest;
    httpRequest.method = request.method;
    httpRequest.path = request.path;
    httpRequest.body = std::string(request.body);
    httpRequest.set_header("X-Attempt-Id", toHex(request.attempt.value));
    httpRequest.set_header("X-Request-Id", request.requestId);
    if (!request.contentType.empty()) {
        httpRequest.set_header("Content-Type", request.contentType);
    }
    if (!request.orderKey.empty()) {
        httpRequest.set_header("X-Order-Key", request.orderKey);
    }
    const httplib::Result result = client.send(httpRequest);
    const std::string upstream = request.upstream.value();
    if (!result && result.error() == httplib::Error::Connection) {
        return base::fail(base::ErrorKind::Unavailable, upstream + " could not be reached; nothing ran");
    }
    if (!result) {
        return base::fail(base::ErrorKind::Unclear, "lost the response of " + upstream + " (" + to_string(result.error()) + "); the call may have run");
    }
    if (result->status == StatusUnavailable) {
        return base::fail(base::ErrorKind::Overloaded, upstream + " refused (" + decodeRefusal(result->body).type + "); nothing ran");
    }
    orders::ServiceAnswer response;
    response.status = result->status;
    response.contentType = contentTypeOf(*result);
    response.body = result->body;
    response.attempt = {fromHex(result->get_header_value("X-Attempt-Id"))};
    response.incarnation = {fromHex(result->get_header_value("X-Incarnation"))};
    return response;
}

} // namespace carawaylatch::http
