// Checks between rows: what no single row can show.
#pragma once

#include <functional>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/config/tablefile.h"

namespace carawaylatch::config
{

// Returns the start of a message about a row, "FILE:LINE: " where the line is known.
using RowLocator = std::function<std::string(const RowKey &key)>;

// Returns the first conflict between the rows of tables that are right one by one.
[[nodiscard]] base::Result<void> checkTables(const Tables &tables, const RowLocator &locate);

} // namespace carawaylatch::config
