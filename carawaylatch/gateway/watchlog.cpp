// Batches and their bound.
#include "carawaylatch/gateway/watchlog.h"

#include <algorithm>
#include <map>
#include <string_view>

#include "carawaylatch/gateway/storeversion.h"

namespace carawaylatch::gateway
{

void WatchLog::onListed(ObjectKind kind, std::uint64_t revision)
{
    m_kinds[kind] = Kind{revision, revision, {}, 0};
}

void WatchLog::onChanges(ObjectKind kind, std::uint64_t since, std::uint64_t revision, const std::vector<StoredObject> &objects, base::Duration changedAfter)
{
    Kind &log = m_kinds[kind];
    if (log.revision != since) {
        log = Kind{since, since, {}, 0}; // the changes between are not known
    }
    log.revision = std::max(log.revision, revision);
    if (objects.empty()) {
        return;
    }
    Batch batch{log.revision, objects, 0, changedAfter};
    for (const StoredObject &object : objects) {
        batch.bytes += object.name.size() + object.text.size();
    }
    log.bytes += batch.bytes;
    log.batches.push_back(std::move(batch));
    while (log.bytes > MaxBytes) {
        log.base = log.batches.front().revision;
        log.bytes -= log.batches.front().bytes;
        log.batches.pop_front();
    }
}

std::optional<ChangesSince> WatchLog::changesSince(ObjectKind kind, std::uint64_t revision) const
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end() || it->second.revision == 0 || revision < it->second.base || eraOf(revision) > eraOf(it->second.revision)) {
        return std::nullopt;
    }
    ChangesSince changes;
    changes.revision = std::max(revision, it->second.revision);
    const std::deque<Batch> &batches = it->second.batches;
    const auto later = std::partition_point(batches.begin(), batches.end(), [revision](const Batch &batch) {
        return batch.revision <= revision;
    });
    std::map<std::string_view, const StoredObject *> last;
    for (auto batch = later; batch != batches.end(); ++batch) {
        for (const StoredObject &object : batch->objects) {
            last[object.name] = &object;
        }
    }
    const auto isKnown = [revision](const StoredObject &object) {
        return !object.isRemoved && object.revision <= revision;
    };
    for (auto batch = later; batch != batches.end(); ++batch) {
        for (const StoredObject &object : batch->objects) {
            if (!isKnown(object) && !isKnown(*last[object.name])) {
                changes.objects.push_back(object);
                changes.changedAfter = std::min(changes.changedAfter, batch->changedAfter);
            }
        }
    }
    return changes;
}

} // namespace carawaylatch::gateway
