// INI parser on top of libinih.
//
// The library reads lines through a callback. The callback here adds what the
// library lacks: it counts lines, which the library doesn't pass to its handler; it
// records each section header, which the library reports only with the first key;
// and it rejects input that the library would truncate silently: long lines, long
// section names and NUL bytes. For a continuation line the library calls the
// handler again with the same key; the callback detects this case by the
// indentation of the line.
#include "carawaylatch/config/inidocument.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace carawaylatch::config
{

namespace
{

constexpr std::string_view Whitespace = " \t\r\n";

struct IniReader
{
    std::string_view remaining;
    std::string_view fileName;
    int line = 0;
    bool isContinuation = false;
    std::string problem; // of the first invalid line; empty if there is none
    IniDocument document;
};

void setProblem(IniReader &reader, std::string_view problem)
{
    if (reader.problem.empty()) {
        reader.problem = linePrefix(reader.fileName, reader.line) + std::string(problem);
    }
}

void addSection(IniReader &reader, std::string_view line)
{
    const auto start = line.find_first_not_of(Whitespace);
    if (start == std::string_view::npos || line[start] != '[') {
        return;
    }
    const auto end = line.find(']', start);
    if (end == std::string_view::npos) {
        setProblem(reader, "the section header has no ']'; write [NAME]");
        return;
    }
    const auto name = line.substr(start + 1, end - start - 1);
    if (name.empty() || name.size() > MaxIniSectionBytes) {
        setProblem(reader, "a section name has 1 to 49 bytes; shorten it");
    }
    reader.document.sections.push_back({std::string(name), reader.line, {}});
}

char *readLine(char *buf, int size, void *user)
{
    auto &reader = *static_cast<IniReader *>(user);
    if (reader.remaining.empty() || !reader.problem.empty()) {
        return nullptr;
    }
    const auto end = std::min(reader.remaining.find('\n'), reader.remaining.size());
    const auto line = reader.remaining.substr(0, end);
    reader.remaining.remove_prefix(std::min(end + 1, reader.remaining.size()));
    ++reader.line;
    if (line.size() > std::min<std::size_t>(MaxIniLineBytes, size - 3)) {
        setProblem(reader, "the line is longer than 190 bytes; break it and begin the next line with a space");
        return nullptr;
    }
    if (line.find('\0') != std::string_view::npos) {
        setProblem(reader, "the line has a NUL byte; write plain text");
        return nullptr;
    }
    const auto &sections = reader.document.sections;
    const bool isIndented = !line.empty() && (line.front() == ' ' || line.front() == '\t');
    reader.isContinuation = isIndented && !sections.empty() && !sections.back().entries.empty();
    if (!reader.isContinuation) {
        addSection(reader, line);
    }
    std::memcpy(buf, line.data(), line.size());
    buf[line.size()] = '\n';
    buf[line.size() + 1] = '\0';
    return buf;
}

int addEntry(void *user, const char *section, const char *name, const char *value)
{
    auto &reader = *static_cast<IniReader *>(user);
    auto &sections = reader.document.sections;
    if (sections.empty() || sections.back().name != section) {
        setProblem(reader, "the key '" + std::string(name) + "' appears before any section; put it below a [SECTION] line");
        return 0;
    }
    auto &entries = sections.back().entries;
    if (reader.isContinuation && !entries.empty() && entries.back().key == name) {
        auto &joined = entries.back().value;
        joined += joined.empty() ? "" : " ";
        joined += value;
        return 1;
    }
    entries.push_back({name, value, reader.line});
    return 1;
}

} // namespace

std::string linePrefix(std::string_view fileName, int line)
{
    return std::string(fileName) + ':' + std::to_string(line) + ": ";
}

base::Result<IniDocument> parseIni(std::string_view text, std::string_view fileName)
{
    IniReader reader{text, fileName, 0, false, {}, {}};
    const int errorLine = ini_parse_stream(readLine, &reader, addEntry, &reader);
    if (!reader.problem.empty()) {
        return base::fail(base::ErrorKind::InvalidArgument, reader.problem);
    }
    if (errorLine != 0) {
        return base::fail(base::ErrorKind::InvalidArgument,
                          linePrefix(fileName, errorLine) + "neither a section nor a key; write [SECTION] or KEY = VALUE, comments begin with #");
    }
    return std::move(reader.document);
}

base::Result<void> checkIniValue(std::string_view value)
{
    if (std::any_of(value.begin(), value.end(), [](unsigned char it) {
            return it < ' ';
        })) {
        return base::fail(base::ErrorKind::InvalidArgument, "a value has control characters; write it on one line of plain text");
    }
    if (!value.empty() && (value.front() == ' ' || value.back() == ' ' || value.find("  ") != std::string_view::npos)) {
        return base::fail(base::ErrorKind::InvalidArgument, "a value has leading, trailing or repeated spaces; write one space between words");
    }
    if (value.find(" ;") != std::string_view::npos || value.starts_with(';')) {
        return base::fail(base::ErrorKind::InvalidArgument, "a value has ';' at the start of a word, which begins a comment; leave it out");
    }
    constexpr std::size_t MaxWordBytes = 120;
    for (std::size_t start = 0; start < value.size();) {
        const auto end = std::min(value.find(' ', start), value.size());
        if (end - start > MaxWordBytes) {
            return base::fail(base::ErrorKind::InvalidArgument, "a value has a word of more than 120 bytes; shorten it");
        }
        if (start > 0 && value[start] == '#') {
            return base::fail(base::ErrorKind::InvalidArgument, "a value has a word that begins with '#'; reword it");
        }
        start = end + 1;
    }
    return base::ok();
}

void appendIniEntry(std::string &text, std::string_view key, std::string_view value)
{
    std::size_t column = key.size() + 2;
    text += key;
    text += " =";
    for (std::size_t start = 0; start < value.size();) {
        const auto end = std::min(value.find(' ', start), value.size());
        const auto word = value.substr(start, end - start);
        if (column + 1 + word.size() > MaxIniLineBytes) {
            text += "\n   ";
            column = 3;
        }
        text += ' ';
        text += word;
        column += 1 + word.size();
        start = end + 1;
    }
    text += '\n';
}

} // namespace carawaylatch::config
