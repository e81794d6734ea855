// One connection to an upstream: sends a request, reads its answer, is kept for
// the next one.
//
// Bytes that no request waits for end the connection. An answer that names
// another request is read and dropped, and the one that is due is awaited behind
// it; such a connection isn't kept. An answer that names none is taken only as the
// first of its connection. All calls on the traffic thread.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/timerservice.h"
#include "carawaylatch/proxy/dialect.h"
#include "carawaylatch/proxy/httpparser.h"
#include "carawaylatch/proxy/socket.h"

namespace carawaylatch::proxy
{

class TrafficPlane;

// What an attempt hears of its connection. After onResponseEnd() or onResponseError() it hears nothing more.
class ResponseListener
{
public:
    virtual ~ResponseListener() = default;
    virtual void onResponseHead(const HttpResponseHead &head, const UpstreamResponse &response) = 0;
    virtual void onResponseBody(std::string bytes) = 0;
    virtual void onResponseEnd() = 0;
    virtual void onResponseError(std::string_view problem) = 0;
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(TrafficPlane &plane, base::UpstreamId upstream, std::uint64_t startTimeMs);

    // Calls back once, with an empty problem on success. Not after close().
    void connect(const base::Endpoint &endpoint, base::Duration timeout, std::function<void(std::string_view problem)> done);
    // Sends one request. The body is kept until it was written.
    void send(std::string head, std::shared_ptr<const std::string> body, std::string requestId, bool isHeadRequest, std::weak_ptr<ResponseListener> listener);
    void pauseReading();
    void resumeReading();
    // Ends the connection and the request on it; nothing is called back.
    void close();

    [[nodiscard]] const base::UpstreamId &upstream() const;
    [[nodiscard]] std::uint64_t startTimeMs() const;
    // True if an answer was read on it before.
    [[nodiscard]] bool isReused() const;
    // The time until which the upstream is sure to keep it open.
    [[nodiscard]] base::TimePoint reusableUntil() const;

private:
    void read();
    void onRead(std::size_t n);
    void consumeInput();
    void consumeHead();
    void finishResponse();
    void fail(std::string_view problem);
    [[nodiscard]] std::shared_ptr<ResponseListener> listener() const;

    static constexpr std::size_t ReadBytes = 16'384;
    static constexpr int MaxMismatchedResponses = 4; // answers of other requests that are passed over

    TrafficPlane &m_plane;
    const base::UpstreamId m_upstream;
    const std::uint64_t m_startTimeMs;
    Tcp::socket m_socket;
    base::TimerService::Subscription m_connectTimer;
    std::array<char, ReadBytes> m_chunk{};
    std::string m_input;
    std::optional<HttpResponseParser> m_parser; // while an answer is due
    std::weak_ptr<ResponseListener> m_listener;
    std::string m_head;
    std::shared_ptr<const std::string> m_body;
    std::string m_requestId; // whose answer is due
    bool m_isHeadRequest = false;
    bool m_isMismatched = false; // the answer under way is dropped
    int m_mismatchedResponses = 0;
    bool m_hasSeenHead = false; // of the answer that is due
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isClosed = false;
    bool m_isReused = false;
    base::Duration m_keepAlive{}; // as the upstream told; zero: not told
    base::TimePoint m_reusableUntil;
};

} // namespace carawaylatch::proxy
