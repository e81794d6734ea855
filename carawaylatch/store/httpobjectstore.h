// The platform's object API over HTTP (docs/design/wire.md).
//
// Connections are kept and reused; each call takes one, so that a waiting watch
// never holds up a write. Nothing is retried here: an unclear write is reported
// as Unclear and settled by its caller. Safe for use from any thread.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::store
{

// Calls made since the start, for the metrics of what control costs.
struct PlatformCallCounts
{
    std::uint64_t reads = 0; // watches and lists included
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;
};

class HttpObjectStore : public ObjectStore
{
public:
    // `timeout` bounds each call but a watch, which may take its own wait longer.
    HttpObjectStore(base::Endpoint endpoint, base::FailureDomain domain, base::Duration timeout);
    ~HttpObjectStore() override;

    [[nodiscard]] base::Result<Object> read(std::string_view name) override;
    [[nodiscard]] base::Result<Version> write(std::string_view name, std::string_view value, Version expected) override;
    [[nodiscard]] base::Result<void> remove(std::string_view name, Version expected) override;
    [[nodiscard]] base::Result<ObjectChanges> list(std::string_view prefix) override;
    [[nodiscard]] base::Result<ObjectChanges> watch(std::string_view prefix, Version since, base::Duration wait) override;
    [[nodiscard]] base::Result<std::vector<VmRecord>> vms() override;

    // Ends calls in progress, so that a stopping process need not wait for its watches.
    void stop();
    [[nodiscard]] PlatformCallCounts calls() const;

private:
    class ConnectionPool;

    std::unique_ptr<ConnectionPool> m_connections;
    std::atomic<std::uint64_t> m_reads = 0;
    std::atomic<std::uint64_t> m_writes = 0;
};

} // namespace carawaylatch::store
