// Encoding of limitcodec.h. Decoding checks the length against the number of entries before it reads one.
#include "carawaylatch/proxy/limitcodec.h"

#include <algorithm>
#include <limits>
#include <string>

#include "carawaylatch/proxy/littleendian.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::uint8_t ShareVersion = 6; // of polls and their answers
constexpr std::uint8_t TokenVersion = 7; // of token requests and grants
constexpr std::size_t PollBytes = 53;
constexpr std::size_t AnswerBytes = 49;
constexpr std::size_t RequestHeaderBytes = 11;
constexpr std::size_t RequestEntryBytes = 20;
constexpr std::size_t GrantHeaderBytes = 3;
constexpr std::size_t GrantEntryBytes = 17;

std::uint32_t encodeDuration(base::Duration duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(base::toMilliseconds(duration), 0, std::numeric_limits<std::uint32_t>::max()));
}

base::Duration takeDuration(std::string_view &bytes)
{
    return base::milliseconds{takeInteger<std::uint32_t>(bytes)};
}

bool hasVersion(std::string_view bytes, std::uint8_t version)
{
    return !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == version;
}

base::Error malformed(const std::string &message, const std::string &problem)
{
    return base::fail(base::ErrorKind::InvalidArgument, "malformed " + message + ": " + problem + "; check the version of the router that sent it");
}

// The problem of a message's version and least length, empty if there is none.
std::string headerProblem(std::string_view bytes, std::uint8_t version, std::size_t size)
{
    if (bytes.empty()) {
        return "empty";
    }
    if (!hasVersion(bytes, version)) {
        return "version " + std::to_string(static_cast<std::uint8_t>(bytes.front())) + " instead of " + std::to_string(version);
    }
    if (bytes.size() < size) {
        return std::to_string(bytes.size()) + " bytes, of at least " + std::to_string(size);
    }
    return {};
}

// As above, for a message of fixed size.
std::string fixedSizeProblem(std::string_view bytes, std::uint8_t version, std::size_t size)
{
    std::string problem = headerProblem(bytes, version, size);
    if (problem.empty() && bytes.size() != size) {
        problem = std::to_string(bytes.size()) + " bytes instead of " + std::to_string(size);
    }
    return problem;
}

std::string entriesProblem(std::size_t entries, std::size_t bytes, std::size_t entryBytes)
{
    if (entries > admission::MaxTokenEntries) {
        return std::to_string(entries) + " entries, of at most " + std::to_string(admission::MaxTokenEntries);
    }
    if (bytes != entries * entryBytes) {
        return "length does not match " + std::to_string(entries) + " entries";
    }
    return {};
}

std::string groupsProblem(admission::GroupMask groups)
{
    return (groups & ~admission::AllLimitGroups) == 0 ? std::string() : "unknown groups in mask " + std::to_string(groups);
}

} // namespace

bool isSharePoll(std::string_view bytes)
{
    return hasVersion(bytes, ShareVersion);
}

bool isTokenRequest(std::string_view bytes)
{
    return hasVersion(bytes, TokenVersion);
}

std::string encodeSharePoll(const admission::SharePoll &poll)
{
    std::string out;
    out.reserve(PollBytes);
    appendInteger(out, ShareVersion);
    appendInteger(out, poll.sender);
    appendInteger(out, poll.incarnation);
    appendInteger(out, poll.sequence);
    appendInteger(out, poll.groups & admission::AllLimitGroups);
    appendInteger(out, encodeDuration(poll.term));
    appendInteger(out, encodeDuration(poll.nextPoll));
    appendInteger(out, poll.lenderIncarnation);
    appendInteger(out, poll.appliedAnswer);
    return out;
}

base::Result<admission::SharePoll> decodeSharePoll(std::string_view bytes)
{
    const std::string message = "poll for shares of limits";
    if (const std::string problem = fixedSizeProblem(bytes, ShareVersion, PollBytes); !problem.empty()) {
        return malformed(message, problem);
    }
    bytes.remove_prefix(1);
    admission::SharePoll poll;
    poll.sender = takeInteger<std::uint64_t>(bytes);
    poll.incarnation = takeInteger<std::uint64_t>(bytes);
    poll.sequence = takeInteger<std::uint64_t>(bytes);
    poll.groups = takeInteger<std::uint32_t>(bytes);
    poll.term = takeDuration(bytes);
    poll.nextPoll = takeDuration(bytes);
    poll.lenderIncarnation = takeInteger<std::uint64_t>(bytes);
    poll.appliedAnswer = takeInteger<std::uint64_t>(bytes);
    if (const std::string problem = groupsProblem(poll.groups); !problem.empty()) {
        return malformed(message, problem);
    }
    return poll;
}

std::string encodeShareAnswer(const admission::ShareAnswer &answer)
{
    std::string out;
    out.reserve(AnswerBytes);
    appendInteger(out, ShareVersion);
    appendInteger(out, answer.sender);
    appendInteger(out, answer.incarnation);
    appendInteger(out, answer.sequence);
    appendInteger(out, answer.pollIncarnation);
    appendInteger(out, answer.pollSequence);
    // One of zero routers is no share. Such an answer lends nothing, and the borrower must still learn so.
    appendInteger(out, answer.routers == 0 ? admission::GroupMask{0} : answer.lent & admission::AllLimitGroups);
    appendInteger(out, std::max<std::uint32_t>(answer.routers, 1));
    return out;
}

