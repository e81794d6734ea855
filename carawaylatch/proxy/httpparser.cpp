// Beast's parser rejects ambiguous framing, which could make two hops disagree about
// where a message ends: repeated or mixed Content-Length and Transfer-Encoding, and
// bare control bytes. This file also rejects transfer codings other than chunked, chunks
// in HTTP/1.0, statuses that no response to a request of a router can have, and responses with
// folded lines, which Beast joins to the field before.
#include "carawaylatch/proxy/httpparser.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace carawaylatch::proxy
{

namespace
{

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

std::string_view view(string_view text)
{
    return {text.data(), text.size()};
}

std::string text(string_view value)
{
    return {value.data(), value.size()};
}

base::Error parseError(const error_code &ec)
{
    if (ec == http::error::header_limit || ec == http::error::body_limit) {
        return base::fail(base::ErrorKind::LimitExceeded, "message exceeds the size limit (" + ec.message() + "); send a smaller one");
    }
    return base::fail(base::ErrorKind::InvalidArgument, "malformed HTTP/1.1 message (" + ec.message() + "); correct its framing");
}

bool hasUnknownCoding(const HttpFields &fields)
{
    const std::string *coding = findField(fields, "transfer-encoding");
    return coding != nullptr && !equalsIgnoringCase(*coding, "chunked");
}

// RFC 9110, section 15: all others are invalid. 101 would answer a field that is never sent.
bool isValidStatus(int status)
{
    constexpr int FirstStatus = 100;
    constexpr int LastStatus = 599;
    constexpr int SwitchingProtocols = 101;
    return status >= FirstStatus && status <= LastStatus && status != SwitchingProtocols;
}

// True if a line of the head begins with a blank and so belongs to the field before it (RFC 9112, section 5.2). A proxy may
// discard such a response; joined, the field would be another than the upstream's.
bool hasFoldedLine(std::string_view bytes)
{
    constexpr std::string_view EndOfHead = "\r\n\r\n";
    const std::string_view head = bytes.substr(0, bytes.find(EndOfHead));
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

template <typename Parser>
base::Result<std::size_t> feedParser(Parser &parser, std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && !parser.is_done()) {
        error_code ec;
        const std::size_t n = parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), ec);
        used += n;
        if (ec == http::error::need_more) {
            break;
        }
        if (ec) {
            return parseError(ec);
        }
        if (n == 0) {
            break;
        }
    }
    return used;
}

// Collects the fields and the decoded body of a request or response.
template <bool isRequest>
class MessageReader : public http::basic_parser<isRequest>
{
public:
    HttpFields fields;
    std::string body;

protected:
    void on_field_impl(http::field /*name*/, string_view name, string_view value, error_code & /*ec*/) override
    {
        fields.push_back({text(name), text(value)});
    }
    void on_header_impl(error_code &ec) override
    {
        if (hasUnknownCoding(fields)) {
            ec = http::error::bad_transfer_encoding;
        }
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code & /*ec*/) override
    {
        constexpr std::uint64_t MaxReservedBytes = 16'384; // for larger bodies the buffer grows as bytes arrive
        if (length) {
            body.reserve(static_cast<std::size_t>(std::min(*length, MaxReservedBytes)));
        }
    }
    std::size_t on_body_impl(string_view bytes, error_code & /*ec*/) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/, error_code & /*ec*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view bytes, error_code & /*ec*/) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(error_code & /*ec*/) override
    {
    }
};

} // namespace

class HttpRequestParser::Impl : public MessageReader<true>
{
public:
    HttpRequestHead head;

protected:
    void on_request_impl(http::verb /*verb*/, string_view method, string_view target, int version, error_code & /*ec*/) override
    {
        head.method = text(method);
        head.target = text(target);
        head.isHttp11 = version >= 11;
    }
    void on_response_impl(int /*code*/, string_view /*reason*/, int /*version*/, error_code & /*ec*/) override
    {
    }
    void on_header_impl(error_code &ec) override
    {
        MessageReader::on_header_impl(ec);
        head.fields = std::move(fields);
        // With several Host fields, two hops may choose different hosts (RFC 9112, section 3.2).
        if (!ec && countFields(head.fields, "host") > 1) {
            ec = http::error::bad_field;
        }
    }
};

