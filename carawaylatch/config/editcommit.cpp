// State transitions of the commit of one edit.
//
// The conditional write of the head serialises all edits: an edit is computed from
// one version of the head and written only over that version. An attempt therefore
// has exactly one possible revision, the one after that head, and its result can
// be determined later: either the edit at that revision has its id, or the attempt
// will never take effect. Two cases need care:
//
//   - A write whose response was lost may still be in transit. It is repeated over
//     the same version, so that the first copy to arrive takes effect and the other
//     gets a conflict.
//   - The head may have been compacted since the attempt. Then the history object
//     that covers the revision is read.
//
// A compaction writes the snapshot and the history object before the head that
// refers to them, so that no head refers to a missing object. Their content is
// determined by the total order of edits, so two writers of the same name write the
// same content, and a conflict on creation counts as written. Objects that the
// compaction replaces are removed after the head is written; a reader that still
// has the old head and misses its snapshot reads the head again.
#include "carawaylatch/config/editcommit.h"

#include <algorithm>

#include "carawaylatch/config/inidocument.h"

namespace carawaylatch::config
{

using base::ErrorKind;
using base::ok;
using base::Result;

namespace
{

constexpr std::size_t CompactHeadBytes = 300'000; // a head of this size is compacted early
constexpr std::size_t MaxHeadBytes = 950'000;
constexpr base::Duration RetryAfter = base::seconds{1};

Result<void> checkEdit(const Edit &edit)
{
    BOOST_OUTCOME_TRY(checkIniValue(edit.author));
    for (const auto &change : edit.changes) {
        for (const auto &field : change.row.fields) {
            BOOST_OUTCOME_TRY(checkIniValue(field.value));
        }
    }
    return ok();
}

std::string revisionText(base::Revision revision)
{
    return revision.value == 0 ? std::string("absent") : "revision " + std::to_string(revision.value);
}

} // namespace

EditCommit::EditCommit(Edit edit, CommitOptions options)
    : m_edit(std::move(edit))
    , m_options(options)
{
    if (const auto checked = checkEdit(m_edit); !checked) {
        finish(checked.error());
    } else {
        read(CommitStep::ReadHead, std::string(HeadName));
    }
}

const StoreRequest *EditCommit::request() const
{
    return m_request ? &*m_request : nullptr;
}

CommitStep EditCommit::step() const
{
    return m_step;
}

const Result<CommitResult> &EditCommit::outcome() const
{
    return *m_outcome;
}

void EditCommit::read(CommitStep step, std::string name)
{
    m_step = step;
    m_request = StoreRequest{StoreRequest::Kind::Read, std::move(name), {}, {}};
}

void EditCommit::write(CommitStep step, std::string name, std::string value, store::Version expected)
{
    m_step = step;
    m_request = StoreRequest{StoreRequest::Kind::Write, std::move(name), std::move(value), expected};
}

void EditCommit::finish(Result<CommitResult> outcome)
{
    const bool isCommitted = outcome.has_value();
    m_outcome = std::move(outcome);
    if (isCommitted) {
        removeNextReplaced();
    } else {
        m_step = CommitStep::Done;
        m_request.reset();
    }
}

void EditCommit::removeNextReplaced()
{
    if (m_replaced.empty()) {
        m_step = CommitStep::Done;
        m_request.reset();
        return;
    }
    read(CommitStep::RemoveReplaced, std::move(m_replaced.back()));
    m_replaced.pop_back();
}

void EditCommit::restart()
{
    m_replaced.clear();
    read(CommitStep::ReadHead, std::string(HeadName));
}

bool EditCommit::consumeRetry()
{
    return ++m_retries <= m_options.maxRetries;
}

void EditCommit::onRead(const Result<store::Object> &result)
{
    switch (m_step) {
    case CommitStep::ReadHead:
        onHead(result);
        break;
    case CommitStep::ReadSnapshot:
        onSnapshot(result);
        break;
    case CommitStep::ReadBack:
        onReadBack(result);
        break;
    case CommitStep::ReadHistory:
        onHistory(result);
        break;
    case CommitStep::RemoveReplaced:
        if (result) {
            m_request = StoreRequest{StoreRequest::Kind::Remove, result.value().name, {}, result.value().version};
        } else {
            removeNextReplaced();
        }
        break;
    default:
        break;
    }
}

void EditCommit::onWritten(const Result<store::Version> &result)
{
    switch (m_step) {
    case CommitStep::WriteSnapshot:
    case CommitStep::WriteHistory:
        onCompactionWritten(result);
        break;
    case CommitStep::WriteHead:
        onHeadWritten(result);
        break;
    case CommitStep::RemoveReplaced:
        removeNextReplaced();
        break;
    default:
        break;
    }
}

void EditCommit::onHead(const Result<store::Object> &result)
{
    m_head = {};
    m_headVersion = {};
    if (result) {
        auto head = parseHead(result.value().value);
        if (!head) {
            finish(head.error());
            return;
        }
        m_head = std::move(head.value());
        m_headVersion = result.value().version;
    } else if (result.error().kind != ErrorKind::NotFound) {
        finish(base::fail(ErrorKind::Unavailable, "the configuration can't be read and nothing was changed: " + result.error().message, RetryAfter));
        return;
    }
    if (m_head.snapshotName.empty()) {
        m_snapshot = {};
        m_snapshotName.clear();
    } else if (m_head.snapshotName != m_snapshotName) {
        read(CommitStep::ReadSnapshot, m_head.snapshotName);
        return;
    }
    tryCommit(materialize(m_snapshot, m_head));
}

void EditCommit::onSnapshot(const Result<store::Object> &result)
{
    if (!result && result.error().kind == ErrorKind::NotFound && consumeRetry()) {
        restart(); // replaced by a compaction since the head was read
        return;
    }
    if (!result) {
        finish(base::fail(ErrorKind::Unavailable, "the configuration's snapshot can't be read and nothing was changed: " + result.error().message, RetryAfter));
        return;
    }
    auto rows = parseSnapshot(result.value().value);
    if (!rows) {
        finish(rows.error());
        return;
    }
    m_snapshot = std::move(rows.value());
    m_snapshotName = m_head.snapshotName;
    tryCommit(materialize(m_snapshot, m_head));
}

void EditCommit::resolveExpectedRevisions(const RowSet &current)
{
    if (m_areExpectationsResolved) {
        return;
    }
    m_areExpectationsResolved = true;
    std::erase_if(m_edit.changes, [&](const RowChange &it) {
        const auto *row = current.find(it.row.key);
        return it.kind == RowChange::Kind::Put ? row != nullptr && row->fields == it.row.fields : row == nullptr;
    });
    for (auto &it : m_edit.changes) {
        const auto *row = current.find(it.row.key);
        if (!it.expected) {
            it.expected = row != nullptr ? row->revision : base::Revision{};
        }
    }
}

Result<void> EditCommit::checkConflicts(const RowSet &current) const
{
    for (const auto &it : m_edit.changes) {
        const auto *row = current.find(it.row.key);
        const auto found = row != nullptr ? row->revision : base::Revision{};
        if (found != *it.expected) {
            return base::fail(ErrorKind::Conflict, "[" + rowLabel(it.row.key) + "] was edited from " + revisionText(*it.expected) + " but is now at "
                                                       + revisionText(found) + "; get the row again and repeat the edit on it");
        }
    }
    return ok();
}

void EditCommit::tryCommit(RowSet current)
{
    const auto earlier = std::find_if(m_head.edits.begin(), m_head.edits.end(), [this](const Edit &it) {
        return it.id == m_edit.id;
    });
    if (earlier != m_head.edits.end()) {
        finish(CommitResult{earlier->revision, std::move(current), earlier->changes.size()});
        return;
    }
    resolveExpectedRevisions(current);
    if (const auto checked = checkConflicts(current); !checked) {
        finish(checked.error());
        return;
    }
    if (m_edit.changes.empty()) {
        const auto revision = current.revision;
        finish(CommitResult{revision, std::move(current), 0});
        return;
    }
    m_edit.revision.value = current.revision.value + 1;
    m_nextRows = std::move(current);
    applyEdit(m_nextRows, m_edit);
    if (const auto tables = toTables(m_nextRows); !tables) {
        finish(tables.error());
    } else if (formatSnapshot(m_nextRows).size() > MaxHeadBytes) {
        finish(base::fail(ErrorKind::InvalidArgument, "the tables would be larger than 950000 bytes; remove rows that are no longer needed"));
    } else if (m_options.dryRun == DryRun::On) {
        finish(CommitResult{m_edit.revision, m_nextRows, m_edit.changes.size()});
    } else {
        compactOrWrite();
    }
}

void EditCommit::compactOrWrite()
{
    m_nextHead = m_head;
    if (m_head.edits.size() >= m_options.compactAfter || formatHead(m_head).size() > CompactHeadBytes) {
        startCompaction();
    } else {
        writeHead();
    }
}

void EditCommit::startCompaction()
{
    const auto kept = std::min(m_options.keepEdits, m_head.edits.size() / 2);
    const auto firstKept = m_head.edits.end() - static_cast<std::ptrdiff_t>(kept);
    RowSet rows = m_snapshot;
    for (auto it = m_head.edits.begin(); it != firstKept; ++it) {
        applyEdit(rows, *it);
    }
    auto text = formatSnapshot(rows);
    m_nextHead.snapshotName = snapshotName(rows.revision, text);
    m_nextHead.snapshotRevision = rows.revision;
    m_nextHead.edits.assign(firstKept, m_head.edits.end());
    m_nextHead.history.push_back({m_head.edits.front().revision, rows.revision});
    write(CommitStep::WriteSnapshot, m_nextHead.snapshotName, std::move(text), {});
}

void EditCommit::onCompactionWritten(const Result<store::Version> &result)
{
    const bool isWritten = result || result.error().kind == ErrorKind::Conflict;
    if (!isWritten) {
        m_nextHead = m_head; // commits without compaction; the next edit tries it again
        m_replaced.clear();
        writeHead();
    } else if (m_step == CommitStep::WriteSnapshot) {
        const auto &segment = m_nextHead.history.back();
        const auto count = static_cast<std::ptrdiff_t>(segment.last.value - segment.first.value + 1);
        write(CommitStep::WriteHistory, historyName(segment), formatEdits({m_head.edits.begin(), m_head.edits.begin() + count}), {});
    } else {
        if (!m_head.snapshotName.empty()) {
            m_replaced.push_back(m_head.snapshotName);
        }
        if (m_nextHead.history.size() > MaxHistorySegments) {
            m_replaced.push_back(historyName(m_nextHead.history.front()));
            m_nextHead.history.erase(m_nextHead.history.begin());
        }
        writeHead();
    }
}

void EditCommit::writeHead()
{
    m_nextHead.revision = m_edit.revision;
    m_nextHead.edits.push_back(m_edit);
    auto text = formatHead(m_nextHead);
    if (text.size() > MaxHeadBytes) {
        finish(base::fail(ErrorKind::InvalidArgument, "the edit is too large for one write; apply its rows in several edits, or wait for a compaction",
                          RetryAfter));
        return;
    }
    write(CommitStep::WriteHead, std::string(HeadName), std::move(text), m_headVersion);
}

void EditCommit::onHeadWritten(const Result<store::Version> &result)
{
    if (result) {
        finish(CommitResult{m_edit.revision, m_nextRows, m_edit.changes.size()});
        return;
    }
    const auto kind = result.error().kind;
    m_mayBeWritten = m_mayBeWritten || (kind != ErrorKind::Conflict && kind != ErrorKind::Unavailable);
    if (m_mayBeWritten) {
        read(CommitStep::ReadBack, std::string(HeadName));
    } else if (kind == ErrorKind::Unavailable) {
        finish(base::fail(ErrorKind::Unavailable, "the platform was not reached and nothing was changed: " + result.error().message, RetryAfter));
    } else if (consumeRetry()) {
        restart();
    } else {
        finish(base::fail(ErrorKind::Conflict, "concurrent edits won every retry; nothing was changed, try again", RetryAfter));
    }
}

void EditCommit::retryReadBack(const base::Error &error)
{
    if (++m_readBacks <= m_options.maxReadBacks) {
        return; // repeats the same request
    }
    finish(base::fail(ErrorKind::Unclear,
                      "the edit may be in force: its write got no response and can't be read back (" + error.message
                          + "); repeat it with the same id, or look for its id in the history",
                      RetryAfter));
}

void EditCommit::onReadBack(const Result<store::Object> &result)
{
    if (!result && result.error().kind == ErrorKind::NotFound) {
        resolveUnclearWrite({});
        return;
    }
    if (!result) {
        retryReadBack(result.error());
        return;
    }
    const auto head = parseHead(result.value().value);
    if (!head) {
        finish(head.error());
        return;
    }
    resolveUnclearWrite(head.value());
}

// Determines the result of an unclear write from a head that was read after it.
void EditCommit::resolveUnclearWrite(const Head &head)
{
    const auto revision = m_edit.revision;
    if (head.revision < revision) {
        if (consumeRetry()) {
            write(CommitStep::WriteHead, std::string(HeadName), formatHead(m_nextHead), m_headVersion);
        } else {
            m_readBacks = m_options.maxReadBacks;
            retryReadBack(base::fail(ErrorKind::Unclear, "no write got a response"));
        }
        return;
    }
    if (head.snapshotRevision < revision) {
        resolveByStoredEdit(head.edits[revision.value - head.snapshotRevision.value - 1]);
        return;
    }
    const auto segment = std::find_if(head.history.begin(), head.history.end(), [revision](const HistorySegment &it) {
        return it.first <= revision && revision <= it.last;
    });
    if (segment == head.history.end()) {
        m_readBacks = m_options.maxReadBacks;
        retryReadBack(base::fail(ErrorKind::NotFound, "its revision is older than the stored history"));
        return;
    }
    read(CommitStep::ReadHistory, historyName(*segment));
}

void EditCommit::onHistory(const Result<store::Object> &result)
{
    if (!result) {
        retryReadBack(result.error());
        return;
    }
    const auto edits = parseEdits(result.value().value);
    if (!edits || edits.value().empty() || m_edit.revision < edits.value().front().revision || edits.value().back().revision < m_edit.revision) {
        m_readBacks = m_options.maxReadBacks;
        retryReadBack(edits ? base::fail(ErrorKind::NotFound, "the history has a gap") : edits.error());
        return;
    }
    resolveByStoredEdit(edits.value()[m_edit.revision.value - edits.value().front().revision.value]);
}

// Determines the result of an unclear write from the committed edit at its revision.
void EditCommit::resolveByStoredEdit(const Edit &edit)
{
    if (edit.id == m_edit.id) {
        finish(CommitResult{m_edit.revision, m_nextRows, m_edit.changes.size()});
        return;
    }
    m_mayBeWritten = false;
    if (consumeRetry()) {
        restart();
    } else {
        finish(base::fail(ErrorKind::Conflict, "concurrent edits won every retry; nothing was changed, try again", RetryAfter));
    }
}

} // namespace carawaylatch::config
