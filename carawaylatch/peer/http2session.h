// One HTTP/2 connection of the peer protocol as a machine of bytes: bytes in,
// bytes, requests and answers out. nghttp2 does the protocol; sockets are in
// http2transport.cpp.
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
    // A whole request as the server side sees it.
    struct Request
    {
        std::int32_t stream = 0;
        std::string body; // empty if it grew too large
        bool isTooLarge = false;
    };
    // The end of a request as the client side sees it.
    struct Response
    {
        std::int32_t stream = 0;
        int status = 0; // zero if the stream broke
    };

    // Bodies beyond `maxBodyBytes`, or together beyond four times that, are refused.
    Http2Session(Role role, std::size_t maxBodyBytes);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    // Takes bytes of the other side. Returns false if the connection is to be closed.
    [[nodiscard]] bool receive(std::string_view bytes);
    // Returns bytes to send, empty if there are none now.
    [[nodiscard]] std::string takeOutput();
    // Client: begins a request. Returns its stream, or a number below zero if none can be opened.
    [[nodiscard]] std::int32_t submit(std::string body);
    // Server: answers a request.
    void respond(std::int32_t stream, int status);
    [[nodiscard]] std::vector<Request> takeRequests();
    [[nodiscard]] std::vector<Response> takeResponses();

private:
    struct Callbacks; // nghttp2's, in the .cpp

    struct Stream
    {
        std::string body; // sent by a client, received by a server; at most maxBodyBytes
        std::size_t sent = 0; // bytes of the body
        int status = 0;
        bool isTooLarge = false;
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
