// Lines end with LF or CRLF. The data lines of one event are joined by LF.
#include "carawaylatch/http/sseparser.h"

namespace carawaylatch::http
{

SseParser::SseParser(std::size_t maxEventBytes)
    : m_maxEventBytes(maxEventBytes)
{
}

SseParser::State SseParser::feed(std::string_view bytes, const std::function<void(std::string_view data)> &onEvent)
{
    while (m_state == State::Open && !bytes.empty()) {
        const auto end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (m_line.size() + m_data.size() > m_maxEventBytes) {
            m_state = State::Failed;
            break;
        }
        if (end == std::string_view::npos) {
            break;
        }
        bytes.remove_prefix(end + 1);
        processLine(onEvent);
    }
    return m_state;
}

void SseParser::processLine(const std::function<void(std::string_view data)> &onEvent)
{
    constexpr std::string_view Field = "data:";
    std::string_view line = m_line;
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (m_hasData) {
            onEvent(m_data);
        }
        m_data.clear();
        m_hasData = false;
    } else if (line.starts_with(Field)) {
        line.remove_prefix(Field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (m_hasData) {
            m_data += '\n';
        }
        m_data += line;
        m_hasData = true;
    }
    m_line.clear();
}

} // namespace carawaylatch::http
