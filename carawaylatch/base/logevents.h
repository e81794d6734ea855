// Structured logging: numbered events with named fields.
//
// Each log line is one event of the catalogue:
//
//     logEvent(LogEvent::RouterReady, {{"revision", "17"}, {"upstreams", "9"}});
//
// prints `E1002 RouterReady revision=17 upstreams=9` at the event's level
// through glog. The catalogue is logevents.def; docs/EVENTS.md is rendered from
// it, and a test compares the two.
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

// Returns the catalogue, sorted by event number.
[[nodiscard]] std::span<const LogEventInfo> logEventCatalogue();

// Returns the catalogue as the Markdown page docs/EVENTS.md.
[[nodiscard]] std::string renderLogEventCatalogue();

// Returns the log line of an event without a line break. `seconds` is a time stamp that
// is written as t=SECONDS; empty for none.
[[nodiscard]] std::string formatLogEvent(LogEvent event, std::initializer_list<LogField> fields, std::string_view seconds = {});

[[nodiscard]] LogLevel logEventLevel(LogEvent event);

// Logs one event through glog. Safe from any thread.
void logEvent(LogEvent event, std::initializer_list<LogField> fields);

} // namespace carawaylatch::base
