// The stored configuration: what operators and routers call.
//
//     ConfigStore store(objects);
//     BOOST_OUTCOME_TRY(loaded, store.load());
//     store.apply({id, "alice", now, {}, changes});
//
// Blocking; called from one platform thread or tool at a time, never from the control thread.
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

// What the platform holds.
struct StoredConfig
{
    Head head;
    store::Version version; // of the head object, to watch from
    RowSet rows;
};

// Which rows of the present tables a file replaces.
enum class FileScope {
    NamedRows, // only those it names
    AllRows, // all: rows that it doesn't name are removed
};

// Returns the changes that make `current` equal to `wanted`; rows that are equal don't count.
// A row of `wanted` with a revision is expected to be at that revision.
[[nodiscard]] std::vector<RowChange> changesBetween(const RowSet &current, const RowSet &wanted, FileScope scope);

// Returns an id for a new edit; `random` must be seeded differently in every process.
[[nodiscard]] EditId randomEditId(base::Random &random);

class ConfigStore
{
public:
    // Pauses between repeated tries; tests pass one that returns at once.
    using Pause = std::function<void(base::Duration)>;

    // `objects` must outlive this.
    explicit ConfigStore(store::ObjectStore &objects, CommitOptions options = {}, Pause pause = {});

    // Accepts an edit or says why not; see Acceptance::outcome() for what an error means.
    [[nodiscard]] base::Result<CommitResult> apply(Edit edit);
    // Checks an edit against the present configuration and writes nothing.
    [[nodiscard]] base::Result<CommitResult> dryRun(Edit edit);
    // Reads head and snapshot; an empty configuration of revision zero if there is none yet.
    [[nodiscard]] base::Result<StoredConfig> load();
    // Returns accepted edits, newest first, at most `limit`.
    [[nodiscard]] base::Result<std::vector<Edit>> history(std::size_t limit);

private:
    [[nodiscard]] base::Result<CommitResult> run(Edit edit, CommitOptions options);
    void execute(EditCommit &commit);
    [[nodiscard]] base::Result<RowSet> readSnapshot(const std::string &name);

    store::ObjectStore &m_objects;
    CommitOptions m_options;
    Pause m_pause;
    std::string m_snapshotName; // whose content m_snapshot is; a name never means two contents
    RowSet m_snapshot;
};

} // namespace carawaylatch::config
