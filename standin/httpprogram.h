// The HTTP scaffolding that all stand-ins share.
//
// A stand-in is a set of handlers on one server bound to an address of the
// loopback range. It runs in a thread of its own, in a test's process or in the
// carawaylatch-standin program. Handlers run on many threads.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "carawaylatch/base/ids.h"

namespace httplib
{
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace carawaylatch::standin
{

class HttpProgram
{
public:
    // Handlers are added to server() before start(). Port 0 takes a free one.
    explicit HttpProgram(base::Endpoint endpoint);
    ~HttpProgram();

    [[nodiscard]] httplib::Server &server();
    // Binds and serves until stop(); false if the address can't be bound.
    [[nodiscard]] bool start();
    void stop();
    // The bound address; the port is known after start().
    [[nodiscard]] const base::Endpoint &endpoint() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Returns a number as 16 lower-case hex digits, and back; zero for other text.
[[nodiscard]] std::string toHex(std::uint64_t value);
[[nodiscard]] std::uint64_t fromHex(std::string_view text);

// A new incarnation: never zero, differs with each start.
[[nodiscard]] base::Incarnation newIncarnation();

} // namespace carawaylatch::standin
