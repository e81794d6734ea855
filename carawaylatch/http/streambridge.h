// Passes a stream from the thread that relays it to the thread that writes it to the
// caller's socket.
//
// httplib needs the status before the body and pulls the body, while the relay pushes
// events. The bridge buffers the events between the two. Nothing is written before
// begin(), finish() or abort(), so that a refused request still gets its own status.
// For a slow caller, token() blocks as soon as MaxBufferedBytes are buffered; the
// relay then stops reading from the engine (back pressure).
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
        Refused, // see error(); nothing was written
    };
    enum class Phase {
        Waiting, // neither started nor refused
        Open,
        Complete, // the last event is in the buffer or written
        Failed, // the error event is in the buffer or written
    };

    explicit StreamBridge(CompletionIdentity identity);

    // Called by the relaying threads.
    [[nodiscard]] relay::CallerState begin(const relay::AttemptPlan &plan) override;
    [[nodiscard]] relay::CallerState token(std::uint64_t index, std::string_view text) override;
    void finish(const relay::DoneEvent &done) override;
    void abort(const base::Error &error) override;
    [[nodiscard]] relay::CallerState state() const override;

    // All below are called by the thread that writes to the socket.
    // Waits until the stream starts or is refused.
    [[nodiscard]] StartResult waitForStart();
    // Returns the error of abort(). Valid after waitForStart() returned Refused.
    [[nodiscard]] const base::Error &error() const;
    // Returns and removes the buffered events, empty if none arrive within `timeout`. Sets
    // `phase` to the current phase.
    [[nodiscard]] std::string takeBuffered(base::Duration timeout, Phase &phase);
    // Makes token() return and state() report that the caller is gone.
    void onCallerDisconnected();

private:
    const CompletionIdentity m_identity;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    // All members below are guarded by m_mutex.
    Phase m_phase = Phase::Waiting;
    bool m_hasStarted = false;
    bool m_isCallerDisconnected = false;
    std::string m_buffer; // complete events only
    std::optional<base::Error> m_error;
};

} // namespace carawaylatch::http