base::Result<admission::ShareAnswer> decodeShareAnswer(std::string_view bytes)
{
    const std::string message = "answer with shares of limits";
    if (const std::string problem = fixedSizeProblem(bytes, ShareVersion, AnswerBytes); !problem.empty()) {
        return malformed(message, problem);
    }
    bytes.remove_prefix(1);
    admission::ShareAnswer answer;
    answer.sender = takeInteger<std::uint64_t>(bytes);
    answer.incarnation = takeInteger<std::uint64_t>(bytes);
    answer.sequence = takeInteger<std::uint64_t>(bytes);
    answer.pollIncarnation = takeInteger<std::uint64_t>(bytes);
    answer.pollSequence = takeInteger<std::uint64_t>(bytes);
    answer.lent = takeInteger<std::uint32_t>(bytes);
    answer.routers = takeInteger<std::uint32_t>(bytes);
    if (const std::string problem = groupsProblem(answer.lent); !problem.empty()) {
        return malformed(message, problem);
    }
    if (answer.routers == 0) {
        return malformed(message, "a share of zero routers");
    }
    return answer;
}

std::string encodeTokenRequest(const admission::TokenRequest &request)
{
    const std::size_t entries = std::min(request.entries.size(), admission::MaxTokenEntries);
    std::string out;
    out.reserve(RequestHeaderBytes + entries * RequestEntryBytes);
    appendInteger(out, TokenVersion);
    appendInteger(out, request.sender);
    appendInteger(out, static_cast<std::uint16_t>(entries));
    for (std::size_t i = 0; i < entries; ++i) {
        const admission::TokenRequestEntry &it = request.entries[i];
        appendInteger(out, it.customer);
        appendInteger(out, it.needed);
        appendInteger(out, it.smallest);
        appendInteger(out, it.extra);
    }
    return out;
}

base::Result<admission::TokenRequest> decodeTokenRequest(std::string_view bytes)
{
    const std::string message = "request for tokens";
    if (const std::string problem = headerProblem(bytes, TokenVersion, RequestHeaderBytes); !problem.empty()) {
        return malformed(message, problem);
    }
    bytes.remove_prefix(1);
    admission::TokenRequest request;
    request.sender = takeInteger<std::uint64_t>(bytes);
    const std::size_t entries = takeInteger<std::uint16_t>(bytes);
    if (const std::string problem = entriesProblem(entries, bytes.size(), RequestEntryBytes); !problem.empty()) {
        return malformed(message, problem);
    }
    request.entries.reserve(entries);
    for (std::size_t i = 0; i < entries; ++i) {
        admission::TokenRequestEntry &it = request.entries.emplace_back();
        it.customer = takeInteger<std::uint64_t>(bytes);
        it.needed = takeInteger<std::uint32_t>(bytes);
        it.smallest = takeInteger<std::uint32_t>(bytes);
        it.extra = takeInteger<std::uint32_t>(bytes);
    }
    return request;
}

std::string encodeTokenGrant(const admission::TokenGrant &grant)
{
    const std::size_t entries = std::min(grant.entries.size(), admission::MaxTokenEntries);
    std::string out;
    out.reserve(GrantHeaderBytes + entries * GrantEntryBytes);
    appendInteger(out, TokenVersion);
    appendInteger(out, static_cast<std::uint16_t>(entries));
    for (std::size_t i = 0; i < entries; ++i) {
        const admission::TokenGrantEntry &it = grant.entries[i];
        appendInteger(out, it.customer);
        appendInteger(out, static_cast<std::uint8_t>(it.verdict));
        appendInteger(out, it.tokens);
        appendInteger(out, encodeDuration(it.retryAfter));
    }
    return out;
}

base::Result<admission::TokenGrant> decodeTokenGrant(std::string_view bytes)
{
    const std::string message = "grant of tokens";
    if (const std::string problem = headerProblem(bytes, TokenVersion, GrantHeaderBytes); !problem.empty()) {
        return malformed(message, problem);
    }
    bytes.remove_prefix(1);
    const std::size_t entries = takeInteger<std::uint16_t>(bytes);
    if (const std::string problem = entriesProblem(entries, bytes.size(), GrantEntryBytes); !problem.empty()) {
        return malformed(message, problem);
    }
    admission::TokenGrant grant;
    grant.entries.reserve(entries);
    for (std::size_t i = 0; i < entries; ++i) {
        admission::TokenGrantEntry &it = grant.entries.emplace_back();
        it.customer = takeInteger<std::uint64_t>(bytes);
        const auto verdict = takeInteger<std::uint8_t>(bytes);
        if (verdict > static_cast<std::uint8_t>(admission::GrantVerdict::NoCoordinator)) {
            return malformed(message, "unknown verdict " + std::to_string(verdict));
        }
        it.verdict = static_cast<admission::GrantVerdict>(verdict);
        it.tokens = takeInteger<std::uint32_t>(bytes);
        it.retryAfter = takeDuration(bytes);
    }
    return grant;
}

} // namespace carawaylatch::proxy
