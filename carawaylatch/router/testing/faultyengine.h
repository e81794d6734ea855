// An engine whose answers are wrong in one stated way from one token on.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/http/httpserver.h"

namespace carawaylatch::router::testing
{

// With a wrong echo the text is foreign too, as it would be from another request,
// a dead engine, older weights or another namespace.
enum class StreamFault {
    ClosesEarly,
    WrongAttempt, // a crossed answer
    WrongIncarnation,
    WrongWeights,
    WrongSalt,
    RepeatsToken,
    SkipsToken,
    WrongCount,
};
constexpr StreamFault AllStreamFaults[] = {StreamFault::ClosesEarly, StreamFault::WrongAttempt, StreamFault::WrongIncarnation, StreamFault::WrongWeights,
                                           StreamFault::WrongSalt,   StreamFault::RepeatsToken, StreamFault::SkipsToken,       StreamFault::WrongCount};

// Answers of six tokens.
class FaultyEngine
{
public:
    static constexpr std::uint32_t Tokens = 6;

    FaultyEngine();

    void setFault(StreamFault fault, std::uint32_t step);
    [[nodiscard]] const base::Endpoint &endpoint() const;
    // How many requests it was given.
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
