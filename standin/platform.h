// Stand-in of the platform: the object API over a MemoryStore, a VM list that
// lags, and faults by an administrator's call (docs/design/wire.md).
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "carawaylatch/http/httpserver.h"
#include "carawaylatch/store/memorystore.h"

namespace carawaylatch::standin
{

struct PlatformOptions
{
    base::Endpoint endpoint{"127.0.0.1", 0};
    base::Duration listLag = base::seconds{2};
};

struct PlatformFault
{
    std::string mode; // up, down, slow or lose_answers
    std::uint64_t count = 0; // calls that meet it; zero for all
    std::string domain; // callers that meet it; empty for all
    std::string prefix; // objects that it concerns; empty for every call
    std::uint64_t skip = 0; // calls that pass unharmed first
};

class Platform
{
public:
    explicit Platform(const PlatformOptions &options);
    ~Platform();

    [[nodiscard]] bool start();
    void stop();
    [[nodiscard]] const base::Endpoint &endpoint() const;
    // As POST /admin/faults.
    void injectFault(const PlatformFault &fault);
    // The store behind the API, for tests that look at it directly.
    [[nodiscard]] store::MemoryStore &store();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::standin
