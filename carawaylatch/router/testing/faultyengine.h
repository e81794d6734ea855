// A test engine that injects one fault into its response streams.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/http/httpserver.h"

namespace carawaylatch::router::testing
{

// With a wrong identity header the text is wrong too, as in a response to another
// request, of an earlier incarnation, of older weights or of another cache namespace.
enum class StreamFault {
    ClosesEarly,
    WrongAttempt, // the response to another attempt
    WrongIncarnation,
    WrongWeights,
    WrongSalt,
    RepeatsToken,
    SkipsToken,
    WrongCount,
};
constexpr StreamFault AllStreamFaults[] = {StreamFault::ClosesEarly, StreamFault::WrongAttempt, StreamFault::WrongIncarnation, StreamFault::WrongWeights,
                                           StreamFault::WrongSalt,   StreamFault::RepeatsToken, StreamFault::SkipsToken,       StreamFault::WrongCount};

// Responds with `Tokens` tokens.
class FaultyEngine
{
public:
    static constexpr std::uint32_t Tokens = 6;

    FaultyEngine();

    void setFault(StreamFault fault, std::uint32_t step);
    [[nodiscard]] const base::Endpoint &endpoint() const;
    // Number of completion requests received.
    [[nodiscard]] int requestCount() const;

private:
    [[nodiscard]] std::string eventStream(StreamFault fault, const std::string &prompt) const;

    const base::Incarnation m_incarnation;
    std::atomic<StreamFault> m_fault = StreamFault::ClosesEarly;
    std::atomic<std::uint32_t> m_step = 0;
    std::atomic<int> m_requestCount = 0;
    http::HttpServer m_server;
};

} // namespace carawaylatch::router::testing
