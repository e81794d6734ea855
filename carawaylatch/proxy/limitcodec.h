// Bytes of the messages by which routers enforce customers' limits together (admission/limitmessages.h).
//
// Polls and token requests are bodies of requests between routers, share answers and
// grants those of their responses. Integers are little-endian, durations whole
// milliseconds:
//
//     poll:    version u8 (6), sender u64, incarnation u64, sequence u64, groups u32, term u32, next poll u32,
//              lender's incarnation u64, applied answer u64
//     answer:  version u8 (6), sender u64, incarnation u64, sequence u64, poll's incarnation u64, poll's sequence u64,
//              groups lent u32, routers u32
//     request: version u8 (7), sender u64, entries u16, then for each: customer u64, needed u32, smallest u32, extra u32
//     grant:   version u8 (7), entries u16, then for each: customer u64, verdict u8, tokens u32, retry u32
//
// Encoding clamps values to the range of their field, drops groups beyond AllLimitGroups and entries beyond
// MaxTokenEntries. Decoding refuses what no router of this build sends, since a wrongly read lease or grant would
// exceed a limit; without a message, nothing is lent or granted.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "carawaylatch/admission/limitmessages.h"
#include "carawaylatch/base/error.h"

namespace carawaylatch::proxy
{

// Size of the largest of these messages, a token request with MaxTokenEntries.
constexpr std::size_t MaxLimitMessageBytes = 11 + admission::MaxTokenEntries * 20;

// Tell by the first byte how a request of another router is to be decoded.
[[nodiscard]] bool isSharePoll(std::string_view bytes);
[[nodiscard]] bool isTokenRequest(std::string_view bytes);

[[nodiscard]] std::string encodeSharePoll(const admission::SharePoll &poll);
[[nodiscard]] std::string encodeShareAnswer(const admission::ShareAnswer &answer);
[[nodiscard]] std::string encodeTokenRequest(const admission::TokenRequest &request);
[[nodiscard]] std::string encodeTokenGrant(const admission::TokenGrant &grant);

// InvalidArgument if the bytes are not such a message of this version.
[[nodiscard]] base::Result<admission::SharePoll> decodeSharePoll(std::string_view bytes);
[[nodiscard]] base::Result<admission::ShareAnswer> decodeShareAnswer(std::string_view bytes);
[[nodiscard]] base::Result<admission::TokenRequest> decodeTokenRequest(std::string_view bytes);
[[nodiscard]] base::Result<admission::TokenGrant> decodeTokenGrant(std::string_view bytes);

} // namespace carawaylatch::proxy
