// Authentication and replay protection of messages between routers.
//
// A signed message consists of its bytes followed by their HMAC-SHA256 under the key
// that all routers of the fleet share. The sequence number in the envelope increases
// within one incarnation of the sender; a sliding window of the last numbers rejects
// replayed messages.
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
    // Returns the bytes with their HMAC appended.
    [[nodiscard]] std::string sign(std::string bytes) const;
    // Returns the bytes without the HMAC, or Unauthenticated if it does not match.
    [[nodiscard]] base::Result<std::string_view> verify(std::string_view signedBytes) const;

private:
    std::string m_key;
};

// Rejects replayed messages. Holds one window per incarnation of a sender; above
// MaxSenders, the least recently used window is dropped. Not thread-safe.
class ReplayFilter
{
public:
    static constexpr std::size_t MaxSenders = 8'192;
    static constexpr std::size_t WindowBits = 1'024; // how many later messages may overtake a message

    // Returns true once for each (sender, incarnation, sequence); false for a number that
    // was admitted before, is zero or lies below the window.
    [[nodiscard]] bool admit(const PeerIdentity &sender, std::uint64_t sequence);

private:
    struct Window
    {
        std::uint64_t greatest = 0;
        std::bitset<WindowBits> seen; // bit i is set if greatest - i was admitted
        std::uint64_t lastUse = 0; // value of m_useCounter at the last use
    };
    std::map<std::pair<base::RouterId, base::Incarnation>, Window> m_windows;
    std::uint64_t m_useCounter = 0;
};

} // namespace carawaylatch::peer
