// Writes log events to a file descriptor through a bounded buffer, without
// blocking the caller.
//
// write() appends a line to the buffer; if the buffer is full, the line is
// dropped and counted. flush() writes as much as the descriptor accepts without
// blocking. After lines were dropped, a LogLinesDropped event with the total
// precedes the next line that fits. A slow log reader thus costs lines and never
// delays traffic.
//
//     E2420 RequestEnded t=12.345 id=9c41 route=r-1 status=200 ...
#pragma once

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>

#include "carawaylatch/base/logevents.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::telemetry
{

class EventLog
{
public:
    // `descriptor` must stay open and `clock` must exist for the lifetime of the log.
    EventLog(int descriptor, std::size_t maxBufferedBytes, const base::Clock &clock);

    // Thread-safe. Appends one line; drops and counts it if the buffer has no room.
    void write(base::LogEvent event, std::initializer_list<base::LogField> fields);
    // Thread-safe. Writes buffered bytes until the descriptor would block or fails.
    void flush();
    // Returns the number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void append(const std::string &line);

    const int m_descriptor;
    const std::size_t m_maxBufferedBytes;
    const base::Clock &m_clock;
    const base::TimePoint m_start;
    mutable std::mutex m_mutex;
    std::string m_buffer; // guarded by m_mutex; at most m_maxBufferedBytes
    std::uint64_t m_dropped = 0; // guarded by m_mutex
    std::uint64_t m_reportedDropped = 0; // guarded by m_mutex
};

} // namespace carawaylatch::telemetry