HttpRequestParser::HttpRequestParser(const ParserLimits &limits)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->header_limit(limits.headBytes);
    m_impl->body_limit(limits.bodyBytes);
    m_impl->eager(true);
}
HttpRequestParser::HttpRequestParser(HttpRequestParser &&) noexcept = default;
HttpRequestParser &HttpRequestParser::operator=(HttpRequestParser &&) noexcept = default;
HttpRequestParser::~HttpRequestParser() = default;

base::Result<std::size_t> HttpRequestParser::feed(std::string_view bytes)
{
    return feedParser(*m_impl, bytes);
}

bool HttpRequestParser::isHeadComplete() const
{
    return m_impl->is_header_done();
}

bool HttpRequestParser::isComplete() const
{
    return m_impl->is_done();
}

bool HttpRequestParser::keepsAlive() const
{
    return m_impl->is_header_done() && m_impl->keep_alive();
}

HttpRequestHead &HttpRequestParser::head()
{
    return m_impl->head;
}

std::string &HttpRequestParser::body()
{
    return m_impl->body;
}

class HttpResponseParser::Impl : public MessageReader<false>
{
public:
    HttpResponseHead head;

protected:
    void on_request_impl(http::verb /*verb*/, string_view /*method*/, string_view /*target*/, int /*version*/, error_code & /*ec*/) override
    {
    }
    void on_response_impl(int code, string_view reason, int version, error_code &ec) override
    {
        if (!isValidStatus(code)) {
            ec = http::error::bad_status;
            return;
        }
        m_isHttp11 = version >= 11;
        head.status = static_cast<unsigned>(code);
        head.reason = text(reason);
    }
    void on_header_impl(error_code &ec) override
    {
        MessageReader::on_header_impl(ec);
        // A sender of HTTP/1.0 does not know chunks, and may have passed the field on unread (RFC 9112, section 6.1).
        if (!ec && !m_isHttp11 && countFields(fields, "transfer-encoding") > 0) {
            ec = http::error::bad_transfer_encoding;
        }
        head.fields = std::move(fields);
    }

private:
    bool m_isHttp11 = true;
};

HttpResponseParser::HttpResponseParser(bool isHeadRequest, std::uint64_t maxBodyBytes)
    : m_impl(std::make_unique<Impl>())
{
    constexpr std::uint32_t MaxResponseHeadBytes = 65'536; // no upstream sends larger heads
    m_impl->header_limit(MaxResponseHeadBytes);
    // Never boost::none: Beast 1.74 compares the body length with it and rejects every length.
    m_impl->body_limit(maxBodyBytes);
    m_impl->eager(true);
    m_impl->skip(isHeadRequest);
}
HttpResponseParser::HttpResponseParser(HttpResponseParser &&) noexcept = default;
HttpResponseParser &HttpResponseParser::operator=(HttpResponseParser &&) noexcept = default;
HttpResponseParser::~HttpResponseParser() = default;

base::Result<std::size_t> HttpResponseParser::feed(std::string_view bytes)
{
    // The parser takes a head only once it is whole, so the bytes begin with it until then.
    if (!isHeadComplete() && hasFoldedLine(bytes)) {
        return base::fail(base::ErrorKind::InvalidArgument, "malformed HTTP/1.1 message (folded line in the head); send each field on one line");
    }
    return feedParser(*m_impl, bytes);
}

base::Result<void> HttpResponseParser::feedEof()
{
    if (m_impl->is_done()) {
        return base::ok();
    }
    if (!m_impl->is_header_done() || !m_impl->need_eof()) {
        return base::fail(base::ErrorKind::Truncated, "connection closed inside a message; retry the request if it is repeatable");
    }
    error_code ec;
    m_impl->put_eof(ec);
    if (ec) {
        return parseError(ec);
    }
    return base::ok();
}

bool HttpResponseParser::isHeadComplete() const
{
    return m_impl->is_header_done();
}

bool HttpResponseParser::isComplete() const
{
    return m_impl->is_done();
}

bool HttpResponseParser::keepsAlive() const
{
    return m_impl->is_header_done() && m_impl->keep_alive();
}

const HttpResponseHead &HttpResponseParser::head() const
{
    return m_impl->head;
}

std::string HttpResponseParser::takeBody()
{
    return std::exchange(m_impl->body, {});
}

} // namespace carawaylatch::proxy
