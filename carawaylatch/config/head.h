// The head of the configuration: the one object whose conditional update accepts
// an edit.
//
// An edit changes one or more rows together and is accepted as a whole. Every
// accepted edit raises the revision by one, so revisions give all edits one
// order. The head object holds the revision, the name of a base snapshot and the
// edits since; the configuration is the snapshot with these edits applied.
// Everything here is plain values and functions on them; acceptance.h decides,
// headstore.h talks to the platform.
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

// Names one edit for all time; chosen by who makes it, so that a lost answer can be settled.
using EditId = base::TypedNumber<struct EditTag>;

struct RowChange
{
    enum class Kind {
        Put,
        Remove,
    };
    Kind kind = Kind::Put;
    Row row; // of a removal only the key counts
    // The row's revision when the edit was made, zero for "did not exist". Nothing
    // stands for the revision that is found when the edit is first tried.
    std::optional<base::Revision> expected;

    bool operator==(const RowChange &) const = default;
};

struct Edit
{
    EditId id;
    std::string author;
    std::int64_t madeAt = 0; // milliseconds since 1970, for people only
    base::Revision revision; // zero until accepted
    std::vector<RowChange> changes;

    bool operator==(const Edit &) const = default;
};

// A part of the history that left the head.
struct HistoryPart
{
    base::Revision first;
    base::Revision last;

    bool operator==(const HistoryPart &) const = default;
};

struct Head
{
    base::Revision revision;
    std::string snapshotName; // empty: the empty configuration
    base::Revision snapshotRevision;
    std::vector<Edit> edits; // of revisions snapshotRevision + 1 to revision, in order
    std::vector<HistoryPart> history; // oldest first; at most MaxHistoryParts, older ones are dropped

    bool operator==(const Head &) const = default;
};

constexpr std::size_t MaxHistoryParts = 200;

[[nodiscard]] std::string formatHead(const Head &head);
[[nodiscard]] base::Result<Head> parseHead(std::string_view text);

// Edits as text, as history objects and peers carry them. Fields of newer versions are kept.
[[nodiscard]] std::string formatEdits(std::span<const Edit> edits);
[[nodiscard]] base::Result<std::vector<Edit>> parseEdits(std::string_view text);

// A whole configuration as text, revision included.
[[nodiscard]] std::string formatSnapshot(const RowSet &rows);
[[nodiscard]] base::Result<RowSet> parseSnapshot(std::string_view text);

// Returns the object's name of a snapshot: revision and content, so that a name never means two contents.
[[nodiscard]] std::string snapshotName(base::Revision revision, std::string_view text);
[[nodiscard]] std::string historyName(const HistoryPart &part);

// Applies an accepted edit, whose revision must be the next one of the rows.
void applyEdit(RowSet &rows, const Edit &edit);

// Returns the configuration of a head over its base snapshot.
[[nodiscard]] RowSet materialize(RowSet snapshot, const Head &head);

} // namespace carawaylatch::config
