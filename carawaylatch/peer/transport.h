// Interface for sending messages between routers.
//
// Messages may be lost, delayed or reordered; senders repeat those that matter. Every
// delivered message was encoded by a router with the fleet's key, and is delivered at
// most once for each call of send().
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/peer/message.h"

namespace carawaylatch::peer
{

enum class PeerRefusal {
    WrongKey,
    WrongVersion,
    TooLarge,
    Malformed,
    Replayed,
};
constexpr std::size_t PeerRefusalCount = 5;

// Returns the name of the reason in metrics, such as "wrong_key".
[[nodiscard]] std::string_view peerRefusalName(PeerRefusal refusal);

struct PeerCounters
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0; // messages with their HMAC, without HTTP/2 and TCP overhead
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t dropped = 0; // not sent or without a response: no connection, or a full queue
    std::array<std::uint64_t, PeerRefusalCount> refused{}; // received and rejected, by PeerRefusal
    std::uint32_t connections = 0; // currently open, of both directions
};

class PeerTransport
{
public:
    // Called on the transport's thread, one message at a time.
    using Handler = std::function<void(const PeerEnvelope &envelope)>;

    virtual ~PeerTransport() = default;
    // Sets the handler for received messages and starts to listen. Called once.
    [[nodiscard]] virtual base::Result<void> start(Handler handler) = 0;
    // Closes all connections. The handler is not called after it returns.
    virtual void stop() = 0;
    // Queues a message without blocking. Thread-safe.
    virtual void send(const base::Endpoint &to, const PeerMessage &message) = 0;
    // Returns the address to listen on. A port chosen by the system is known after start().
    [[nodiscard]] virtual base::Endpoint endpoint() const = 0;
    [[nodiscard]] virtual PeerCounters counters() const = 0;
};

} // namespace carawaylatch::peer
