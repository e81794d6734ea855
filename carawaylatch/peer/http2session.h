// Protocol state of one HTTP/2 connection between peers, without I/O: received bytes
// go in; bytes to send, requests and responses come out. nghttp2 implements the
// protocol, http2transport.cpp the sockets.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct nghttp2_session;

namespace carawaylatch::peer
{

class Http2Session
{
public:
    enum class Role {
        Client,
        Server,
    };
    // A complete request on the server side.
    struct Request
    {
        std::int32_t stream = 0;
        std::string body; // empty if it exceeded the limit
        bool isTooLarge = false;
    };
    // The end of a request on the client side.
    struct Response
    {
        std::int32_t stream = 0;
        int status = 0; // HTTP status; zero if the stream was closed without a complete response
        std::string body; // empty if it exceeded the limit
    };

    // Received bodies over `maxBodyBytes`, or over four times that for all open streams
    // together, are rejected. This bounds the memory that a peer can use.
    Http2Session(Role role, std::size_t maxBodyBytes);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    // Processes received bytes. Returns false if the connection must be closed.
    [[nodiscard]] bool receive(std::string_view bytes);
    // Returns the next bytes to send, empty if there are none at the moment.
    [[nodiscard]] std::string takeOutput();
    // Client: starts a request. Returns its stream id, or a negative number if no stream
    // can be opened.
    [[nodiscard]] std::int32_t submit(std::string body);
    // Server: sends the response to a request.
    void respond(std::int32_t stream, int status, std::string body = {});
    // Server: returns and removes the requests received since the last call.
    [[nodiscard]] std::vector<Request> takeRequests();
    // Client: returns and removes the responses received since the last call.
    [[nodiscard]] std::vector<Response> takeResponses();

private:
    struct Callbacks; // for nghttp2

    struct Stream
    {
        std::string body; // received; at most maxBodyBytes
        std::string output; // body to send
        std::size_t sent = 0; // bytes of the output passed to nghttp2
        int status = 0;
        bool isTooLarge = false;
        bool isReceived = false; // the peer has ended its side in order
    };

    Role m_role;
    std::size_t m_maxBodyBytes;
    nghttp2_session *m_session = nullptr; // owned
    std::map<std::int32_t, Stream> m_streams;
    std::size_t m_bufferedBytes = 0; // bytes of received bodies in m_streams
    std::vector<Request> m_requests;
    std::vector<Response> m_responses;
};

} // namespace carawaylatch::peer
