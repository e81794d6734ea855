// Stand-in for the platform in tests and benchmarks: the object API over a
// MemoryStore, a VM list with a delay, and fault injection through an
// administration call (docs/design/wire.md).
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
    base::Duration listLag = base::seconds{2}; // delay until a new VM list is visible
};

struct PlatformFault
{
    std::string mode; // up, down, slow or lose_answers
    std::uint64_t count = 0; // calls that fail; zero for all
    std::string domain; // failure domain of the affected callers; empty for all
    std::string prefix; // name prefix of the affected objects; empty for every call
    std::uint64_t skip = 0; // calls that succeed before the first failure
};

class Platform
{
public:
    explicit Platform(const PlatformOptions &options);
    ~Platform();

    // Returns false if the address can't be bound.
    [[nodiscard]] bool start();
    void stop();
    [[nodiscard]] const base::Endpoint &endpoint() const;
    // Has the same effect as POST /admin/faults.
    void injectFault(const PlatformFault &fault);
    // Returns the store behind the API, for tests that access it directly.
    [[nodiscard]] store::MemoryStore &store();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::standin
