// Stand-in for the KV cache store in tests: an HTTP server that stores manifests
// by block key.
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

    // Returns false if the address can't be bound.
    [[nodiscard]] bool start();
    void stop();
    [[nodiscard]] const base::Endpoint &endpoint() const;

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_manifests; // by block key in hex; guarded by m_mutex
    http::HttpServer m_httpServer;
};

} // namespace carawaylatch::standin
