// Stand-in of the platform: the object API over a MemoryStore, a VM list that
// lags, and faults by an administrator's call (docs/design/wire.md).
#pragma once

#include <memory>

#include "carawaylatch/http/httpserver.h"
#include "carawaylatch/platform/memorystore.h"

namespace carawaylatch::standin
{

struct PlatformOptions
{
    base::Endpoint endpoint{"127.0.0.1", 0};
    base::Duration listLag = base::seconds{2};
};

class Platform
{
public:
    explicit Platform(const PlatformOptions &options);
    ~Platform();

    [[nodiscard]] bool start();
    void stop();
    [[nodiscard]] const base::Endpoint &endpoint() const;
    // As POST /admin/faults: mode up, down, slow or lose_answers; count 0 for all calls; domain "" for all callers.
    void injectFault(std::string_view mode, std::uint64_t count, std::string_view domain);
    // The store behind the API, for tests that look at it directly.
    [[nodiscard]] platform::MemoryStore &store();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::standin
