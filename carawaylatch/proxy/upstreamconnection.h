// One reusable HTTP/1.1 connection to an upstream or to another router: sends a request and reads its response.
//
// Unsolicited bytes close the connection. A response that carries the id of another
// request is read and dropped, and the connection waits for the expected one behind
// it; such a connection is not reused. A response without a request id is accepted
// only as the first of its connection. A response that ends with its connection is
// complete only if the upstream has taken the whole request. Everything that an upstream can send without
// delivering a response is bounded. All calls on the traffic thread.
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

// Receives the response to a request. onResponseEnd() or onResponseError() is the last call.
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

    // Calls `done` once, with an empty problem on success; not after close().
    void connect(const base::Endpoint &endpoint, base::Duration timeout, std::function<void(std::string_view problem)> done);
    // Sends one request and shares ownership of the body until it is written.
    void send(std::string head, std::shared_ptr<const std::string> body, std::string requestId, bool isHeadRequest, std::weak_ptr<ResponseListener> listener);
    // Keeps a connection without a request for a later one.
    void keepIdle();
    void pauseReading();
    void resumeReading();
    // Closes the connection and drops the request on it; no callback is made.
    void close();

    [[nodiscard]] const base::UpstreamId &upstream() const;
    [[nodiscard]] std::uint64_t startTimeMs() const;
    // Id of the last request sent.
    [[nodiscard]] const std::string &requestId() const;
    // True if a response was already read on this connection.
    [[nodiscard]] bool isReused() const;
    // Until this time the upstream is expected to keep the idle connection open.
    [[nodiscard]] base::TimePoint reusableUntil() const;

private:
    void onConnectFailed();
    void onWritten(const boost::system::error_code &ec);
    void onEnd();
    void finishOnceDelivered();
    void read();
    void onRead(std::size_t n);
    void consumeInput();
    void takeBody();
    void consumeHead();
    void finishResponse();
    void fail(std::string_view problem);
    [[nodiscard]] std::shared_ptr<ResponseListener> listener() const;

    static constexpr std::size_t ReadBytes = 16'384;
    static constexpr int MaxMismatchedResponses = 4; // dropped responses to other requests
    static constexpr std::size_t MaxMismatchedBytes = 1'048'576; // of their bodies
    static constexpr int MaxInterimResponses = 16; // before the final one
    static constexpr std::size_t MaxUnparsedBytes = 81'920; // a head, or the framing between two pieces of a body

    TrafficPlane &m_plane;
    const base::UpstreamId m_upstream;
    const std::uint64_t m_startTimeMs;
    Tcp::socket m_socket;
    base::TimerService::Subscription m_connectTimer;
    std::array<char, ReadBytes> m_chunk{};
    std::string m_input;
    std::optional<HttpResponseParser> m_parser; // while a response is expected
    std::weak_ptr<ResponseListener> m_listener;
    std::string m_head;
    std::shared_ptr<const std::string> m_body;
    std::string m_requestId; // of the expected response
    bool m_isHeadRequest = false;
    bool m_isMismatched = false; // the current response belongs to another request and is dropped
    int m_mismatchedResponses = 0;
    std::size_t m_mismatchedBytes = 0;
    int m_interimResponses = 0;
    bool m_hasSeenHead = false; // of the expected response
    bool m_isWriting = false;
    std::string m_writeProblem; // of the last request; empty if it was written or still is
    bool m_hasEnded = false; // the connection has ended after the last byte of a response without a length
    base::TimerService::Subscription m_deliveryTimer;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isConnecting = false;
    bool m_isClosed = false;
    bool m_isReused = false;
    base::Duration m_keepAlive{}; // as announced by the upstream; zero: unknown
    base::TimePoint m_reusableUntil;
};

} // namespace carawaylatch::proxy
