// Stores the manifests in memory as opaque text. The cached state itself is not
// modelled.
#include "standin/kvstore.h"

#include <httplib.h>

namespace carawaylatch::standin
{

namespace
{
constexpr int StatusNotFound = 404;
}

KvStore::KvStore(const base::Endpoint &endpoint)
    : m_httpServer(endpoint)
{
    auto &server = m_httpServer.server();
    server.Put("/v1/kv/([0-9a-f]+)", [this](const httplib::Request &request, httplib::Response &response) {
        const std::lock_guard lock(m_mutex);
        m_manifests[std::string(request.matches[1])] = request.body;
        response.set_content("{}", "application/json");
    });
    server.Get("/v1/kv/([0-9a-f]+)", [this](const httplib::Request &request, httplib::Response &response) {
        const std::lock_guard lock(m_mutex);
        const auto it = m_manifests.find(std::string(request.matches[1]));
        if (it == m_manifests.end()) {
            response.status = StatusNotFound;
            return;
        }
        response.set_content(it->second, "application/json");
    });
}

bool KvStore::start()
{
    return m_httpServer.start();
}

void KvStore::stop()
{
    m_httpServer.stop();
}

const base::Endpoint &KvStore::endpoint() const
{
    return m_httpServer.endpoint();
}

} // namespace carawaylatch::standin
