// Storage format of the configuration: INI text, like the table files, so that
// operators can read the stored objects.
//
// The head is a section [head], then for each edit a section [edit ID] followed by
// the rows that it changes. Attributes of a change other than the row's fields have
// keys that begin with '@', which is not allowed in field names. A snapshot is a
// section [configuration] followed by all rows.
#include "carawaylatch/config/head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/inidocument.h"
#include "carawaylatch/config/rowtext.h"
#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::config
{

using base::Result;

namespace
{

constexpr std::string_view ChangeKey = "@change";
constexpr std::string_view ExpectedKey = "@expected";
constexpr std::string_view EditSection = "edit ";

std::string hexText(std::uint64_t value)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(value));
    return buf.data();
}

base::Error unreadableObject(std::string_view objectName, const std::string &reason)
{
    return base::fail(base::ErrorKind::Internal, std::string(objectName) + " can't be read: " + reason + "; inspect the object with the platform's tools");
}

const std::string *findValue(const IniSection &section, std::string_view key)
{
    const auto it = std::find_if(section.entries.begin(), section.entries.end(), [key](const IniEntry &entry) {
        return entry.key == key;
    });
    return it == section.entries.end() ? nullptr : &it->value;
}

Result<std::uint64_t> requiredNumber(const IniSection &section, std::string_view key)
{
    const auto *value = findValue(section, key);
    if (value == nullptr) {
        return base::fail(base::ErrorKind::InvalidArgument, "[" + section.name + "] has no key '" + std::string(key) + "'");
    }
    return parseNumber(*value);
}

void appendChange(std::string &text, const RowChange &change)
{
    text += '[' + rowLabel(change.row.key) + "]\n";
    appendIniEntry(text, ChangeKey, change.kind == RowChange::Kind::Put ? "put" : "remove");
    if (change.expected) {
        appendIniEntry(text, ExpectedKey, std::to_string(change.expected->value));
    }
    for (const auto &it : change.row.fields) {
        appendIniEntry(text, it.key, it.value);
    }
}

void appendEdit(std::string &text, const Edit &edit)
{
    text += '[' + std::string(EditSection) + hexText(edit.id.value) + "]\n";
    appendIniEntry(text, "revision", std::to_string(edit.revision.value));
    appendIniEntry(text, "author", edit.author);
    appendIniEntry(text, "made_at", std::to_string(edit.madeAt));
    for (const auto &it : edit.changes) {
        appendChange(text, it);
    }
}

Result<RowChange> parseChange(IniSection section)
{
    RowChange change;
    const auto *kind = findValue(section, ChangeKey);
    if (kind == nullptr || (*kind != "put" && *kind != "remove")) {
        return base::fail(base::ErrorKind::InvalidArgument, "[" + section.name + "] has no key '@change' of put or remove");
    }
    change.kind = *kind == "put" ? RowChange::Kind::Put : RowChange::Kind::Remove;
    if (findValue(section, ExpectedKey) != nullptr) {
        BOOST_OUTCOME_TRY(expected, requiredNumber(section, ExpectedKey));
        change.expected = base::Revision{expected};
    }
    std::erase_if(section.entries, [](const IniEntry &it) {
        return it.key.starts_with('@');
    });
    BOOST_OUTCOME_TRY(row, rowFromSection(section, "edit"));
    change.row = std::move(row);
    return change;
}

Result<Edit> parseEdit(const IniSection &section)
{
    Edit edit;
    const auto hex = std::string_view(section.name).substr(EditSection.size());
    const auto [end, ec] = std::from_chars(hex.data(), hex.data() + hex.size(), edit.id.value, 16);
    if (ec != std::errc{} || end != hex.data() + hex.size()) {
        return base::fail(base::ErrorKind::InvalidArgument, "[" + section.name + "] has no valid id");
    }
    BOOST_OUTCOME_TRY(revision, requiredNumber(section, "revision"));
    BOOST_OUTCOME_TRY(madeAt, requiredNumber(section, "made_at"));
    edit.revision.value = revision;
    edit.madeAt = static_cast<std::int64_t>(madeAt);
    if (const auto *author = findValue(section, "author"); author != nullptr) {
        edit.author = *author;
    }
    return edit;
}

Result<std::vector<Edit>> parseEditSections(std::span<const IniSection> sections)
{
    std::vector<Edit> edits;
    for (const auto &section : sections) {
        if (section.name.starts_with(EditSection)) {
            BOOST_OUTCOME_TRY(edit, parseEdit(section));
            if (!edits.empty() && edit.revision.value != edits.back().revision.value + 1) {
                return base::fail(base::ErrorKind::InvalidArgument, "[" + section.name + "] has a revision out of order");
            }
            edits.push_back(std::move(edit));
        } else if (edits.empty()) {
            return base::fail(base::ErrorKind::InvalidArgument, "[" + section.name + "] appears before any edit");
        } else {
            BOOST_OUTCOME_TRY(change, parseChange(section));
            edits.back().changes.push_back(std::move(change));
        }
    }
    return edits;
}

std::string formatSegment(const HistorySegment &segment)
{
    return std::to_string(segment.first.value) + '-' + std::to_string(segment.last.value);
}

