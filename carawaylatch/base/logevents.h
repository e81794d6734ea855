// Numbered log events.
//
// Every line of the log is one event of the catalogue with named fields:
//
//     logEvent(LogEvent::RouterReady, {{"revision", "17"}, {"upstreams", "9"}});
//
// prints `E1002 RouterReady revision=17 upstreams=9` at the event's level
// through glog. The catalogue is logevents.def; docs/EVENTS.md is rendered from
// it and a test holds the two against each other.
#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace carawaylatch::base
{

enum class LogLevel {
    Info,
    Warning,
    Error,
};

enum class LogEvent {
#define CARAWAYLATCH_EVENT(name, number, level, fields, meaning, remedy) name = (number),
#include "carawaylatch/base/logevents.def"
#undef CARAWAYLATCH_EVENT
};

struct LogEventInfo
{
    LogEvent event;
    std::string_view name;
    LogLevel level;
    std::string_view fields;
    std::string_view meaning;
    std::string_view remedy;
};

struct LogField
{
    std::string_view name;
    std::string value;
};

// Returns the catalogue, ordered by number.
[[nodiscard]] std::span<const LogEventInfo> logEventCatalogue();

// Returns the catalogue as the Markdown page docs/EVENTS.md.
[[nodiscard]] std::string renderLogEventCatalogue();

// Returns an event's line without its end; `seconds` is a time stamp and may be empty.
[[nodiscard]] std::string formatLogEvent(LogEvent event, std::initializer_list<LogField> fields, std::string_view seconds = {});

[[nodiscard]] LogLevel logEventLevel(LogEvent event);

// Writes one event to the log through glog. Safe for use from any thread.
void logEvent(LogEvent event, std::initializer_list<LogField> fields);

} // namespace carawaylatch::base
