// Key digests with SHA-256 from libcrypto. Keys are long and random, so no salt is needed.
#include "carawaylatch/config/keydigest.h"

#include <openssl/sha.h>

#include <array>

namespace carawaylatch::config
{

std::string keyDigest(std::string_view key)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr unsigned NibbleBits = 4;
    constexpr unsigned NibbleMask = 15;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    std::string text;
    for (const unsigned char it : digest) {
        text += Digits[it >> NibbleBits];
        text += Digits[it & NibbleMask];
    }
    return text.substr(0, KeyDigestDigits);
}

} // namespace carawaylatch::config
