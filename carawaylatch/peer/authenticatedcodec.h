// Encoding and decoding of peer messages, shared by all transports. Sending encodes a
// message and appends its HMAC. Receiving checks size, HMAC, version and sequence
// number, and drops replayed messages.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "carawaylatch/peer/codec.h"
#include "carawaylatch/peer/message.h"
#include "carawaylatch/peer/messageauthenticator.h"
#include "carawaylatch/peer/transport.h"

namespace carawaylatch::peer
{

// Not thread-safe.
class AuthenticatedCodec
{
public:
    AuthenticatedCodec(PeerIdentity self, std::string key);
    // Returns the encoded message with its HMAC. Assigns the next sequence number.
    [[nodiscard]] std::string encode(const PeerMessage &message);
    // Returns the message, or the reason why it is rejected.
    [[nodiscard]] std::variant<PeerEnvelope, PeerRefusal> decode(std::string_view signedBytes);

private:
    PeerIdentity m_self;
    MessageAuthenticator m_authenticator;
    ReplayFilter m_replayFilter;
    std::uint64_t m_sequence = 0;
};

} // namespace carawaylatch::peer
