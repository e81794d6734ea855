// Stand-in of the KV cache store: manifests by block key.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "carawaylatch/http/httpserver.h"

namespace carawaylatch::standin
{

class KvStore
{
public:
    explicit KvStore(const base::Endpoint &endpoint);

    [[nodiscard]] bool start();
    void stop();
    [[nodiscard]] const base::Endpoint &endpoint() const;

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_manifests; // by block key in hex; guarded by m_mutex
    http::HttpServer m_httpServer;
};

} // namespace carawaylatch::standin
