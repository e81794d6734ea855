// Fault injection around a store. Reads have no effect, so every fault makes them
// fail with Unavailable. For writes a lost request and a lost response both return
// Unclear, because a caller can't distinguish them.
#include "carawaylatch/store/faultystore.h"

namespace carawaylatch::store
{

namespace
{

base::Error unavailable()
{
    return base::fail(base::ErrorKind::Unavailable, "the platform was not reached; try again later", base::seconds{1});
}

base::Error unclear()
{
    return base::fail(base::ErrorKind::Unclear, "the platform's response was lost; read back to learn whether the write took effect");
}

template <typename Read>
auto faultyRead(StoreFault fault, Read read) -> decltype(read())
{
    if (fault != StoreFault::None) {
        return unavailable();
    }
    return read();
}

template <typename Write>
auto faultyWrite(StoreFault fault, Write write) -> decltype(write())
{
    switch (fault) {
    case StoreFault::None:
        return write();
    case StoreFault::Down:
        return unavailable();
    case StoreFault::ResponseLost:
        static_cast<void>(write());
        return unclear();
    case StoreFault::RequestLost:
        return unclear();
    }
    return unavailable();
}

} // namespace

FaultyStore::FaultyStore(ObjectStore &inner)
    : m_inner(inner)
{
}

void FaultyStore::inject(StoreFault fault, std::uint64_t calls, std::uint64_t skip)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
    m_remaining = calls;
    m_skip = skip;
}

std::uint64_t FaultyStore::callCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

StoreFault FaultyStore::nextFault()
{
    const std::lock_guard lock(m_mutex);
    ++m_calls;
    if (m_skip > 0) {
        --m_skip;
        return StoreFault::None;
    }
    if (m_remaining == 0) {
        return StoreFault::None;
    }
    --m_remaining;
    return m_fault;
}

base::Result<Object> FaultyStore::read(std::string_view name)
{
    return faultyRead(nextFault(), [&] {
        return m_inner.read(name);
    });
}

base::Result<Version> FaultyStore::write(std::string_view name, std::string_view value, Version expected)
{
    return faultyWrite(nextFault(), [&] {
        return m_inner.write(name, value, expected);
    });
}

base::Result<void> FaultyStore::remove(std::string_view name, Version expected)
{
    return faultyWrite(nextFault(), [&] {
        return m_inner.remove(name, expected);
    });
}

base::Result<ObjectChanges> FaultyStore::list(std::string_view prefix)
{
    return faultyRead(nextFault(), [&] {
        return m_inner.list(prefix);
    });
}

base::Result<ObjectChanges> FaultyStore::watch(std::string_view prefix, Version since, base::Duration wait)
{
    return faultyRead(nextFault(), [&] {
        return m_inner.watch(prefix, since, wait);
    });
}

base::Result<std::vector<VmRecord>> FaultyStore::vms()
{
    return faultyRead(nextFault(), [&] {
        return m_inner.vms();
    });
}

} // namespace carawaylatch::store
