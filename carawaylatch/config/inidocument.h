// INI text as a list of sections with line numbers.
//
// The form of settings, tables and the stored configuration. Sections and keys
// keep their order and may repeat; what a repetition means is decided by the
// reader of the document. A value that is too long for one line goes on in lines
// that begin with a space; the parts are joined with one space.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"

namespace carawaylatch::config
{

// Longest line in bytes without its end.
constexpr std::size_t MaxIniLineBytes = 190;
// Longest name of a section in bytes.
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

// Returns the sections of a text. `fileName` stands in error messages.
[[nodiscard]] base::Result<IniDocument> parseIni(std::string_view text, std::string_view fileName);

// Appends `key = value` to a text, broken between words where the line would be too long.
// The value must pass checkIniValue().
void appendIniEntry(std::string &text, std::string_view key, std::string_view value);

// Returns an error if a value would not survive being written and read back.
[[nodiscard]] base::Result<void> checkIniValue(std::string_view value);

// Returns "FILE:LINE: ", the start of every message about a line.
[[nodiscard]] std::string linePrefix(std::string_view fileName, int line);

} // namespace carawaylatch::config
