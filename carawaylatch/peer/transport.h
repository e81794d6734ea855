// Delivery of messages between routers.
//
// Messages may be lost, late, doubled or out of order; whoever sends repeats what
// matters. What is delivered was sent by a router that holds the fleet's key, to
// this router, and is delivered once for each sending.
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

// Returns the name as it stands in metrics, such as "wrong_key".
[[nodiscard]] std::string_view peerRefusalName(PeerRefusal refusal);

struct PeerCounters
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0; // sealed messages, without the protocols below
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t dropped = 0; // not sent: no connection, or too many wait
    std::array<std::uint64_t, PeerRefusalCount> refused{}; // received, by PeerRefusal
    std::uint32_t connections = 0; // open now, own and others'
};

class PeerTransport
{
public:
    // Called from a thread of the transport's own, one message at a time.
    using Handler = std::function<void(const PeerEnvelope &envelope)>;

    virtual ~PeerTransport() = default;
    // Sets the receiver of messages and starts to listen. Called once.
    [[nodiscard]] virtual base::Result<void> start(Handler handler) = 0;
    // Ends all connections; no call of the handler begins after it returns.
    virtual void stop() = 0;
    // Sends without waiting. Safe from any thread.
    virtual void send(const base::Endpoint &to, const PeerMessage &message) = 0;
    // Where others reach this router; the port is known once started.
    [[nodiscard]] virtual base::Endpoint endpoint() const = 0;
    [[nodiscard]] virtual PeerCounters counters() const = 0;
};

} // namespace carawaylatch::peer
