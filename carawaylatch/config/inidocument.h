// INI text as a list of sections with line numbers.
//
// Settings, tables and the stored configuration use this format. Sections and keys
// keep their order and may repeat; the caller decides what a repetition means. A
// value that is too long for one line continues on lines that begin with a space;
// the lines are joined with one space.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"

namespace carawaylatch::config
{

// Longest line in bytes, without the line end.
constexpr std::size_t MaxIniLineBytes = 190;
// Longest section name in bytes.
constexpr std::size_t MaxIniSectionBytes = 49;

struct IniEntry
{
    std::string key;
    std::string value;
    int line = 0; // from 1

    bool operator==(const IniEntry &) const = default;
};

struct IniSection
{
    std::string name;
    int line = 0; // from 1
    std::vector<IniEntry> entries;

    bool operator==(const IniSection &) const = default;
};

struct IniDocument
{
    std::vector<IniSection> sections;
};

// Parses a text; InvalidArgument names the first invalid line. `fileName` is used in
// error messages only.
[[nodiscard]] base::Result<IniDocument> parseIni(std::string_view text, std::string_view fileName);

// Appends `key = value` to a text, wrapped between words at MaxIniLineBytes.
// The value must pass checkIniValue().
void appendIniEntry(std::string &text, std::string_view key, std::string_view value);

// Returns InvalidArgument if a value would change when written and parsed again.
[[nodiscard]] base::Result<void> checkIniValue(std::string_view value);

// Returns "FILE:LINE: ", the prefix of every message about a line.
[[nodiscard]] std::string linePrefix(std::string_view fileName, int line);

} // namespace carawaylatch::config
