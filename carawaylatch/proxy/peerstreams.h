// The software at which streams of this router and its peers began, as they tell each other.
//
// A state machine of the traffic thread without I/O. Routers tell their streams with the next report, well
// before the store has them, also while the store is not reached. A router that starts, or
// was not reached, gets with the full report of each peer what that one knows of all routers. A stream
// that was told with two versions is doubtful: it is not taken up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/streamorigins.h"
#include "carawaylatch/proxy/streamreport.h"

namespace carawaylatch::proxy
{

class PeerStreams
{
public:
    static constexpr std::size_t MaxStreams = 16'384; // the oldest are dropped

    // Streams of this router, for the next report.
    void onSent(const std::vector<StreamOrigin> &streams, base::TimePoint now);
    void apply(const StreamReport &report, base::TimePoint now);
    // Known, Unknown if the stream is doubtful, or nothing if no router has told it.
    [[nodiscard]] std::optional<OriginAnswer> find(std::uint64_t stream, base::TimePoint now) const;
    // Streams of this router that were not returned before.
    [[nodiscard]] StreamReport takeChanges(base::TimePoint now);
    // The latest streams of all routers.
    [[nodiscard]] StreamReport fullReport(base::TimePoint now) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Stream
    {
        base::SoftwareVersion software;
        std::optional<base::SoftwareVersion> other; // that was told too
        base::TimePoint sentAt;
    };

    void add(std::uint64_t stream, const base::SoftwareVersion &software, base::TimePoint sentAt, base::TimePoint now);
    void removeOldest();
    static void append(StreamReport &report, std::uint64_t stream, const Stream &value, base::TimePoint now);

    std::unordered_map<std::uint64_t, Stream> m_streams;
    std::deque<std::uint64_t> m_order; // exactly the keys of m_streams, as they were heard of
    std::vector<std::uint64_t> m_changed; // may name streams that were dropped
};

} // namespace carawaylatch::proxy
