// One row as a section of INI text, shared by the table files and the stored head.
#pragma once

#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/config/inidocument.h"
#include "carawaylatch/config/tablefile.h"

namespace carawaylatch::config
{

// Returns the row of a section "[KIND NAME]", or InvalidArgument with file and line. Unknown
// kinds and fields are kept.
[[nodiscard]] base::Result<Row> rowFromSection(const IniSection &section, std::string_view fileName);

// Appends a row as a section, without a blank line before it.
void appendRow(std::string &text, const Row &row);

} // namespace carawaylatch::config
