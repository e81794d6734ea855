// The operators' tables as INI text and as rows.
//
//     [customer acme]
//     key_digest = 0123456789abcdef0123456789abcdef
//
//     [pool readers]
//     model = clause-7b
//     weights_version = 3
//     member = engine-1 10.0.0.1:8000 dakar-a
//
//     [route contracts]
//     path = /v1/completions
//     model = clause-7b
//     pool = readers
//
// Rows keep every field as it was written, also those that this version doesn't
// know, so that a configuration made by a newer version passes through whole.
// Typed values are made from rows by toTables(). What operators hand in is read
// strictly: an unknown kind or field is an error there.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/config/tables.h"

namespace carawaylatch::config
{

struct RowField
{
    std::string key;
    std::string value;
    int line = 0; // in the file it came from, zero for none; not part of the value

    bool operator==(const RowField &other) const
    {
        return key == other.key && value == other.value;
    }
};

// Names a row: kind is "customer", "pool", "route" or one of a newer version.
struct RowKey
{
    std::string kind;
    std::string name;

    auto operator<=>(const RowKey &) const = default;
    bool operator==(const RowKey &) const = default;
};

// Returns "route contracts".
[[nodiscard]] std::string rowLabel(const RowKey &key);

struct Row
{
    RowKey key;
    base::Revision revision; // that last changed the row; zero for a row not yet accepted
    std::vector<RowField> fields; // in order; a key may repeat
    int line = 0; // as in RowField

    bool operator==(const Row &other) const
    {
        return key == other.key && revision == other.revision && fields == other.fields;
    }
};

// One configuration. Rows are ordered by key and keys are unique.
struct RowSet
{
    base::Revision revision;
    std::vector<Row> rows;

    // Returns the row, or nullptr.
    [[nodiscard]] const Row *find(const RowKey &key) const;
    // Adds a row or replaces the one of its key.
    void put(Row row);
    void remove(const RowKey &key);

    bool operator==(const RowSet &) const = default;
};

// How unknown kinds and fields are taken.
enum class TableParsing {
    Strict, // as errors: what operators hand in
    Lenient, // kept: what was accepted before
};

// Reads rows. A field `revision = N` in a row says on which revision the row was edited.
[[nodiscard]] base::Result<RowSet> parseRows(std::string_view text, std::string_view fileName, TableParsing reading = TableParsing::Strict);

// Returns the text of rows, which parseRows() reads back.
[[nodiscard]] std::string formatRows(const RowSet &rows);

// Returns the typed tables, or the first thing that is wrong with a row or between rows:
// a route without its pool, a model that differs, a name or key that stands twice.
// Fields that this version doesn't know are passed over.
[[nodiscard]] base::Result<Tables> toTables(const RowSet &rows, std::string_view fileName = "tables");

// Returns the page docs/TABLES.md.
[[nodiscard]] std::string renderTablesPage();

} // namespace carawaylatch::config
