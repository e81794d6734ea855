// Consistency checks across rows, such as references from routes to pools.
#pragma once

#include <functional>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/config/tablefile.h"

namespace carawaylatch::config
{

// Returns the prefix of a message about a row: "FILE:LINE: ", or "FILE: " if the line is unknown.
using RowLocator = std::function<std::string(const RowKey &key)>;

// Returns InvalidArgument for the first inconsistency between rows that are each valid.
[[nodiscard]] base::Result<void> checkTables(const Tables &tables, const RowLocator &locate);

} // namespace carawaylatch::config
