// Serves a router's snapshot to routers that start, in parts of bounded size.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/handover/snapshot.h"

namespace carawaylatch::handover
{

// Keeps the encoded snapshot for a moment, so that all parts of a request, and the
// requests of a herd, are cut from one encoding. Control thread.
class SnapshotServer
{
public:
    // Returns the encoded snapshot of now; empty if there is nothing to give.
    using Source = std::function<std::string()>;

    SnapshotServer(Source source, base::Duration lifetime);
    [[nodiscard]] SnapshotPart serve(const SnapshotRequest &request, base::TimePoint now);

private:
    struct EncodedSnapshot
    {
        std::string bytes;
        std::uint64_t digest = 0;
        base::TimePoint encodedAt;
    };
    [[nodiscard]] const EncodedSnapshot &currentEncoding(base::TimePoint now);

    Source m_source;
    base::Duration m_lifetime; // how long one encoding is given to new requests
    std::deque<EncodedSnapshot> m_encoded; // newest last, at most two
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_requests; // request and digest it was given, at most MaxRequests
};

} // namespace carawaylatch::handover
