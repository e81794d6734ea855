// The event catalogue and the format of log lines. Values with spaces or quotes are
// quoted, so that a line can be split into fields unambiguously.
#include "carawaylatch/base/logevents.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace carawaylatch::base
{

namespace
{

constexpr std::array Catalogue{
#define CARAWAYLATCH_EVENT(name, number, level, fields, meaning, remedy) LogEventInfo{LogEvent::name, #name, LogLevel::level, fields, meaning, remedy},
#include "carawaylatch/base/logevents.def"
#undef CARAWAYLATCH_EVENT
};

// Never fails: the enum and the catalogue are generated from the same list.
const LogEventInfo &eventInfo(LogEvent event)
{
    return *std::find_if(Catalogue.begin(), Catalogue.end(), [event](const LogEventInfo &info) {
        return info.event == event;
    });
}

std::string_view levelName(LogLevel level)
{
    static constexpr std::array<std::string_view, 3> LevelNames{"info", "warning", "error"};
    return LevelNames.at(static_cast<std::size_t>(level));
}

std::string quoteIfNeeded(std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"\n\r\\") == std::string_view::npos) {
        return std::string(value);
    }
    std::string out = "\"";
    for (const char it : value) {
        if (it == '"' || it == '\\') {
            out += '\\';
        }
        out += it == '\n' || it == '\r' ? ' ' : it;
    }
    return out + '"';
}

} // namespace

std::span<const LogEventInfo> logEventCatalogue()
{
    return Catalogue;
}

std::string renderLogEventCatalogue()
{
    std::ostringstream out;
    out << "# Log events\n\nRendered from carawaylatch/base/logevents.def; a test compares the two.\n\n";
    out << "| number | event | level | fields | meaning | what to do |\n|---|---|---|---|---|---|\n";
    for (const auto &it : Catalogue) {
        out << "| " << static_cast<int>(it.event) << " | " << it.name << " | " << levelName(it.level) << " | " << it.fields << " | " << it.meaning << " | "
            << it.remedy << " |\n";
    }
    return out.str();
}

std::string formatLogEvent(LogEvent event, std::initializer_list<LogField> fields, std::string_view seconds)
{
    std::string line = "E" + std::to_string(static_cast<int>(event)) + ' ';
    line += eventInfo(event).name;
    if (!seconds.empty()) {
        line.append(" t=").append(seconds);
    }
    for (const auto &field : fields) {
        line.append(" ").append(field.name).append("=").append(quoteIfNeeded(field.value));
    }
    return line;
}

LogLevel logEventLevel(LogEvent event)
{
    return eventInfo(event).level;
}

} // namespace carawaylatch::base
