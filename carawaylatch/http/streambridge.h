// Carries a stream from the thread that relays it to the thread that writes it
// to the caller's socket.
//
// httplib wants the status before the body and pulls the body; the relay pushes.
// The bridge holds what lies between: until begin() or abort() nothing is
// written, so that a refusal still has its own status. At most MaxBufferedBytes
// wait for a slow caller; then token() blocks, which stops reading from the
// engine.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

#include "carawaylatch/http/callerjson.h"
#include "carawaylatch/relay/relaydriver.h"

namespace carawaylatch::http
{

class StreamBridge : public relay::CallerSink
{
public:
    static constexpr std::size_t MaxBufferedBytes = 65'536;

    enum class StartResult {
        Started, // tokens follow
        Refused, // error() says why; nothing was written
    };
    enum class Phase {
        Waiting, // nothing decided yet
        Open,
        Complete, // the last event is in the buffer or written
        Failed, // the error event is in the buffer or written
    };

    explicit StreamBridge(CompletionIdentity identity);

    // The relay's side.
    [[nodiscard]] relay::CallerState begin(const relay::AttemptPlan &plan) override;
    [[nodiscard]] relay::CallerState token(std::uint64_t index, std::string_view text) override;
    void finish(const relay::DoneEvent &done) override;
    void abort(const base::Error &error) override;
    [[nodiscard]] relay::CallerState state() const override;

    // The socket's side. Waits until the stream opens or is refused.
    [[nodiscard]] StartResult waitForStart();
    [[nodiscard]] const base::Error &error() const;
    // Takes what is buffered, waiting for at most `timeout`. `phase` is the phase after it.
    [[nodiscard]] std::string takeBuffered(base::Duration timeout, Phase &phase);
    void onCallerDisconnected();

private:
    const CompletionIdentity m_identity;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    // All below are guarded by m_mutex.
    Phase m_phase = Phase::Waiting;
    bool m_hasStarted = false;
    bool m_isCallerDisconnected = false;
    std::string m_buffer; // complete events only
    std::optional<base::Error> m_error;
};

} // namespace carawaylatch::http
