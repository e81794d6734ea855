// Faults of the fake engine and checks of the fake caller.
#include "carawaylatch/relay/testing/fakeengine.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace carawaylatch::relay::testing
{

namespace
{

std::string tokenOf(std::uint64_t index)
{
    return "w" + std::to_string(index) + " ";
}

constexpr std::uint64_t FakeIncarnation = 40;
constexpr std::uint64_t FakeSalt = 5;
constexpr std::uint64_t TokensBeforeFault = 2;
// A run that is never cancelled ends after this time, so that its test fails instead of hanging.
constexpr base::Duration LongestHang = base::seconds{10};

} // namespace

std::string fakeAnswer()
{
    std::string text;
    for (std::uint64_t i = 0; i < FakeTokens; ++i) {
        text += tokenOf(i);
    }
    return text;
}

void FakeEngine::script(const std::string &upstream, std::deque<Fault> faults)
{
    const std::lock_guard lock(m_mutex);
    m_scripts[upstream] = std::move(faults);
}

Fault FakeEngine::nextFault(const EngineRequest &request)
{
    const std::lock_guard lock(m_mutex);
    EngineRequest kept = request;
    kept.prompt = {};
    if (kept.continuation) {
        kept.continuation->generated = {};
    }
    m_requests.push_back(kept);
    auto &script = m_scripts[request.upstream.value()];
    if (script.empty()) {
        return Fault::None;
    }
    const Fault fault = script.front();
    script.pop_front();
    return fault;
}

void FakeEngine::run(const EngineRequest &request, EngineListener &listener)
{
    const Fault fault = nextFault(request);
    switch (fault) {
    case Fault::NotSent:
        listener.onBroken(BreakKind::NotSent, base::fail(base::ErrorKind::Unavailable, "refused connection"));
        return;
    case Fault::Refused:
        listener.onBroken(BreakKind::Refused, base::fail(base::ErrorKind::Overloaded, "engine is full"));
        return;
    case Fault::LostBeforeHead:
        listener.onSent();
        listener.onBroken(BreakKind::Lost, base::fail(base::ErrorKind::Truncated, "reset"));
        return;
    case Fault::Hang:
        listener.onSent();
        hang(request.attempt);
        listener.onBroken(BreakKind::Cancelled, base::fail(base::ErrorKind::Cancelled, "cancelled"));
        return;
    case Fault::AnswerAfterCancel:
        hang(request.attempt);
        answer(request, listener, Fault::None);
        return;
    default:
        answer(request, listener, fault);
    }
    if (fault == Fault::HangMidStream) {
        hang(request.attempt);
        listener.onBroken(BreakKind::Cancelled, base::fail(base::ErrorKind::Cancelled, "cancelled"));
    }
}

void FakeEngine::answer(const EngineRequest &request, EngineListener &listener, Fault fault)
{
    EngineHead head{request.attempt, {FakeIncarnation}, {FakeVersion}, request.salt};
    head.attempt.value += fault == Fault::OtherAttempt ? 1 : 0;
    head.incarnation.value -= fault == Fault::OldIncarnation ? 1 : 0;
    head.weightsVersion.value -= fault == Fault::OldVersion ? 1 : 0;
    head.salt.value += fault == Fault::OtherSalt ? 1 : 0;
    listener.onHead(head);
    std::uint64_t first = request.resumeFrom.value_or(0);
    first = request.continuation ? request.continuation->firstIndex : first;
    for (std::uint64_t i = first; i < FakeTokens; ++i) {
        if (i - first == TokensBeforeFault) {
            if (fault == Fault::LostMidStream || fault == Fault::MalformedMidStream) {
                const BreakKind kind = fault == Fault::LostMidStream ? BreakKind::Lost : BreakKind::Malformed;
                listener.onBroken(kind, base::fail(base::ErrorKind::Truncated, "connection broke"));
                return;
            }
            if (fault == Fault::SilentReturn || fault == Fault::HangMidStream) {
                return;
            }
            if (fault == Fault::Gap) {
                continue;
            }
        }
        listener.onToken({i, tokenOf(i)});
        if (fault == Fault::DuplicateTokens) {
            listener.onToken({i, tokenOf(i)});
        }
    }
    const std::uint64_t count = FakeTokens + (fault == Fault::WrongCount ? 1 : 0);
    listener.onDone({.count = count, .finishReason = "stop", .usage = {.promptTokens = 100, .cachedTokens = 60, .completionTokens = FakeTokens}});
}

void FakeEngine::hang(base::AttemptId attempt)
{
    std::unique_lock lock(m_mutex);
    ++m_hanging;
    m_changed.notify_all();
    m_changed.wait_for(lock, LongestHang, [&] {
        return m_cancelled.contains(attempt);
    });
    --m_hanging;
}

void FakeEngine::cancel(base::AttemptId attempt)
{
    const std::lock_guard lock(m_mutex);
    m_cancelled.insert(attempt);
    m_changed.notify_all();
}

void FakeEngine::awaitHanging(std::size_t n)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, LongestHang, [&] {
        return m_hanging >= n;
    });
}

