// An in-memory ObjectStore: the fake platform in tests and the storage of the
// platform stand-in.
//
// Removed names are kept as tombstones so that a watch can report them. Beyond
// MaxTombstones the oldest are dropped; a watch that starts before a dropped
// tombstone fails with StaleState, and the caller must list again.
// Thread-safe.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::store
{

class MemoryStore : public ObjectStore
{
public:
    static constexpr std::size_t MaxTombstones = 10'000;

    [[nodiscard]] base::Result<Object> read(std::string_view name) override;
    [[nodiscard]] base::Result<Version> write(std::string_view name, std::string_view value, Version expected) override;
    [[nodiscard]] base::Result<void> remove(std::string_view name, Version expected) override;
    [[nodiscard]] base::Result<ObjectChanges> list(std::string_view prefix) override;
    [[nodiscard]] base::Result<ObjectChanges> watch(std::string_view prefix, Version since, base::Duration wait) override;
    [[nodiscard]] base::Result<std::vector<VmRecord>> vms() override;

    void setVms(std::vector<VmRecord> vms);

private:
    [[nodiscard]] ObjectChanges changesSince(std::string_view prefix, Version since) const;
    [[nodiscard]] Version versionOf(std::string_view name) const;
    void addTombstone(std::string_view name);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    // All below are guarded by m_mutex.
    std::map<std::string, Object, std::less<>> m_objects;
    std::map<Version, std::string> m_tombstones; // by version of the removal
    Version m_version; // of the last write or removal
    Version m_compactedVersion; // tombstones up to this version were dropped
    std::vector<VmRecord> m_vms;
};

} // namespace carawaylatch::store
