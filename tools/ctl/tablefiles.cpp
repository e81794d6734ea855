// Reads table files and determines the changes that they make.
//
// The rows of all files form one edit, so that a route and the pool that it requires are
// accepted together even if they are in two files.
#include "tools/ctl/tablefiles.h"

#include <fstream>
#include <sstream>

namespace carawaylatch::ctl
{

namespace
{

using base::ErrorKind;

base::Result<config::RowKey> parseRowLabel(const std::string &label)
{
    std::istringstream in(label);
    config::RowKey key;
    std::string rest;
    if (!(in >> key.kind >> key.name) || in >> rest) {
        return base::fail(ErrorKind::InvalidArgument, "--remove: '" + label + "' names no row; write its heading, such as 'route contracts'");
    }
    return key;
}

} // namespace

base::Result<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        return base::fail(ErrorKind::InvalidArgument, "can't read " + path + " or it is empty; name a file that contains text");
    }
    return text.str();
}

base::Result<config::RowSet> readTableFiles(std::span<const std::string> paths)
{
    config::RowSet all;
    for (const auto &path : paths) {
        BOOST_OUTCOME_TRY(text, readFile(path));
        BOOST_OUTCOME_TRY(rows, config::parseRows(text, path));
        for (auto &row : rows.rows) {
            if (all.find(row.key) != nullptr) {
                return base::fail(ErrorKind::InvalidArgument, path + ":" + std::to_string(row.line) + ": [" + config::rowLabel(row.key)
                                                                  + "] is defined in another file too; keep one of them");
            }
            all.put(std::move(row));
        }
    }
    return all;
}

base::Result<std::vector<config::RowChange>> changesFor(const CommandContext &context, const config::RowSet &current)
{
    BOOST_OUTCOME_TRY(wanted, readTableFiles(context.operands));
    const auto scope = context.options.scope == TableScope::Whole ? config::FileScope::AllRows : config::FileScope::NamedRows;
    auto changes = config::changesBetween(current, wanted, scope);
    for (const auto &label : context.options.removals) {
        BOOST_OUTCOME_TRY(key, parseRowLabel(label));
        const auto *row = current.find(key);
        if (row == nullptr || wanted.find(key) != nullptr) {
            return base::fail(ErrorKind::InvalidArgument,
                              "--remove: " + label
                                  + (row == nullptr ? " doesn't exist; 'get' shows all rows" : " is defined in a file too; leave out one of them"));
        }
        changes.push_back({config::RowChange::Kind::Remove, *row, row->revision});
    }
    return changes;
}

} // namespace carawaylatch::ctl
