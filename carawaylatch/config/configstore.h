// Reads and edits the stored configuration: head, snapshots and history.
//
//     ConfigStore store(objects);
//     BOOST_OUTCOME_TRY(loaded, store.load());
//     store.apply({id, "alice", now, {}, changes});
//
// Calls block. Not thread-safe: use one instance per platform thread or tool, and
// never call it from the control thread.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/editcommit.h"
#include "carawaylatch/config/head.h"
#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::config
{

// The configuration as read from the platform.
struct StoredConfig
{
    Head head;
    store::Version version; // of the head object; start a watch from here
    RowSet rows;
};

// Which rows of the present configuration a file replaces.
enum class FileScope {
    NamedRows, // only the rows in the file
    AllRows, // all rows: those missing from the file are removed
};

// Returns the changes that make `current` equal to `wanted`; equal rows are left out.
// A row of `wanted` with a nonzero revision expects the stored row to be at that revision.
[[nodiscard]] std::vector<RowChange> changesBetween(const RowSet &current, const RowSet &wanted, FileScope scope);

// Returns an id for a new edit; `random` must be seeded differently in every process.
[[nodiscard]] EditId randomEditId(base::Random &random);

class ConfigStore
{
public:
    // Waits between retries; tests pass a function that returns at once.
    using Pause = std::function<void(base::Duration)>;

    // `objects` must outlive this.
    explicit ConfigStore(store::ObjectStore &objects, CommitOptions options = {}, Pause pause = {});

    // Commits an edit; see EditCommit::outcome() for the errors.
    [[nodiscard]] base::Result<CommitResult> apply(Edit edit);
    // Checks an edit against the present configuration and writes nothing.
    [[nodiscard]] base::Result<CommitResult> dryRun(Edit edit);
    // Reads head and snapshot; returns an empty configuration of revision zero if none is stored.
    [[nodiscard]] base::Result<StoredConfig> load();
    // Returns the committed edits that are still stored, newest first, at most `limit`.
    [[nodiscard]] base::Result<std::vector<Edit>> history(std::size_t limit);

private:
    [[nodiscard]] base::Result<CommitResult> run(Edit edit, CommitOptions options);
    void execute(EditCommit &commit);
    [[nodiscard]] base::Result<RowSet> readSnapshot(const std::string &name);

    store::ObjectStore &m_objects;
    CommitOptions m_options;
    Pause m_pause;
    std::string m_snapshotName; // of the cached m_snapshot; the content of a name never changes
    RowSet m_snapshot;
};

} // namespace carawaylatch::config
