// Calls to a router's operators' port over cpp-httplib.
//
// Draining only sets a mark, so that a call whose response was lost can be retried; the
// error message says so. The message of an error body of the router is passed on
// unchanged.
#include "tools/ctl/routerclient.h"

#include <nlohmann/json.hpp>

#include "carawaylatch/base/time.h"
#include "carawaylatch/http/checkedclient.h"

namespace carawaylatch::ctl
{

namespace
{

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusUnauthorized = 401;
constexpr int StatusUnavailable = 503;

std::string errorMessage(const std::string &body)
{
    const auto value = json::parse(body, nullptr, false);
    if (value.is_object() && value.contains("error") && value["error"].is_object()) {
        return value["error"].value("message", std::string("no message"));
    }
    return body.empty() ? "no message" : body.substr(0, 200);
}

base::ErrorKind kindOf(int status)
{
    if (status == StatusUnauthorized) {
        return base::ErrorKind::Unauthenticated;
    }
    return status == StatusUnavailable ? base::ErrorKind::Overloaded : base::ErrorKind::Forbidden;
}

class HttpRouterClient : public RouterClient
{
public:
    explicit HttpRouterClient(const base::Endpoint &router)
        : m_address(router.address + ":" + std::to_string(router.port))
        , m_client(router.address, router.port)
    {
        m_client.set_connection_timeout(base::seconds{2});
        m_client.set_read_timeout(base::seconds{10});
    }

    base::Result<std::string> status() override
    {
        return result(m_client.Get("/v1/status"));
    }

    base::Result<std::string> drain(std::string_view upstream) override
    {
        return result(m_client.Post("/v1/drain", json{{"upstream", upstream}}.dump(), "application/json"));
    }

    base::Result<std::string> undrain(std::string_view upstream) override
    {
        return result(m_client.Post("/v1/undrain", json{{"upstream", upstream}}.dump(), "application/json"));
    }

    base::Result<std::string> explain(const ExplainRequest &request) override
    {
        httplib::Headers headers{{"Authorization", "Bearer " + request.customerKey}};
        if (!request.trafficClass.empty()) {
            headers.emplace("X-Traffic-Class", request.trafficClass);
        }
        return result(m_client.Post("/v1/explain", headers, request.body, "application/json"));
    }

private:
    base::Result<std::string> result(const httplib::Result &response) const
    {
        if (!response) {
            return base::fail(base::ErrorKind::Unavailable, "router " + m_address + " was not reached (" + httplib::to_string(response.error())
                                                                + "); check --router, which takes the operators' port, and try again");
        }
        if (response->status != StatusOk) {
            return base::fail(kindOf(response->status), "router " + m_address + ": " + errorMessage(response->body));
        }
        return response->body;
    }

    std::string m_address;
    http::CheckedClient m_client;
};

} // namespace

std::unique_ptr<RouterClient> makeHttpRouterClient(const base::Endpoint &router)
{
    return std::make_unique<HttpRouterClient>(router);
}

} // namespace carawaylatch::ctl
