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
// Rows keep every field as written, including fields unknown to this version, so
// that a configuration from a newer version is stored and forwarded unchanged.
// toTables() converts rows to typed values. Input from operators is parsed
// strictly: an unknown kind or field is an error.
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
    int line = 0; // in the source file, zero if unknown; ignored by comparisons

    bool operator==(const RowField &other) const
    {
        return key == other.key && value == other.value;
    }
};

// Identifies a row. The kind is "customer", "pool", "route" or one of a newer version.
struct RowKey
{
    std::string kind;
    std::string name;

    auto operator<=>(const RowKey &) const = default;
    bool operator==(const RowKey &) const = default;
};

// Returns kind and name, such as "route contracts".
[[nodiscard]] std::string rowLabel(const RowKey &key);

struct Row
{
    RowKey key;
    base::Revision revision; // of the last edit of the row; zero for a row that is not committed
    std::vector<RowField> fields; // in the order of the text; a key may repeat
    int line = 0; // as RowField::line

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
    // Adds a row or replaces the row with the same key.
    void put(Row row);
    void remove(const RowKey &key);

    bool operator==(const RowSet &) const = default;
};

// How unknown kinds and fields are handled.
enum class TableParsing {
    Strict, // rejected; for input from operators
    Lenient, // kept; for the stored configuration, which a newer version may have written
};

// Parses rows. A field `revision = N` in a row is the revision that the edit is based on.
[[nodiscard]] base::Result<RowSet> parseRows(std::string_view text, std::string_view fileName, TableParsing parsing = TableParsing::Strict);

// Formats rows as text; parseRows() returns the same rows.
[[nodiscard]] std::string formatRows(const RowSet &rows);

// Returns the typed tables, or InvalidArgument for the first invalid row or inconsistency
// between rows, such as a route without its pool, different models in route and pool, or a
// key digest used twice. Kinds and fields unknown to this version are ignored.
[[nodiscard]] base::Result<Tables> toTables(const RowSet &rows, std::string_view fileName = "tables");

// Returns the page docs/TABLES.md.
[[nodiscard]] std::string renderTablesPage();

} // namespace carawaylatch::config
