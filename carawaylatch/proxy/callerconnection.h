// One connection of a caller: reads requests, writes answers.
//
// Reading never stops while a request is under way, so that a caller that leaves
// is noticed at once; bytes of a following request are kept up to a bound.
// Requests of one connection are answered one after the other. All calls on the
// traffic thread.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "carawaylatch/base/timerservice.h"
#include "carawaylatch/proxy/httpmessage.h"
#include "carawaylatch/proxy/httpparser.h"
#include "carawaylatch/proxy/socket.h"

namespace carawaylatch::proxy
{

class Exchange;
class TrafficPlane;

// An answer of the router itself, or a complete one of an upstream.
struct Reply
{
    unsigned status = 200;
    std::string reason;
    HttpFields fields; // without framing
    std::string body;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(TrafficPlane &plane, Tcp::socket socket);

    void start();
    // Writes a whole answer and goes on with the next request.
    void reply(const Reply &reply);
    // Writes the head of an answer whose body follows in pieces.
    void beginReply(const Reply &head);
    void sendBodyBytes(std::string_view bytes);
    void endReply();
    // Closes so that an answer under way can't look complete.
    void abort();
    // Closes at once and cancels the request under way.
    void cancel();
    // Closes if no request is under way; otherwise after the present one.
    void closeWhenIdle();
    [[nodiscard]] bool isIdle() const;
    // Bytes that the caller has not taken yet.
    [[nodiscard]] std::size_t queuedBytes() const;

private:
    void read();
    void onRead(std::size_t n);
    void consumeInput();
    void consumeRequest();
    void rejectInput(const base::Error &error);
    void startExchange();
    void finishRequest();
    void write(std::string_view bytes);
    void flush();
    void armTimer();
    void onTimeout();
    void onDisconnect();
    void close();
    [[nodiscard]] std::string headText(const Reply &reply) const;

    // A caller may send this much of following requests ahead.
    static constexpr std::size_t MaxPipelinedBytes = 65'536;

    TrafficPlane &m_plane;
    Tcp::socket m_socket;
    std::array<char, 8192> m_chunk{}; // one read
    std::string m_input; // read and not yet parsed
    std::optional<HttpRequestParser> m_parser; // nothing between requests
    std::shared_ptr<Exchange> m_exchange; // the request under way
    std::string m_writing; // handed to the socket
    std::string m_queued; // follows m_writing
    base::TimerService::Subscription m_timer;
    base::TimePoint m_requestStartedAt; // first byte of the present request
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    bool m_closesAfterReply = false; // asked for by the caller or by a stop
    bool m_isChunked = false; // the body under way
    bool m_isReplying = false; // a head was written whose body is not complete
};

} // namespace carawaylatch::proxy
