// Incremental parsers of HTTP/1.1 messages (over Boost.Beast's basic_parser).
//
// One parser parses one message. feed() takes bytes as they arrive and returns how
// many it consumed; the caller keeps the rest and passes it again with more input.
// A complete message consumes no more bytes, so those that follow belong to the
// next message.
//
//     BOOST_OUTCOME_TRY(const std::size_t used, parser.feed(input));
//     if (parser.isComplete()) ...
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/proxy/httpmessage.h"

namespace carawaylatch::proxy
{

struct ParserLimits
{
    std::uint32_t headBytes = 16'384; // longest head; LimitExceeded for longer ones
    std::uint64_t bodyBytes = 4'194'304; // longest body; LimitExceeded for longer ones
};

class HttpRequestParser
{
public:
    explicit HttpRequestParser(const ParserLimits &limits);
    HttpRequestParser(HttpRequestParser &&) noexcept;
    HttpRequestParser &operator=(HttpRequestParser &&) noexcept;
    ~HttpRequestParser();

    // Errors: InvalidArgument (malformed request), LimitExceeded (head or body too long).
    [[nodiscard]] base::Result<std::size_t> feed(std::string_view bytes);
    [[nodiscard]] bool isHeadComplete() const;
    [[nodiscard]] bool isComplete() const;
    // True if the caller may send another request on the connection.
    [[nodiscard]] bool keepsAlive() const;
    [[nodiscard]] HttpRequestHead &head();
    // The part of the body that has arrived.
    [[nodiscard]] std::string &body();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

class HttpResponseParser
{
public:
    // A response to HEAD has no body, whatever its framing fields say. LimitExceeded for bodies longer than `maxBodyBytes`.
    explicit HttpResponseParser(bool isHeadRequest = false, std::uint64_t maxBodyBytes = std::numeric_limits<std::uint64_t>::max());
    HttpResponseParser(HttpResponseParser &&) noexcept;
    HttpResponseParser &operator=(HttpResponseParser &&) noexcept;
    ~HttpResponseParser();

    [[nodiscard]] base::Result<std::size_t> feed(std::string_view bytes);
    // To be called when the peer closes the connection. Returns Truncated if the message is incomplete.
    [[nodiscard]] base::Result<void> feedEof();
    [[nodiscard]] bool isHeadComplete() const;
    [[nodiscard]] bool isComplete() const;
    // True if the upstream keeps the connection open after this response.
    [[nodiscard]] bool keepsAlive() const;
    [[nodiscard]] const HttpResponseHead &head() const;
    // Body bytes that arrived since the last call.
    [[nodiscard]] std::string takeBody();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::proxy
