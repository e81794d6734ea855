// Names of rejection reasons, and the codec that all transports share.
#include "carawaylatch/peer/transport.h"

#include "carawaylatch/peer/authenticatedcodec.h"

namespace carawaylatch::peer
{

std::string_view peerRefusalName(PeerRefusal refusal)
{
    static constexpr std::array<std::string_view, PeerRefusalCount> RefusalNames{"wrong_key", "wrong_version", "too_large", "malformed", "replayed"};
    return RefusalNames.at(static_cast<std::size_t>(refusal));
}

AuthenticatedCodec::AuthenticatedCodec(PeerIdentity self, std::string key)
    : m_self(std::move(self))
    , m_authenticator(std::move(key))
{
}

std::string AuthenticatedCodec::encode(const PeerMessage &message)
{
    return m_authenticator.sign(encodeEnvelope({m_self, ++m_sequence, message}));
}

std::variant<PeerEnvelope, PeerRefusal> AuthenticatedCodec::decode(std::string_view signedBytes)
{
    if (signedBytes.size() > MaxMessageBytes) {
        return PeerRefusal::TooLarge;
    }
    const auto bytes = m_authenticator.verify(signedBytes);
    if (!bytes) {
        return PeerRefusal::WrongKey;
    }
    auto envelope = decodeEnvelope(bytes.value());
    if (!envelope) {
        return envelope.error().kind == base::ErrorKind::StaleState ? PeerRefusal::WrongVersion : PeerRefusal::Malformed;
    }
    if (!m_replayFilter.admit(envelope.value().sender, envelope.value().sequence)) {
        return PeerRefusal::Replayed;
    }
    return std::move(envelope.value());
}

} // namespace carawaylatch::peer
