// HMAC-SHA256 with libcrypto, and a sliding window of sequence numbers.
//
// The window works as the anti-replay window of IPsec (RFC 4303, section 3.4.3): it
// holds the greatest admitted number and one bit for each number just below it. There
// is one window per incarnation of a sender, since a new incarnation numbers its
// messages from the start. The window is wide because a large message on its own
// stream is overtaken by all small ones that are sent during its transfer.
#include "carawaylatch/peer/messageauthenticator.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace carawaylatch::peer
{

namespace
{

constexpr std::size_t DigestBytes = 32; // of SHA-256

using Digest = std::array<unsigned char, DigestBytes>;

Digest computeHmac(const std::string &key, std::string_view bytes)
{
    Digest digest{};
    unsigned int size = DigestBytes;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data(), &size);
    return digest;
}

} // namespace

MessageAuthenticator::MessageAuthenticator(std::string key)
    : m_key(std::move(key))
{
}

std::string MessageAuthenticator::sign(std::string bytes) const
{
    const auto digest = computeHmac(m_key, bytes);
    bytes.append(reinterpret_cast<const char *>(digest.data()), digest.size());
    return bytes;
}

base::Result<std::string_view> MessageAuthenticator::verify(std::string_view signedBytes) const
{
    if (signedBytes.size() >= DigestBytes) {
        const auto bytes = signedBytes.substr(0, signedBytes.size() - DigestBytes);
        const auto digest = computeHmac(m_key, bytes);
        if (CRYPTO_memcmp(digest.data(), signedBytes.data() + bytes.size(), DigestBytes) == 0) {
            return bytes;
        }
    }
    return base::fail(base::ErrorKind::Unauthenticated, "the HMAC of a peer message does not match; configure the same key in [peers] on all routers");
}

bool ReplayFilter::admit(const PeerIdentity &sender, std::uint64_t sequence)
{
    const std::pair key(sender.id, sender.incarnation);
    if (!m_windows.contains(key) && m_windows.size() >= MaxSenders) {
        m_windows.erase(std::min_element(m_windows.begin(), m_windows.end(), [](const auto &first, const auto &second) {
            return first.second.lastUse < second.second.lastUse;
        }));
    }
    auto &window = m_windows[key];
    window.lastUse = ++m_useCounter;
    if (sequence > window.greatest) {
        const auto shift = sequence - window.greatest;
        window.seen <<= std::min<std::uint64_t>(shift, WindowBits);
        window.seen.set(0);
        window.greatest = sequence;
        return true;
    }
    const auto behind = window.greatest - sequence;
    if (behind >= WindowBits || sequence == 0 || window.seen.test(behind)) {
        return false;
    }
    window.seen.set(behind);
    return true;
}

} // namespace carawaylatch::peer
