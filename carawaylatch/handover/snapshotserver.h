// Serves a router's snapshot, in parts of bounded size, to routers that start.
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

// Caches the encoded snapshot for a short time, so that all parts of a request come
// from one encoding, and many routers that start at once don't cause an encoding
// each. Control thread only.
class SnapshotServer
{
public:
    // Returns the current snapshot, encoded; empty if there is none.
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
    base::Duration m_lifetime; // how long an encoding serves new requests
    std::deque<EncodedSnapshot> m_encoded; // newest last, at most MaxEncodings
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_requests; // request and the digest assigned to it, at most MaxRequests
};

} // namespace carawaylatch::handover
