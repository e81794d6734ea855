// Writes the buffer in chunks of at most PIPE_BUF bytes: a pipe that poll(2)
// reports as writable accepts that many bytes without blocking.
#include "carawaylatch/telemetry/eventlog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace carawaylatch::telemetry
{

EventLog::EventLog(int descriptor, std::size_t maxBufferedBytes, const base::Clock &clock)
    : m_descriptor(descriptor)
    , m_maxBufferedBytes(maxBufferedBytes)
    , m_clock(clock)
    , m_start(clock.now())
{
}

void EventLog::write(base::LogEvent event, std::initializer_list<base::LogField> fields)
{
    const std::string seconds = base::formatSeconds(m_clock.now() - m_start);
    const std::string line = base::formatLogEvent(event, fields, seconds) + '\n';
    const std::lock_guard lock(m_mutex);
    if (m_dropped > m_reportedDropped) {
        append(base::formatLogEvent(base::LogEvent::LogLinesDropped, {{"lines", std::to_string(m_dropped)}}, seconds) + '\n');
    }
    append(line);
}

// Requires m_mutex.
void EventLog::append(const std::string &line)
{
    if (m_buffer.size() + line.size() > m_maxBufferedBytes) {
        ++m_dropped;
        return;
    }
    m_buffer += line;
    m_reportedDropped = m_dropped;
}

void EventLog::flush()
{
    const std::lock_guard lock(m_mutex);
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd descriptor{m_descriptor, POLLOUT, 0};
        if (poll(&descriptor, 1, 0) != 1 || (descriptor.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t chunkSize = std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
        const ssize_t n = ::write(m_descriptor, m_buffer.data() + written, chunkSize);
        if (n <= 0) {
            break;
        }
        written += static_cast<std::size_t>(n);
    }
    m_buffer.erase(0, written);
}

std::uint64_t EventLog::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace carawaylatch::telemetry
