// Client of the platform's object API over HTTP (docs/design/wire.md).
//
// Connections are pooled. Each call uses its own connection, so a waiting watch
// doesn't block a write. Calls are not retried: a write whose result is unknown
// returns Unclear, and the caller must read back. Thread-safe.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::store
{

// Number of calls since the start, for the metrics of control traffic.
struct PlatformCallCounts
{
    std::uint64_t reads = 0; // includes watches and lists
    std::uint64_t writes = 0; // includes removals
    std::uint64_t failures = 0; // calls without a response or with an unexpected status
};

class HttpObjectStore : public ObjectStore
{
public:
    // `timeout` limits each call; a watch may take its wait time longer.
    HttpObjectStore(base::Endpoint endpoint, base::FailureDomain domain, base::Duration timeout);
    ~HttpObjectStore() override;

    [[nodiscard]] base::Result<Object> read(std::string_view name) override;
    [[nodiscard]] base::Result<Version> write(std::string_view name, std::string_view value, Version expected) override;
    [[nodiscard]] base::Result<void> remove(std::string_view name, Version expected) override;
    [[nodiscard]] base::Result<ObjectChanges> list(std::string_view prefix) override;
    [[nodiscard]] base::Result<ObjectChanges> watch(std::string_view prefix, Version since, base::Duration wait) override;
    [[nodiscard]] base::Result<std::vector<VmRecord>> vms() override;

    // Aborts calls in progress and fails later ones with Unavailable, so that a shutdown
    // doesn't wait for watches.
    void stop();
    [[nodiscard]] PlatformCallCounts calls() const;

private:
    class ConnectionPool;

    std::unique_ptr<ConnectionPool> m_connections;
    std::atomic<std::uint64_t> m_reads = 0;
    std::atomic<std::uint64_t> m_writes = 0;
};

} // namespace carawaylatch::store
