// An ObjectStore decorator that injects faults, for tests.
//
// The faults are those that a caller of the platform can observe. The decorator
// also counts the calls. Thread-safe.
#pragma once

#include <cstdint>
#include <mutex>

#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::store
{

enum class StoreFault {
    None,
    Down, // the store can't be reached; the call takes no effect
    ResponseLost, // the call takes effect, but its response is lost
    RequestLost, // the call takes no effect, but the caller sees the same error as for ResponseLost
};

// All faults, for parametrised tests.
constexpr StoreFault AllStoreFaults[] = {StoreFault::None, StoreFault::Down, StoreFault::ResponseLost, StoreFault::RequestLost};

class FaultyStore : public ObjectStore
{
public:
    // `inner` must outlive this store.
    explicit FaultyStore(ObjectStore &inner);

    // Lets `skip` calls pass, then injects the fault into the next `calls` calls.
    void inject(StoreFault fault, std::uint64_t calls = UINT64_MAX, std::uint64_t skip = 0);
    [[nodiscard]] std::uint64_t callCount() const;

    [[nodiscard]] base::Result<Object> read(std::string_view name) override;
    [[nodiscard]] base::Result<Version> write(std::string_view name, std::string_view value, Version expected) override;
    [[nodiscard]] base::Result<void> remove(std::string_view name, Version expected) override;
    [[nodiscard]] base::Result<ObjectChanges> list(std::string_view prefix) override;
    [[nodiscard]] base::Result<ObjectChanges> watch(std::string_view prefix, Version since, base::Duration wait) override;
    [[nodiscard]] base::Result<std::vector<VmRecord>> vms() override;

private:
    [[nodiscard]] StoreFault nextFault();

    ObjectStore &m_inner;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex.
    StoreFault m_fault = StoreFault::None;
    std::uint64_t m_skip = 0;
    std::uint64_t m_remaining = 0;
    std::uint64_t m_calls = 0;
};

} // namespace carawaylatch::store
