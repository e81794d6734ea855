// Parser of streamed responses.
//
// The splitter buffers the unfinished line, so that an event may arrive in any number of
// chunks. Only `data:` lines carry events in this API; comments and blank lines are
// skipped. A payload that can't be parsed is an event too: the verifier reports it as a
// violation.
#include "tools/load/streamevents.h"

#include <nlohmann/json.hpp>

namespace carawaylatch::load
{

namespace
{

using nlohmann::json;

constexpr std::string_view DataField = "data:";

StreamUsage parseUsage(const json &usage)
{
    StreamUsage result;
    result.promptTokens = usage.value("prompt_tokens", std::uint64_t{0});
    result.completionTokens = usage.value("completion_tokens", std::uint64_t{0});
    result.cachedTokens = usage.value("cached_tokens", std::uint64_t{0});
    if (const auto details = usage.find("prompt_tokens_details"); details != usage.end() && details->is_object()) {
        result.cachedTokens = details->value("cached_tokens", result.cachedTokens);
    }
    return result;
}

StreamEvent parseChunk(const json &chunk)
{
    StreamEvent event;
    if (const auto error = chunk.find("error"); error != chunk.end()) {
        event.kind = StreamEvent::Kind::Error;
        event.text = error->value("type", std::string("unnamed"));
        return event;
    }
    const auto &choice = chunk.at("choices").at(0);
    if (const auto reason = choice.find("finish_reason"); reason != choice.end() && !reason->is_null()) {
        event.kind = StreamEvent::Kind::Last;
        if (chunk.contains("token_count")) {
            event.tokenCount = chunk.at("token_count").get<std::uint64_t>();
        }
        if (chunk.contains("usage")) {
            event.usage = parseUsage(chunk.at("usage"));
        }
        return event;
    }
    event.kind = StreamEvent::Kind::Token;
    event.index = chunk.at("token_index").get<std::uint64_t>();
    event.text = choice.contains("text") ? choice.at("text").get<std::string>() : choice.at("delta").value("content", std::string());
    return event;
}

} // namespace

StreamEvent parseStreamEvent(std::string_view payload)
{
    StreamEvent event;
    if (payload == "[DONE]") {
        event.kind = StreamEvent::Kind::Done;
        return event;
    }
    try {
        return parseChunk(json::parse(payload));
    } catch (const json::exception &) {
        return event;
    }
}

void EventSplitter::feed(std::string_view bytes, const Sink &sink)
{
    for (const char it : bytes) {
        if (it != '\n') {
            m_line += it;
            continue;
        }
        std::string_view line = m_line;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with(DataField)) {
            line.remove_prefix(DataField.size());
            sink(line.starts_with(' ') ? line.substr(1) : line);
        }
        m_line.clear();
    }
}

} // namespace carawaylatch::load
