// Acceptance of one edit, as a state machine without I/O.
//
// The driver executes what request() asks for and reports the result:
//
//     Acceptance acceptance(edit, CommitOptions{});
//     while (const auto *request = acceptance.request()) {
//         ... read, write or remove; then acceptance.onRead(...) or onWritten(...)
//     }
//     acceptance.outcome()
//
// The conditional write of the head is the only point of acceptance. A race lost
// to an edit of other rows is tried again on top of it and checked again; one of
// the same row is a Conflict that names both revisions. A write whose answer was
// lost is settled by reading back: the edit is in force if and only if the edit
// at its revision has its id. The head is compacted before it grows too large.
#pragma once

#include <optional>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/config/head.h"
#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::config
{

enum class CommitStep {
    ReadHead,
    ReadSnapshot,
    WriteSnapshot, // of a compaction; the edit goes on if it fails
    WriteHistory, // of a compaction
    WriteHead,
    ReadBack, // the write's answer was lost
    ReadHistory, // the edit may have left the head since
    RemoveReplaced, // what a compaction replaced; may fail
    Done,
};

// All steps that talk to the store, for fault tables.
constexpr CommitStep AllCommitSteps[] = {
    CommitStep::ReadHead,  CommitStep::ReadSnapshot, CommitStep::WriteSnapshot, CommitStep::WriteHistory,
    CommitStep::WriteHead, CommitStep::ReadBack,     CommitStep::ReadHistory,   CommitStep::RemoveReplaced,
};

struct StoreRequest
{
    enum class Kind {
        Read,
        Write,
        Remove,
    };
    Kind kind = Kind::Read;
    std::string name;
    std::string value;
    store::Version expected;
};

enum class DryRun {
    Off,
    On, // stop before the first write
};

struct CommitOptions
{
    DryRun dryRun = DryRun::Off;
    std::uint32_t maxRetries = 64; // lost races and unclear writes until Conflict or Unclear
    std::uint32_t maxReadBacks = 8; // failed reads back until Unclear
    std::size_t compactAfter = 128; // edits in the head
    std::size_t keepEdits = 32; // edits that stay in the head at a compaction
};

struct CommitResult
{
    base::Revision revision; // of the edit; of the configuration found if nothing changed
    RowSet rows; // the configuration with the edit
    std::size_t changedRows = 0; // zero if the tables already were as asked
};

class EditCommit
{
public:
    EditCommit(Edit edit, CommitOptions options);

    // Returns what to do next, or nullptr once done.
    [[nodiscard]] const StoreRequest *request() const;
    [[nodiscard]] CommitStep step() const;
    // Reports the result of a Read.
    void onRead(const base::Result<store::Object> &result);
    // Reports the result of a Write or Remove; of a Remove the version is ignored.
    void onWritten(const base::Result<store::Version> &result);
    // Returns the result once done. Unavailable: the edit is not in force and was not
    // accepted. Unclear: it may be; ask the history for its id.
    [[nodiscard]] const base::Result<CommitResult> &outcome() const;

private:
    void read(CommitStep step, std::string name);
    void write(CommitStep step, std::string name, std::string value, store::Version expected);
    void finish(base::Result<CommitResult> outcome);
    void restart();
    void onHead(const base::Result<store::Object> &result);
    void onSnapshot(const base::Result<store::Object> &result);
    void onReadBack(const base::Result<store::Object> &result);
    void onHistory(const base::Result<store::Object> &result);
    void onHeadWritten(const base::Result<store::Version> &result);
    void tryCommit(RowSet current);
    void resolveExpectedRevisions(const RowSet &current);
    [[nodiscard]] base::Result<void> checkConflicts(const RowSet &current) const;
    void compactOrWrite();
    void startCompaction();
    void onCompactionWritten(const base::Result<store::Version> &result);
    void writeHead();
    void removeNextReplaced();
    void resolveUnclearWrite(const Head &head);
    void resolveByStoredEdit(const Edit &edit);
    void retryReadBack(const base::Error &error);
    [[nodiscard]] bool consumeRetry();

    Edit m_edit;
    CommitOptions m_options;
    CommitStep m_step = CommitStep::ReadHead;
    std::optional<StoreRequest> m_request;
    std::optional<base::Result<CommitResult>> m_outcome; // set before RemoveReplaced already

    Head m_head; // as read last
    store::Version m_headVersion; // of m_head in the store
    RowSet m_snapshot; // of m_head.snapshotName
    std::string m_snapshotName; // whose content m_snapshot is
    RowSet m_nextRows; // the configuration with the edit
    Head m_nextHead; // what is written
    std::vector<std::string> m_replaced; // objects that a compaction replaced
    bool m_areExpectationsResolved = false;
    bool m_mayBeWritten = false; // a write of the head with an unknown result
    std::uint32_t m_retries = 0;
    std::uint32_t m_readBacks = 0;
};

} // namespace carawaylatch::config
