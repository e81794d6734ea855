// nghttp2 callbacks. A request is a POST whose body is one message with its HMAC; the
// response is a status and possibly a body. The flow control window is as large as the
// largest message, so that a message never waits for a window update.
#include "carawaylatch/peer/http2session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace carawaylatch::peer
{

namespace
{

constexpr std::uint32_t MaxStreams = 128;
constexpr std::size_t MaxBufferedBodies = 4; // limit for the bodies of all streams, in multiples of the largest body
constexpr std::string_view StatusName = ":status";

nghttp2_nv headerField(std::string_view name, std::string_view value)
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())), reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

struct Http2Session::Callbacks
{
    static Http2Session &self(void *user)
    {
        return *static_cast<Http2Session *>(user);
    }

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name, std::size_t nameSize, const std::uint8_t *value,
                        std::size_t valueSize, std::uint8_t, void *user)
    {
        const std::string_view headerName(reinterpret_cast<const char *>(name), nameSize);
        const auto it = self(user).m_streams.find(frame->hd.stream_id);
        if (it != self(user).m_streams.end() && headerName == StatusName) {
            const auto *text = reinterpret_cast<const char *>(value);
            std::from_chars(text, text + valueSize, it->second.status);
        }
        return 0;
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        if (self(user).m_role == Role::Server && frame->hd.type == NGHTTP2_HEADERS) {
            self(user).m_streams.try_emplace(frame->hd.stream_id);
        }
        return 0;
    }

    static int onData(nghttp2_session *, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t size, void *user)
    {
        auto &session = self(user);
        const auto it = session.m_streams.find(id);
        if (it == session.m_streams.end() || it->second.isTooLarge) {
            return 0;
        }
        auto &stream = it->second;
        if (stream.body.size() + size > session.m_maxBodyBytes || session.m_bufferedBytes + size > session.m_maxBodyBytes * MaxBufferedBodies) {
            session.m_bufferedBytes -= stream.body.size();
            stream.body = {};
            stream.isTooLarge = true;
            if (session.m_role == Role::Server) {
                session.m_requests.push_back({id, {}, true});
            }
            return 0;
        }
        stream.body.append(reinterpret_cast<const char *>(data), size);
        session.m_bufferedBytes += size;
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        auto &session = self(user);
        const bool isEndOfStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 && (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS);
        const auto it = session.m_streams.find(frame->hd.stream_id);
        if (isEndOfStream && session.m_role == Role::Server && it != session.m_streams.end() && !it->second.isTooLarge) {
            session.m_bufferedBytes -= it->second.body.size();
            session.m_requests.push_back({it->first, std::move(it->second.body), false});
            it->second.body = {};
        }
        if (isEndOfStream && it != session.m_streams.end()) {
            it->second.isReceived = true;
        }
        return 0;
    }

    static int onClose(nghttp2_session *, std::int32_t id, std::uint32_t, void *user)
    {
        auto &session = self(user);
        const auto it = session.m_streams.find(id);
        if (it != session.m_streams.end()) {
            session.m_bufferedBytes -= it->second.body.size();
            if (session.m_role == Role::Client) {
                // A stream that was reset has no response, whatever part of it arrived.
                const bool isComplete = it->second.isReceived;
                session.m_responses.push_back({id, isComplete ? it->second.status : 0, isComplete ? std::move(it->second.body) : std::string()});
            }
            session.m_streams.erase(it);
        }
        return 0;
    }

    static ssize_t readBody(nghttp2_session *, std::int32_t id, std::uint8_t *buf, std::size_t size, std::uint32_t *flags, nghttp2_data_source *, void *user)
    {
        const auto it = self(user).m_streams.find(id);
        if (it == self(user).m_streams.end()) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        auto &stream = it->second;
        const auto n = std::min(size, stream.output.size() - stream.sent);
        std::copy_n(stream.output.data() + stream.sent, n, buf);
        stream.sent += n;
        if (stream.sent == stream.output.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            stream.output = {};
            stream.sent = 0;
        }
        return static_cast<ssize_t>(n);
    }

    static nghttp2_session_callbacks *createCallbacks()
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onClose);
        return callbacks;
    }
};

Http2Session::Http2Session(Role role, std::size_t maxBodyBytes)
    : m_role(role)
    , m_maxBodyBytes(maxBodyBytes)
{
    auto *callbacks = Callbacks::createCallbacks();
    if (role == Role::Client) {
        nghttp2_session_client_new(&m_session, callbacks, this);
    } else {
        nghttp2_session_server_new(&m_session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const auto window = static_cast<std::uint32_t>(maxBodyBytes);
    const std::array<nghttp2_settings_entry, 3> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    const std::size_t count = role == Role::Client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, static_cast<std::int32_t>(window * MaxBufferedBodies));
}

Http2Session::~Http2Session()
{
    nghttp2_session_del(m_session);
}

bool Http2Session::receive(std::string_view bytes)
{
    const auto consumed = nghttp2_session_mem_recv(m_session, reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (consumed != static_cast<ssize_t>(bytes.size())) {
        return false;
    }
    return nghttp2_session_want_read(m_session) != 0 || nghttp2_session_want_write(m_session) != 0;
}

std::string Http2Session::takeOutput()
{
    constexpr std::size_t MaxOutputBytes = 1'000'000;
    std::string output;
    while (output.size() < MaxOutputBytes) {
        const std::uint8_t *data = nullptr;
        const auto n = nghttp2_session_mem_send(m_session, &data);
        if (n <= 0) {
            break;
        }
        output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(n));
    }
    return output;
}

std::int32_t Http2Session::submit(std::string body)
{
    const std::array headers{headerField(":method", "POST"), headerField(":scheme", "http"), headerField(":authority", "peer"),
                             headerField(":path", "/peer/v1")};
    nghttp2_data_provider provider{};
    provider.read_callback = Callbacks::readBody;
    const auto id = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id > 0) {
        m_streams[id].output = std::move(body);
    }
    return id;
}

void Http2Session::respond(std::int32_t stream, int status, std::string body)
{
    const auto it = m_streams.find(stream);
    if (it == m_streams.end()) {
        return; // closed by the client
    }
    const auto text = std::to_string(status);
    const auto header = headerField(StatusName, text);
    nghttp2_data_provider provider{};
    provider.read_callback = Callbacks::readBody;
    const bool hasBody = !body.empty();
    it->second.output = std::move(body);
    nghttp2_submit_response(m_session, stream, &header, 1, hasBody ? &provider : nullptr);
    if (it->second.isTooLarge) {
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_NO_ERROR);
    }
}

std::vector<Http2Session::Request> Http2Session::takeRequests()
{
    return std::exchange(m_requests, {});
}

std::vector<Http2Session::Response> Http2Session::takeResponses()
{
    return std::exchange(m_responses, {});
}

} // namespace carawaylatch::peer
