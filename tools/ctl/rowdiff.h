// Changes of rows as text and JSON.
#pragma once

#include <span>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "carawaylatch/config/configstore.h"

namespace carawaylatch::ctl
{

// Returns one block for each row, "-" before removed lines and "+" before added ones.
[[nodiscard]] std::string renderChanges(const config::RowSet &before, std::span<const config::RowChange> changes);

// Returns the same as an array of {"row","change","removed","added"}.
[[nodiscard]] nlohmann::ordered_json changesJson(const config::RowSet &before, std::span<const config::RowChange> changes);

// Returns a row as {"kind","name","revision","fields":[{"key","value"}]}.
[[nodiscard]] nlohmann::ordered_json rowJson(const config::Row &row);

} // namespace carawaylatch::ctl
