// Operators' files: reading, merging and the edit that they ask for.
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

// Reads a file whole; InvalidArgument if it can't be read.
[[nodiscard]] base::Result<std::string> readFile(const std::string &path);

// Returns the rows of all files together; a row that stands in two files is an error.
[[nodiscard]] base::Result<config::RowSet> readTableFiles(std::span<const std::string> paths);

// Returns the changes that files and removals ask for.
[[nodiscard]] base::Result<std::vector<config::RowChange>> changesFor(const CommandContext &context, const config::RowSet &current);

} // namespace carawaylatch::ctl
