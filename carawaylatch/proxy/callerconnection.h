// Server side of one caller's HTTP/1.1 connection: reads requests and writes replies.
//
// The connection keeps reading while a request is in progress, so that a disconnect
// is detected at once; pipelined bytes are buffered up to MaxPipelinedBytes.
// Requests of one connection are processed one at a time, and none is begun while the
// caller has more than MaxQueuedBytes of former responses to read. All calls on the
// traffic thread.
//
// A connection ends in two steps: it sends its end, and then reads until the caller's.
// A close with unread input would reset the connection, and the caller would lose what
// it has not read yet of the last response (RFC 9112, section 9.6).
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "carawaylatch/base/timerservice.h"
#include "carawaylatch/proxy/bufferedbytes.h"
#include "carawaylatch/proxy/httpmessage.h"
#include "carawaylatch/proxy/httpparser.h"
#include "carawaylatch/proxy/socket.h"

namespace carawaylatch::proxy
{

class Exchange;
class TrafficPlane;

// A complete response, from the router itself or from an upstream.
struct Reply
{
    unsigned status = 200;
    std::string reason;
    HttpFields fields; // without framing fields
    std::string body;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(TrafficPlane &plane, Tcp::socket socket);

    void start();
    // Writes a complete response and continues with the next request.
    void reply(const Reply &reply);
    // Writes the head of a response whose body is streamed with sendBodyBytes().
    void beginReply(const Reply &head);
    void sendBodyBytes(std::string_view bytes);
    void endReply();
    // Resets the connection, so that a partial response can't be taken for a complete one.
    void abort();
    // Closes at once and cancels the request in progress.
    void cancel();
    // Closes soon if no request is in progress or may be under way, otherwise after the
    // current one.
    void closeWhenIdle();
    // Ends the request in progress with an explicit response; true if there was one.
    bool endRequest();
    // Ends the request in progress if its prompt is blocked and no output has begun.
    void endBlockedRequest();
    // The snapshot names newer weights than the one before.
    void onWeightsNamed();
    // This router has found that it is cut off from a pool.
    void onPoolCut();
    [[nodiscard]] bool isIdle() const;
    // True if a request was read in part.
    [[nodiscard]] bool hasPartialRequest() const;
    // Bytes not yet written to the socket.
    [[nodiscard]] std::size_t queuedBytes() const;
    // When the last bytes of the request were read, or the system last took bytes of the response.
    [[nodiscard]] base::TimePoint progressAt() const;

private:
    void read();
    void onRead(std::size_t n);
    void consumeInput();
    void consumeRequest();
    void rejectInput(const base::Error &error);
    void rejectRequest(const Reply &rejection);
    void startExchange();
    void finishRequest();
    // Processes the next pipelined request, if any.
    void continueInput();
    void write(std::string_view bytes);
    void flush();
    void writeSome();
    void onWritten();
    void releaseWritten();
    void armTimer();
    void armTimer(base::Duration wait);
    void onTimeout();
    void onRequestTimeout();
    void onDisconnect();
    void closeIfIdle();
    void closeGracefully();
    void close();
    void setBufferedBody(std::size_t bytes);
    [[nodiscard]] bool mayHaveRequestUnderWay();
    [[nodiscard]] std::string headText(const Reply &reply);

    // Pipelined input that is buffered before reading stops.
    static constexpr std::size_t MaxPipelinedBytes = 65'536;
    // Responses that wait to be written, above which no further request is begun.
    static constexpr std::size_t MaxQueuedBytes = 65'536;
    // Input of one request that the parser can't consume yet; the longest head is shorter.
    static constexpr std::size_t MaxUnparsedBytes = 65'536;

    TrafficPlane &m_plane;
    Tcp::socket m_socket;
    std::array<char, 8192> m_chunk{}; // read buffer
    std::string m_input; // read and not yet parsed
    std::optional<HttpRequestParser> m_parser; // empty between requests
    std::shared_ptr<Exchange> m_exchange; // the request in progress
    std::string m_writing; // buffer of the pending write
    std::size_t m_written = 0; // bytes of m_writing that were sent
    std::string m_queued; // to be written after m_writing
    BufferedBytes m_buffered; // queuedBytes()
    std::size_t m_bufferedBody = 0; // body bytes of m_parser, as counted by the plane
    std::size_t m_discarded = 0; // bytes read since the connection sent its end
    base::TimerService::Subscription m_timer;
    const base::TimePoint m_acceptedAt;
    base::TimePoint m_requestStartedAt; // first byte of the current request
    base::TimePoint m_progressAt; // last bytes read of a request or written of a response
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    bool m_isLingering = false; // has sent its end and waits for the caller's
    bool m_hasResponded = false; // at least once
    bool m_isLastByCaller = false; // the caller sends nothing after its current request
    bool m_closesAfterReply = false; // requested by the caller or by shutdown; the next response head says so
    bool m_hasAnnouncedClose = false; // a response head has said so; no further request is read
    bool m_isChunked = false; // the current response uses chunked transfer coding
    bool m_isReplying = false; // a streamed response has begun and is not complete
};

} // namespace carawaylatch::proxy
