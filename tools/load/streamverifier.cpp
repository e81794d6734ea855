// The verdict on a stream.
//
// The first violation is kept, since later ones are often its consequences. Without a
// violation the end decides: [DONE] after the last event is complete, an error event is an
// explicit failure, and a broken transfer is detected by the client's HTTP library. A clean
// end with none of these is a silent truncation, which must never happen.
#include "tools/load/streamverifier.h"

#include <array>
#include <cstdio>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::load
{

namespace
{

constexpr std::size_t TokenDigits = 8;

} // namespace

std::string_view streamVerdictName(StreamVerdict verdict)
{
    static constexpr std::array<std::string_view, 9> Names{
        "complete", "explicit_error", "aborted", "cut_quietly", "gap", "repeated", "foreign_token", "wrong_count", "malformed",
    };
    return Names.at(static_cast<std::size_t>(verdict));
}

bool isViolation(StreamVerdict verdict)
{
    return verdict >= StreamVerdict::TruncatedSilently;
}

std::string expectedToken(std::string_view prompt, std::uint64_t index)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(base::hash64(prompt, index)));
    return " " + std::string(buf.data(), TokenDigits);
}

StreamVerifier::StreamVerifier(std::string_view prompt)
    : m_prompt(prompt)
{
}

void StreamVerifier::recordViolation(StreamVerdict verdict)
{
    if (m_violation == StreamVerdict::Complete) {
        m_violation = verdict;
    }
}

void StreamVerifier::addToken(const StreamEvent &event)
{
    if (m_hasLastEvent || event.index < m_nextIndex) {
        recordViolation(StreamVerdict::Repeated);
        return;
    }
    if (event.index > m_nextIndex) {
        recordViolation(StreamVerdict::Gap);
    }
    if (event.text != expectedToken(m_prompt, event.index)) {
        recordViolation(StreamVerdict::ForeignToken);
    }
    m_nextIndex = event.index + 1;
}

void StreamVerifier::addLast(const StreamEvent &event)
{
    m_usage = event.usage;
    if (m_hasLastEvent || event.tokenCount != m_nextIndex) {
        recordViolation(StreamVerdict::WrongCount);
    }
    m_hasLastEvent = true;
}

void StreamVerifier::add(const StreamEvent &event)
{
    switch (event.kind) {
    case StreamEvent::Kind::Token:
        addToken(event);
        break;
    case StreamEvent::Kind::Last:
        addLast(event);
        break;
    case StreamEvent::Kind::Error:
        m_errorType = event.text;
        break;
    case StreamEvent::Kind::Done:
        m_hasDoneEvent = true;
        break;
    case StreamEvent::Kind::Malformed:
        recordViolation(StreamVerdict::Malformed);
        break;
    }
}

StreamVerdict StreamVerifier::finish(TransferEnd end) const
{
    if (m_violation != StreamVerdict::Complete) {
        return m_violation;
    }
    if (!m_errorType.empty()) {
        return StreamVerdict::ExplicitError;
    }
    if (m_hasLastEvent && m_hasDoneEvent) {
        return StreamVerdict::Complete;
    }
    return end == TransferEnd::Broken ? StreamVerdict::Aborted : StreamVerdict::TruncatedSilently;
}

} // namespace carawaylatch::load
