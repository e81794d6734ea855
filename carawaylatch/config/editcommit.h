// Commit of one edit under optimistic concurrency, as a state machine without I/O.
//
// The driver executes the store operation in request() and reports its result:
//
//     EditCommit commit(edit, CommitOptions{});
//     while (const auto *request = commit.request()) {
//         ... read, write or remove; then commit.onRead(...) or onWritten(...)
//     }
//     commit.outcome()
//
// The conditional write of the head commits the edit; no other write does. After
// a concurrent edit of other rows the edit is rebased on it, checked again and
// retried; a concurrent edit of the same row is a Conflict that names both
// revisions. A write whose response was lost is resolved by reading back: the edit
// is in force if and only if the edit at its revision has its id. The head is
// compacted before it exceeds the store's size limit.
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
    WriteSnapshot, // of a compaction; if it fails, the edit is committed without compaction
    WriteHistory, // of a compaction
    WriteHead,
    ReadBack, // after a head write whose response was lost
    ReadHistory, // if the edit's revision was compacted out of the head
    RemoveReplaced, // objects that a compaction replaced; failures are ignored
    Done,
};

// All steps with a store operation, for tests that inject a fault at each.
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
    std::uint32_t maxRetries = 64; // after concurrent edits and unclear writes; then Conflict or Unclear
    std::uint32_t maxReadBacks = 8; // failed reads after an unclear write; then Unclear
    std::size_t compactAfter = 128; // number of edits in the head that triggers a compaction
    std::size_t keepEdits = 32; // number of edits that stay in the head after a compaction
};

struct CommitResult
{
    base::Revision revision; // of the edit, or of the present configuration if the edit changes nothing
    RowSet rows; // the configuration with the edit applied
    std::size_t changedRows = 0; // zero if the edit changes nothing
};

class EditCommit
{
public:
    EditCommit(Edit edit, CommitOptions options);

    // Returns the next store operation, or nullptr once the commit is finished.
    [[nodiscard]] const StoreRequest *request() const;
    [[nodiscard]] CommitStep step() const;
    // Reports the result of a Read.
    void onRead(const base::Result<store::Object> &result);
    // Reports the result of a Write or Remove; the version is ignored after a Remove.
    void onWritten(const base::Result<store::Version> &result);
    // Returns the result; valid only once request() returns nullptr. After Conflict or
    // InvalidArgument (the edit was rejected) and Unavailable (the platform could not be
    // reached) the edit is not in force. After Unclear it may be; look for its id in the
    // history. Internal: a stored object can't be parsed.
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
    std::optional<base::Result<CommitResult>> m_outcome; // set before RemoveReplaced runs

    Head m_head; // as last read
    store::Version m_headVersion; // of m_head in the store
    RowSet m_snapshot; // content of the object m_snapshotName
    std::string m_snapshotName;
    RowSet m_nextRows; // the configuration with the edit applied
    Head m_nextHead; // the head to write
    std::vector<std::string> m_replaced; // objects that a compaction replaced
    bool m_areExpectationsResolved = false;
    bool m_mayBeWritten = false; // a write of the head with an unknown result
    std::uint32_t m_retries = 0;
    std::uint32_t m_readBacks = 0;
};

} // namespace carawaylatch::config
