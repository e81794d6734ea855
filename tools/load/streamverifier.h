// Verifies one streamed response from the client's side.
//
// The stand-in engine generates token i of a prompt as " " and the first eight hex digits of
// hash64(prompt, i), so that a client that has the prompt can check whether each token
// belongs to its own request. The verifier takes the events in the order of arrival and the
// end of the transfer; its verdict never depends on timing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tools/load/streamevents.h"

namespace carawaylatch::load
{

enum class StreamVerdict {
    Complete,
    ExplicitError, // the router sent an error event
    Aborted, // the transfer broke visibly to the client
    // All below are violations.
    TruncatedSilently, // a clean end without [DONE]
    Gap, // a token index was skipped
    Repeated, // a token index was repeated or out of order
    ForeignToken, // a token of another prompt
    WrongCount, // the last event's count differs from the tokens delivered
    Malformed,
};

[[nodiscard]] std::string_view streamVerdictName(StreamVerdict verdict);
[[nodiscard]] bool isViolation(StreamVerdict verdict);

// Returns the text of token `index` of the stand-in engine's response to a prompt.
[[nodiscard]] std::string expectedToken(std::string_view prompt, std::uint64_t index);

enum class TransferEnd {
    Clean, // the whole body arrived
    Broken, // the connection closed inside the body
};

class StreamVerifier
{
public:
    // `prompt` must outlive the verifier.
    explicit StreamVerifier(std::string_view prompt);
    void add(const StreamEvent &event);
    [[nodiscard]] StreamVerdict finish(TransferEnd end) const;

    [[nodiscard]] std::uint64_t tokens() const
    {
        return m_nextIndex;
    }
    [[nodiscard]] const StreamUsage &usage() const
    {
        return m_usage;
    }
    // Returns the type of the explicit error, empty without one.
    [[nodiscard]] const std::string &errorType() const
    {
        return m_errorType;
    }

private:
    void addToken(const StreamEvent &event);
    void addLast(const StreamEvent &event);
    void recordViolation(StreamVerdict verdict);

    std::string_view m_prompt;
    std::uint64_t m_nextIndex = 0;
    StreamUsage m_usage;
    std::string m_errorType;
    StreamVerdict m_violation = StreamVerdict::Complete; // the first one, or Complete
    bool m_hasLastEvent = false;
    bool m_hasDoneEvent = false;
};

} // namespace carawaylatch::load
