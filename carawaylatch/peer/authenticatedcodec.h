// The way of a message into bytes and back, the same for every transport: encode
// and seal; check size, seal, version and sequence, decode.
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
    // Returns a message's sealed bytes; numbers it.
    [[nodiscard]] std::string encode(const PeerMessage &message);
    // Returns the message, or why it is refused.
    [[nodiscard]] std::variant<PeerEnvelope, PeerRefusal> decode(std::string_view signedBytes);

private:
    PeerIdentity m_self;
    MessageAuthenticator m_authenticator;
    ReplayFilter m_replayFilter;
    std::uint64_t m_sequence = 0;
};

} // namespace carawaylatch::peer
