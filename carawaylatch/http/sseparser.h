// Server-sent events, as far as engines use them: "data:" lines and blank lines.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace carawaylatch::http
{

// Cuts a byte stream into the payloads of its events. Other fields and comments
// are passed over. An event of more than `maxEventBytes` makes the parser fail
// for good.
class SseParser
{
public:
    enum class State {
        Open,
        Failed,
    };
    static constexpr std::size_t MaxEventBytes = 1'000'000;

    explicit SseParser(std::size_t maxEventBytes = MaxEventBytes);

    // Feeds bytes as they arrive; calls back for each complete event.
    State feed(std::string_view bytes, const std::function<void(std::string_view data)> &onEvent);

private:
    void processLine(const std::function<void(std::string_view data)> &onEvent);

    const std::size_t m_maxEventBytes;
    std::string m_line; // the line begun, without its end
    std::string m_data; // payload of the event begun
    bool m_hasData = false;
    State m_state = State::Open;
};

} // namespace carawaylatch::http
