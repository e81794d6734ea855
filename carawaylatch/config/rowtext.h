// One row as a section of INI text, for those that store rows.
#pragma once

#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/config/inidocument.h"
#include "carawaylatch/config/tablefile.h"

namespace carawaylatch::config
{

[[nodiscard]] base::Result<Row> rowFromSection(const IniSection &section, std::string_view fileName);

// Appends a row as a section without a blank line before it.
void appendRow(std::string &text, const Row &row);

} // namespace carawaylatch::config
