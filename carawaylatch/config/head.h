// The head of the configuration: the object whose conditional write commits an edit.
//
// An edit changes one or more rows atomically. Every committed edit increments the
// revision by one, so revisions order all edits totally. The head object holds the
// revision, the name of a base snapshot and the edits since that snapshot; the
// configuration is the snapshot with these edits applied. This file has only
// values and pure functions; editcommit.h commits an edit and configstore.h does
// the I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/config/tablefile.h"

namespace carawaylatch::config
{

// Names of objects in the platform's store.
constexpr std::string_view HeadName = "config/head";
constexpr std::string_view SnapshotPrefix = "config/snapshot/";
constexpr std::string_view HistoryPrefix = "config/history/";

// Unique id of an edit, chosen before the first write, so that the result of a write
// whose response was lost can be looked up.
using EditId = base::TypedNumber<struct EditTag>;

struct RowChange
{
    enum class Kind {
        Put,
        Remove,
    };
    Kind kind = Kind::Put;
    Row row; // only the key is used for Remove
    // The row's revision that the edit is based on, zero if the row did not exist. If
    // unset, the revision found by the first attempt to commit is used.
    std::optional<base::Revision> expected;

    bool operator==(const RowChange &) const = default;
};

struct Edit
{
    EditId id;
    std::string author;
    std::int64_t madeAt = 0; // milliseconds since 1970, for display only
    base::Revision revision; // zero until committed
    std::vector<RowChange> changes;

    bool operator==(const Edit &) const = default;
};

// Revisions of the edits in one history object, written when a compaction removes them
// from the head.
struct HistorySegment
{
    base::Revision first;
    base::Revision last;

    bool operator==(const HistorySegment &) const = default;
};

struct Head
{
    base::Revision revision;
    std::string snapshotName; // empty: the empty configuration
    base::Revision snapshotRevision;
    std::vector<Edit> edits; // of revisions snapshotRevision + 1 to revision, in order
    std::vector<HistorySegment> history; // oldest first; beyond MaxHistorySegments the oldest are dropped

    bool operator==(const Head &) const = default;
};

constexpr std::size_t MaxHistorySegments = 200;

[[nodiscard]] std::string formatHead(const Head &head);
[[nodiscard]] base::Result<Head> parseHead(std::string_view text);

// Edits as text, the format of history objects and of updates between peers. Row fields
// unknown to this version are kept.
[[nodiscard]] std::string formatEdits(std::span<const Edit> edits);
[[nodiscard]] base::Result<std::vector<Edit>> parseEdits(std::string_view text);

// A full configuration as text, including its revision.
[[nodiscard]] std::string formatSnapshot(const RowSet &rows);
[[nodiscard]] base::Result<RowSet> parseSnapshot(std::string_view text);

// Returns the object name of a snapshot. It contains the revision and a hash of the text,
// so the content of a name never changes.
[[nodiscard]] std::string snapshotName(base::Revision revision, std::string_view text);
[[nodiscard]] std::string historyName(const HistorySegment &segment);

// Applies a committed edit, whose revision must follow that of the rows.
void applyEdit(RowSet &rows, const Edit &edit);

// Returns the configuration of a head: its base snapshot with the head's edits applied.
[[nodiscard]] RowSet materialize(RowSet snapshot, const Head &head);

} // namespace carawaylatch::config
