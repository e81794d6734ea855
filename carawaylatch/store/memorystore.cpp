// One version counter for the whole store orders all writes and removals totally; a
// watch returns the changes after a version.
#include "carawaylatch/store/memorystore.h"

#include <utility>

namespace carawaylatch::store
{

namespace
{

base::Error conflict(std::string_view name, Version found, Version expected)
{
    return base::fail(base::ErrorKind::Conflict, std::string(name) + " has version " + std::to_string(found.value) + ", not " + std::to_string(expected.value)
                                                     + "; read it again and repeat the change");
}

} // namespace

base::Result<Object> MemoryStore::read(std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects.find(name);
    if (it == m_objects.end()) {
        return base::fail(base::ErrorKind::NotFound, "no object " + std::string(name) + "; write it with expected version 0 to create it");
    }
    return it->second;
}

base::Result<Version> MemoryStore::write(std::string_view name, std::string_view value, Version expected)
{
    if (value.size() > MaxValueBytes) {
        return base::fail(base::ErrorKind::InvalidArgument,
                          std::string(name) + ": " + std::to_string(value.size()) + " bytes; split it into values of at most " + std::to_string(MaxValueBytes));
    }
    const std::lock_guard lock(m_mutex);
    const Version found = versionOf(name);
    if (found != expected) {
        return conflict(name, found, expected);
    }
    ++m_version.value;
    m_objects.insert_or_assign(std::string(name), Object{std::string(name), std::string(value), m_version});
    m_changed.notify_all();
    return m_version;
}

base::Result<void> MemoryStore::remove(std::string_view name, Version expected)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects.find(name);
    if (it == m_objects.end()) {
        return base::fail(base::ErrorKind::NotFound, "no object " + std::string(name) + "; nothing to remove");
    }
    if (it->second.version != expected) {
        return conflict(name, it->second.version, expected);
    }
    m_objects.erase(it);
    addTombstone(name);
    m_changed.notify_all();
    return base::ok();
}

base::Result<ObjectChanges> MemoryStore::list(std::string_view prefix)
{
    const std::lock_guard lock(m_mutex);
    ObjectChanges changes = changesSince(prefix, Version{});
    changes.removed.clear();
    return changes;
}

base::Result<ObjectChanges> MemoryStore::watch(std::string_view prefix, Version since, base::Duration wait)
{
    std::unique_lock lock(m_mutex);
    ObjectChanges changes;
    m_changed.wait_for(lock, wait, [&] {
        changes = changesSince(prefix, since);
        return !changes.written.empty() || !changes.removed.empty();
    });
    if (since < m_compactedVersion) {
        return base::fail(base::ErrorKind::StaleState, "the history before version " + std::to_string(m_compactedVersion.value) + " was dropped; list again");
    }
    return changes;
}

base::Result<std::vector<VmRecord>> MemoryStore::vms()
{
    const std::lock_guard lock(m_mutex);
    return m_vms;
}

void MemoryStore::setVms(std::vector<VmRecord> vms)
{
    const std::lock_guard lock(m_mutex);
    m_vms = std::move(vms);
}

ObjectChanges MemoryStore::changesSince(std::string_view prefix, Version since) const
{
    ObjectChanges changes;
    changes.upTo = m_version;
    for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.starts_with(prefix); ++it) {
        if (it->second.version > since) {
            changes.written.push_back(it->second);
        }
    }
    for (auto it = m_tombstones.upper_bound(since); it != m_tombstones.end(); ++it) {
        if (it->second.starts_with(prefix) && !m_objects.contains(it->second)) {
            changes.removed.push_back(it->second);
        }
    }
    return changes;
}

Version MemoryStore::versionOf(std::string_view name) const
{
    const auto it = m_objects.find(name);
    return it == m_objects.end() ? Version{} : it->second.version;
}

void MemoryStore::addTombstone(std::string_view name)
{
    ++m_version.value;
    m_tombstones.emplace(m_version, name);
    if (m_tombstones.size() > MaxTombstones) {
        m_compactedVersion = m_tombstones.begin()->first;
        m_tombstones.erase(m_tombstones.begin());
    }
}

} // namespace carawaylatch::store
