// A pointer to an immutable snapshot that one thread replaces and others read.
//
// A reader copies the shared pointer and then uses the snapshot without a lock,
// for as long as it needs. The copy itself is guarded by a mutex, which is held
// for a few instructions only. std::atomic<std::shared_ptr> is not used because
// libstdc++ 12 releases its internal lock bit in load() with relaxed ordering, so
// that a store may overlap the copy.
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
        // The previous value is released here, after the lock.
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value; // guarded by m_mutex; never nullptr
};

} // namespace carawaylatch::base