std::vector<EngineRequest> FakeEngine::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

bool FakeEngine::wasCancelled(base::AttemptId attempt) const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled.contains(attempt);
}

FakePlacer::FakePlacer(std::size_t upstreams)
    : m_upstreams(upstreams)
{
}

base::Result<AttemptPlan> FakePlacer::place(const PlacementRequest &request)
{
    placed.push_back(request.purpose);
    for (std::size_t i = 1; i <= m_upstreams; ++i) {
        const ExcludedUpstream candidate{base::UpstreamId("e" + std::to_string(i)), {FakeIncarnation}};
        if (std::find(request.excluded.begin(), request.excluded.end(), candidate) == request.excluded.end()) {
            return AttemptPlan{
                .upstream = candidate.upstream, .endpoint = {}, .incarnation = candidate.incarnation, .weightsVersion = {FakeVersion}, .salt = {FakeSalt}};
        }
    }
    return base::fail(base::ErrorKind::Overloaded, "no upstream is left; try again later", base::milliseconds{250});
}

void FakePlacer::firstToken(const AttemptPlan &, base::Duration)
{
    ++firstTokens;
}

void FakePlacer::ended(const AttemptOutcome &outcome)
{
    outcomes.push_back(outcome);
}

// Checks that calls are serialized.
class FakeCaller::Call
{
public:
    explicit Call(FakeCaller &caller)
        : m_caller(caller)
    {
        m_caller.require(!m_caller.m_isInCall.exchange(true), "calls are serialized");
    }
    ~Call()
    {
        m_caller.m_isInCall = false;
    }
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

private:
    FakeCaller &m_caller;
};

CallerState FakeCaller::begin(const AttemptPlan &)
{
    const Call call(*this);
    require(!m_hasBegun && !done && !error, "begin is called once, before all others");
    m_hasBegun = true;
    return state();
}

CallerState FakeCaller::token(std::uint64_t index, std::string_view tokenText)
{
    const Call call(*this);
    require(m_hasBegun && !done && !error, "tokens are delivered between begin and the end");
    require(index == tokens && tokenText == tokenOf(index), "tokens are delivered in order, once each");
    ++tokens;
    text += tokenText;
    if (const auto act = std::exchange(onFirstToken, {})) {
        act();
    }
    return leavesAfter && tokens >= *leavesAfter ? CallerState::Gone : CallerState::Present;
}

void FakeCaller::finish(const DoneEvent &event)
{
    const Call call(*this);
    require(m_hasBegun && !done && !error && text == fakeAnswer(), "finish is called once, after a complete answer");
    done = event;
}

void FakeCaller::abort(const base::Error &reason)
{
    const Call call(*this);
    require(!done && !error && !reason.message.empty(), "abort is called once, with an error message");
    error = reason;
}

CallerState FakeCaller::state() const
{
    return isGone ? CallerState::Gone : CallerState::Present;
}

void FakeCaller::require(bool holds, const char *rule)
{
    if (!holds && violation.empty()) {
        violation = rule;
    }
}

} // namespace carawaylatch::relay::testing
