// Which software began which stream, as routers record it in the store.
//
// Each router has one object of kind Streams with the streams that it has sent of late, so that
// every router can find the software of a stream that a caller takes up. The object is
// written only while the software of a stream can't be known otherwise, and at intervals that keep
// the writes of all routers together bounded. A router that starts again first reads the object
// of its earlier process and keeps its streams for as long as they can be taken up.
//
// The classes do no I/O: poll() returns the next call to make, on...() take its result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"
#include "carawaylatch/gateway/softwareversions.h"
#include "carawaylatch/proxy/streamorigins.h"

namespace carawaylatch::gateway
{

// Encodes streams as one line for each software version: the version as escapeName() writes it, then
// the streams in hexadecimal.
[[nodiscard]] std::string encodeStreams(const std::vector<proxy::StreamOrigin> &streams);
// Calls `visit` for each stream; parts that are malformed are left out.
void decodeStreams(std::string_view text, const std::function<void(const proxy::StreamOrigin &)> &visit);

struct RecordsInput
{
    bool isNeeded = false; // a pool may have streams of several software versions
    std::uint32_t routers = 1;
    std::uint64_t era = 0; // of the store
    base::Duration maxStreamTime;
};

enum class RecordsCall {
    None,
    Read,
    Write,
};

struct RecordsAction
{
    RecordsCall call = RecordsCall::None;
    std::string text; // to write
    std::uint64_t expected = 0; // revision that the write replaces; zero creates the object
};

class StreamRecords
{
public:
    static constexpr std::size_t MaxStreams = 16'384; // 0.3 MB encoded; the oldest are dropped, and their streams are not taken up
    static constexpr base::Duration MinWriteInterval = base::milliseconds{250};
    static constexpr std::uint32_t WritesPerSecond = 50; // of all routers

    explicit StreamRecords(std::uint64_t seed);

    void onStreamsSent(base::TimePoint now, const std::vector<proxy::StreamOrigin> &streams);
    // Returns the software that this router, or its earlier process, has recorded of a stream.
    [[nodiscard]] std::optional<base::SoftwareVersion> find(std::uint64_t stream) const;
    [[nodiscard]] RecordsAction poll(base::TimePoint now, const RecordsInput &input);
    void onRead(base::TimePoint now, const base::Result<StoredObject> &result);
    void onWritten(base::TimePoint now, const base::Result<std::uint64_t> &result);

private:
    void add(base::TimePoint now, const proxy::StreamOrigin &origin);
    void dropOld(base::TimePoint now, base::Duration maxStreamTime);
    [[nodiscard]] std::string text() const;

    struct Added
    {
        base::TimePoint at;
        std::uint64_t stream = 0;
    };
    base::Random m_random;
    std::unordered_map<std::uint64_t, base::SoftwareVersion> m_streams;
    std::deque<Added> m_order; // of m_streams, oldest first; each stream once
    std::uint64_t m_version = 0; // of the object; zero: absent
    std::uint64_t m_era = 0;
    bool m_isKnown = false; // false: read before the next write
    bool m_isCallPending = false;
    bool m_isChanged = false; // since the last write that was sent
    bool m_hasStoredStreams = false;
    bool m_isWritingNone = false; // by the write in flight
    std::optional<base::TimePoint> m_writeAt;
    base::TimePoint m_lastWrite; // when it was sent
    base::TimePoint m_nextCall;
};

// Answers questions for the software of streams from objects that were read after the questions
// were put: first the object of software versions, then, if `needsRecords` remains, all objects of
// kind Streams.
class OriginSearch
{
public:
    struct Question
    {
        base::PoolName pool;
        std::uint64_t stream = 0;
    };

    explicit OriginSearch(std::vector<Question> questions);

    // `software`: nothing if the object is absent. `era`: of the store when it was read.
    void onSoftware(const std::optional<SoftwareRecord> &software, std::uint64_t era);
    [[nodiscard]] bool needsRecords() const;
    void onRecords(std::string_view text);
    // The answers in the order of the questions. Streams that no record names are unknown.
    [[nodiscard]] std::vector<proxy::OriginAnswer> answers() const;

private:
    std::vector<Question> m_questions;
    std::vector<std::optional<base::SoftwareVersion>> m_only; // software of a pool with one version
    std::set<std::uint64_t> m_sought;
    std::map<std::uint64_t, std::set<base::SoftwareVersion>> m_found; // more than one version: unknown
};

} // namespace carawaylatch::gateway
