// Table files of operators: reading, merging and the resulting changes.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/config/configstore.h"
#include "carawaylatch/config/tablefile.h"
#include "tools/ctl/command.h"

namespace carawaylatch::ctl
{

// Returns the content of a file. Error InvalidArgument: it can't be read or is empty.
[[nodiscard]] base::Result<std::string> readFile(const std::string &path);

// Returns the rows of all files together. A row that is defined in two files is an error.
[[nodiscard]] base::Result<config::RowSet> readTableFiles(std::span<const std::string> paths);

// Returns the changes that lead from `current` to the rows of the files, and the removals
// of the options.
[[nodiscard]] base::Result<std::vector<config::RowChange>> changesFor(const CommandContext &context, const config::RowSet &current);

} // namespace carawaylatch::ctl