Result<HistorySegment> parseSegment(std::string_view text)
{
    const auto dash = text.find('-');
    BOOST_OUTCOME_TRY(first, parseNumber(text.substr(0, dash)));
    BOOST_OUTCOME_TRY(last, parseNumber(dash == std::string_view::npos ? std::string_view{} : text.substr(dash + 1)));
    return HistorySegment{{first}, {last}};
}

Result<Head> parseHeadSections(const IniDocument &document)
{
    if (document.sections.empty() || document.sections.front().name != "head") {
        return base::fail(base::ErrorKind::InvalidArgument, "the first section is not [head]");
    }
    const auto &section = document.sections.front();
    Head head;
    BOOST_OUTCOME_TRY(revision, requiredNumber(section, "revision"));
    BOOST_OUTCOME_TRY(snapshotRevision, requiredNumber(section, "snapshot_revision"));
    head.revision.value = revision;
    head.snapshotRevision.value = snapshotRevision;
    if (const auto *name = findValue(section, "snapshot"); name != nullptr) {
        head.snapshotName = *name;
    }
    if (const auto *history = findValue(section, "history"); history != nullptr) {
        for (const auto it : splitList(*history)) {
            BOOST_OUTCOME_TRY(segment, parseSegment(it));
            head.history.push_back(segment);
        }
    }
    BOOST_OUTCOME_TRY(edits, parseEditSections(std::span(document.sections).subspan(1)));
    head.edits = std::move(edits);
    const bool isContiguous = head.edits.empty() ? head.revision == head.snapshotRevision
                                                 : head.edits.front().revision.value == snapshotRevision + 1 && head.edits.back().revision == head.revision;
    if (!isContiguous) {
        return base::fail(base::ErrorKind::InvalidArgument, "its edits don't cover all revisions after its snapshot");
    }
    return head;
}

} // namespace

std::string formatHead(const Head &head)
{
    std::string text = "[head]\n";
    appendIniEntry(text, "revision", std::to_string(head.revision.value));
    appendIniEntry(text, "snapshot", head.snapshotName);
    appendIniEntry(text, "snapshot_revision", std::to_string(head.snapshotRevision.value));
    std::string history;
    for (const auto &it : head.history) {
        history += (history.empty() ? "" : ", ") + formatSegment(it);
    }
    appendIniEntry(text, "history", history);
    return text + formatEdits(head.edits);
}

Result<Head> parseHead(std::string_view text)
{
    const auto document = parseIni(text, HeadName);
    if (!document) {
        return unreadableObject(HeadName, document.error().message);
    }
    auto head = parseHeadSections(document.value());
    if (!head) {
        return unreadableObject(HeadName, head.error().message);
    }
    return head;
}

std::string formatEdits(std::span<const Edit> edits)
{
    std::string text;
    for (const auto &it : edits) {
        appendEdit(text, it);
    }
    return text;
}

Result<std::vector<Edit>> parseEdits(std::string_view text)
{
    const auto document = parseIni(text, "edits");
    if (!document) {
        return unreadableObject("a list of edits", document.error().message);
    }
    auto edits = parseEditSections(document.value().sections);
    if (!edits) {
        return unreadableObject("a list of edits", edits.error().message);
    }
    return edits;
}

std::string formatSnapshot(const RowSet &rows)
{
    std::string text = "[configuration]\n";
    appendIniEntry(text, "revision", std::to_string(rows.revision.value));
    for (const auto &it : rows.rows) {
        appendRow(text, it);
    }
    return text;
}

Result<RowSet> parseSnapshot(std::string_view text)
{
    const auto document = parseIni(text, "snapshot");
    if (!document) {
        return unreadableObject("a snapshot", document.error().message);
    }
    const auto &sections = document.value().sections;
    if (sections.empty() || sections.front().name != "configuration") {
        return unreadableObject("a snapshot", "the first section is not [configuration]");
    }
    const auto revision = requiredNumber(sections.front(), "revision");
    if (!revision) {
        return unreadableObject("a snapshot", revision.error().message);
    }
    RowSet rows;
    rows.revision.value = revision.value();
    for (const auto &it : std::span(sections).subspan(1)) {
        auto row = rowFromSection(it, "snapshot");
        if (!row) {
            return unreadableObject("a snapshot", row.error().message);
        }
        rows.put(std::move(row.value()));
    }
    return rows;
}

std::string snapshotName(base::Revision revision, std::string_view text)
{
    return std::string(SnapshotPrefix) + std::to_string(revision.value) + '-' + hexText(base::hash64(text));
}

std::string historyName(const HistorySegment &segment)
{
    return std::string(HistoryPrefix) + formatSegment(segment);
}

void applyEdit(RowSet &rows, const Edit &edit)
{
    for (const auto &it : edit.changes) {
        if (it.kind == RowChange::Kind::Remove) {
            rows.remove(it.row.key);
        } else {
            Row row = it.row;
            row.revision = edit.revision;
            rows.put(std::move(row));
        }
    }
    rows.revision = edit.revision;
}

RowSet materialize(RowSet snapshot, const Head &head)
{
    for (const auto &it : head.edits) {
        applyEdit(snapshot, it);
    }
    return snapshot;
}

} // namespace carawaylatch::config
