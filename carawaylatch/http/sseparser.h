// Incremental parser for the part of the server-sent events format that engines use:
// "data:" lines and the blank lines that end an event.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace carawaylatch::http
{

// Splits a byte stream into the payloads of its events. Other fields and comments are
// ignored. An event of more than `maxEventBytes` puts the parser into the Failed
// state, which is final; this bounds the memory that an upstream can use.
class SseParser
{
public:
    enum class State {
        Open,
        Failed,
    };
    static constexpr std::size_t MaxEventBytes = 1'000'000;

    explicit SseParser(std::size_t maxEventBytes = MaxEventBytes);

    // Parses the next bytes of the stream and calls `onEvent` for each complete event.
    State feed(std::string_view bytes, const std::function<void(std::string_view data)> &onEvent);

private:
    void processLine(const std::function<void(std::string_view data)> &onEvent);

    const std::size_t m_maxEventBytes;
    std::string m_line; // received part of the current line
    std::string m_data; // payload of the current event
    bool m_hasData = false;
    State m_state = State::Open;
};

} // namespace carawaylatch::http
