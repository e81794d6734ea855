// Log events on a descriptor, through a bounded buffer that never blocks.
//
// write() appends a line to the buffer; when the buffer is full the line is
// dropped and counted. flush() writes what the descriptor takes at once. The
// next line that fits after a loss tells how many were lost.
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
    // `descriptor` stays open for the log's life. `clock` outlives the log.
    EventLog(int descriptor, std::size_t maxBufferedBytes, const base::Clock &clock);

    // Safe from any thread.
    void write(base::LogEvent event, std::initializer_list<base::LogField> fields);
    void flush();
    // Lines dropped since the start.
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
