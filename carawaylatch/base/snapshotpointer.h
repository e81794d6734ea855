// A pointer to an immutable value that one thread replaces and others read.
//
// A reader copies the pointer and then uses the value without any lock, for as
// long as it likes. The copy itself is guarded by a mutex that is held for a few
// instructions: std::atomic<std::shared_ptr> of libstdc++ 12 releases its internal
// lock bit in load() without ordering, so that a store may overlap the copy.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace carawaylatch::base
{

template <typename T>
class SnapshotPointer
{
public:
    explicit SnapshotPointer(std::shared_ptr<const T> value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] std::shared_ptr<const T> load() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }
    void store(std::shared_ptr<const T> value)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_value.swap(value);
        }
        // The former value is released here, outside the lock.
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value; // guarded by m_mutex; never nullptr
};

} // namespace carawaylatch::base
