// Proof that a message comes from a router of this fleet and is new.
//
// A sealed message is its bytes followed by their HMAC-SHA256 under the key that
// all routers share. The sequence in the envelope grows within one life of the
// sender; a window of the last ones refuses what came before.
#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/peer/message.h"

namespace carawaylatch::peer
{

class MessageAuthenticator
{
public:
    explicit MessageAuthenticator(std::string key);
    // Returns the bytes with the keyed hash behind them.
    [[nodiscard]] std::string sign(std::string bytes) const;
    // Returns the bytes without the hash, or Unauthenticated.
    [[nodiscard]] base::Result<std::string_view> verify(std::string_view signedBytes) const;

private:
    std::string m_key;
};

// Refuses messages that came before. One entry for each sender, at most MaxSenders,
// beyond which the one heard longest ago is dropped. Not thread-safe.
class ReplayFilter
{
public:
    static constexpr std::size_t MaxSenders = 8'192;
    static constexpr std::size_t WindowBits = 1'024; // how far messages may overtake each other

    // Returns true once for each (sender, incarnation, sequence), false for one that
    // came before or is too far behind.
    [[nodiscard]] bool admit(const PeerIdentity &sender, std::uint64_t sequence);

private:
    struct Window
    {
        std::uint64_t greatest = 0;
        std::bitset<WindowBits> seen; // bit i: greatest - i was admitted
        std::uint64_t lastUse = 0; // order of last use
    };
    std::map<std::pair<base::RouterId, base::Incarnation>, Window> m_windows;
    std::uint64_t m_useCounter = 0;
};

} // namespace carawaylatch::peer
