// Splits encoded snapshots into parts. A request is served from the encoding of its
// first part while that encoding is cached. After that it gets parts of the current
// encoding; their different digest makes the requesting router abandon the transfer.
#include "carawaylatch/handover/snapshotserver.h"

#include <algorithm>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::handover
{

namespace
{

constexpr std::size_t MaxEncodings = 2;
constexpr std::size_t MaxRequests = 256;

} // namespace

SnapshotServer::SnapshotServer(Source source, base::Duration lifetime)
    : m_source(std::move(source))
    , m_lifetime(lifetime)
{
}

const SnapshotServer::EncodedSnapshot &SnapshotServer::currentEncoding(base::TimePoint now)
{
    if (m_encoded.empty() || now >= m_encoded.back().encodedAt + m_lifetime) {
        auto bytes = m_source();
        const auto digest = base::hash64(bytes);
        m_encoded.push_back({std::move(bytes), digest, now});
        while (m_encoded.size() > MaxEncodings) {
            m_encoded.pop_front();
        }
    }
    return m_encoded.back();
}

SnapshotPart SnapshotServer::serve(const SnapshotRequest &request, base::TimePoint now)
{
    const auto assigned = std::find_if(m_requests.begin(), m_requests.end(), [&](const auto &it) {
        return it.first == request.request;
    });
    const auto encoding = std::find_if(m_encoded.begin(), m_encoded.end(), [&](const EncodedSnapshot &it) {
        return assigned != m_requests.end() && it.digest == assigned->second;
    });
    const bool isStarted = request.part > 0 && encoding != m_encoded.end();
    const EncodedSnapshot &encoded = isStarted ? *encoding : currentEncoding(now);
    if (!isStarted) {
        m_requests.emplace_back(request.request, encoded.digest);
        while (m_requests.size() > MaxRequests) {
            m_requests.pop_front();
        }
    }
    const auto parts = static_cast<std::uint32_t>((encoded.bytes.size() + SnapshotPartBytes - 1) / SnapshotPartBytes);
    SnapshotPart part{request.request, request.part, parts, encoded.digest, {}};
    if (request.part < parts) {
        part.bytes = encoded.bytes.substr(request.part * SnapshotPartBytes, SnapshotPartBytes);
    }
    return part;
}

} // namespace carawaylatch::handover
