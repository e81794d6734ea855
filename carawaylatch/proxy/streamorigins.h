// The software version at which a resumable stream began.
//
// A stream may go on only at upstreams of this version; they don't check it. A router
// knows it of the streams that it sent itself, and asks the control thread for the others.
// StreamOrigins is the state machine of the former, on the traffic thread and without
// I/O. A stream is recorded when its request is sent. While its pool has several versions,
// takeDue() gives the record away for storing; from then on it must not change, and the
// request may be sent again only to the same version.
//
// Routers send new streams only to admitted versions, those that may have begun streams as
// the store says. While the store names one, a stream that no router knows began there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/fleet.h"

namespace carawaylatch::proxy
{

// No stream is resumed later than this after it began.
constexpr base::Duration MaxStreamTime = base::minutes{1};

// The store names no more versions of a pool than these.
constexpr std::size_t MaxAdmittedSoftware = 16;

struct StreamOrigin
{
    std::uint64_t stream = 0; // base::hash64 of the id of the request that began it
    base::SoftwareVersion software;
};

enum class OriginVerdict {
    Known,
    Unknown,
    Unavailable, // the store could not be read
};

struct OriginAnswer
{
    OriginVerdict verdict = OriginVerdict::Unavailable;
    base::SoftwareVersion software; // set if the verdict is Known
};

class StreamOrigins
{
public:
    static constexpr std::size_t MaxStreams = 20'000; // the oldest are dropped; several hundred a second

    StreamOrigins() = default;
    StreamOrigins(StreamOrigins &&) = default;
    StreamOrigins &operator=(StreamOrigins &&) = default;

    void adopt(const FleetView &view);

    // The request that begins a stream is sent to an upstream of this software. Moves its record if it has one;
    // only to the same software if findFixed() knows it.
    void onSent(std::uint64_t stream, const base::PoolName &pool, const base::SoftwareVersion &software, base::TimePoint now);
    // The request may begin the stream at another router, which records it; what findFixed() knows stays.
    void onForwarded(std::uint64_t stream);
    // The store knows where the stream began.
    void onLearned(std::uint64_t stream, const base::PoolName &pool, const base::SoftwareVersion &software, base::TimePoint now);
    // The software at which the stream began, if this router knows it.
    [[nodiscard]] std::optional<base::SoftwareVersion> find(std::uint64_t stream, base::TimePoint now) const;
    // The same, if the record was given away and must not change any more.
    [[nodiscard]] std::optional<base::SoftwareVersion> findFixed(std::uint64_t stream, base::TimePoint now) const;
    // Records to be stored that were not returned before.
    [[nodiscard]] std::vector<StreamOrigin> takeDue(base::TimePoint now);
    // The software that may begin streams of the pool if some of the listed software may not, else nullptr.
    [[nodiscard]] const SoftwareSet *admittedOnly(const base::PoolName &pool) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Stream
    {
        base::PoolName pool;
        base::SoftwareVersion software;
        base::TimePoint sentAt;
        bool isFixed = false; // given away for storing, or read from the store
        std::list<std::uint64_t>::iterator order; // in m_order
    };
    struct PoolState
    {
        SoftwareSet admitted;
        bool hasSeveral = false; // versions that may have begun streams or are listed
        bool isLimited = false; // a listed version is not admitted
    };

    void record(std::uint64_t stream, const base::PoolName &pool, const base::SoftwareVersion &software, bool isFixed, base::TimePoint now);
    void removeOutdated(base::TimePoint now);
    void removeOldest();
    void remove(std::uint64_t stream);

    std::unordered_map<std::uint64_t, Stream> m_streams;
    std::list<std::uint64_t> m_order; // exactly the keys of m_streams, by sentAt
    std::map<base::PoolName, PoolState> m_pools;
    std::vector<std::uint64_t> m_due; // may name streams that were given away or dropped
};

} // namespace carawaylatch::proxy
