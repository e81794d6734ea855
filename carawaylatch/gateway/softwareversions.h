// The software versions that may have begun streams of each pool, as one coordination object.
//
// A stream may go on only at the software that began it. A router sends new streams only to
// software that is in the object; so whoever reads that a pool has one version knows the
// software of all its streams. The lease holder adds a version as soon as an upstream
// of it is listed, other routers after a random pause, and the lease holder removes a version that no
// upstream has had for as long as a stream can be taken up. After the store has come back from a
// copy, the object may lack versions; it is complete again once the lease holder has observed
// the new era for as long as a stream can be taken up.
//
// The class does no I/O: poll() returns the next call to make, on...() take its result.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/streamorigins.h"

namespace carawaylatch::gateway
{

constexpr std::string_view SoftwareName = "software"; // of the coordination object

using SoftwareByPool = std::map<base::PoolName, std::set<base::SoftwareVersion>>;

// Returns "POOL=VERSION,VERSION" for each pool, separated by spaces. Bytes other than letters, digits, '.', '-' and
// '_' are written as %XX.
[[nodiscard]] std::string encodePools(const SoftwareByPool &pools);

// The object: "complete ERA" or "incomplete", then the pools.
struct SoftwareRecord
{
    static constexpr std::size_t MaxVersions = proxy::MaxAdmittedSoftware; // of a pool; a further one is not added
    static constexpr std::size_t MaxPools = 1'024; // further ones are not added
    static constexpr std::size_t MaxNameBytes = 128; // of a pool or a version; longer ones are not added

    std::optional<std::uint64_t> completeEra; // the era of the store in which no version is missing
    SoftwareByPool pools;

    bool operator==(const SoftwareRecord &) const = default;

    void add(const base::PoolName &pool, const base::SoftwareVersion &software);
    [[nodiscard]] std::string encode() const;
    // A text with a malformed part is incomplete; its other parts hold.
    [[nodiscard]] static SoftwareRecord decode(std::string_view text);
};

[[nodiscard]] std::string escapeName(std::string_view name);
[[nodiscard]] std::optional<std::string> unescapeName(std::string_view text);

// Returns how long a caller can take a stream up after it began. The caller's tries all lie within its
// deadline, which a router does not know beforehand; the route's timeout bounds one try,
// and a stream that a try has begun is taken up by the next one.
[[nodiscard]] base::Duration maxStreamTime(const proxy::RouteTable &table);

// Returns the software of the upstreams of pools with resumable streams.
[[nodiscard]] SoftwareByPool listedSoftware(const proxy::RouteTable &table, const std::map<base::UpstreamId, proxy::Upstream> &upstreams);

enum class SoftwareCall {
    None,
    Read,
    Write,
};

struct SoftwareAction
{
    SoftwareCall call = SoftwareCall::None;
    std::string text; // to write
    std::uint64_t expected = 0; // revision that the write replaces; zero creates the object
};

// What a router knows when it polls.
struct SoftwareInput
{
    SoftwareByPool listed;
    bool isCurrent = false; // `listed` was read from the store lately
    bool isLeaseHolder = false;
    std::uint32_t routers = 1;
    std::uint64_t era = 0; // of the store
    base::Duration maxStreamTime;
};

class SoftwareVersions
{
public:
    // Base of the pause of a router that isn't the lease holder; the holder mostly adds the version within it.
    static constexpr base::Duration MinPause = base::milliseconds{500};
    static constexpr base::Duration MinPauseSpread = base::seconds{1};
    static constexpr std::uint32_t WritersPerSecond = 50; // of all routers without a lease holder

    explicit SoftwareVersions(std::uint64_t seed);

    [[nodiscard]] SoftwareAction poll(base::TimePoint now, const SoftwareInput &input);
    // The object as a watch or a read returned it. An older one than known is ignored.
    void onObject(const StoredObject &object);
    void onRead(base::TimePoint now, const base::Result<StoredObject> &result);
    // The object is no longer among those listed.
    void onObjectGone();
    void onWritten(base::TimePoint now, const base::Result<std::uint64_t> &result);

    // The software that may get new streams: what the store holds, and what it held before it came
    // back from a copy.
    [[nodiscard]] const SoftwareByPool &admitted() const;
    // True if streams of some pool may have been begun by several versions, so that the store
    // must tell them apart.
    [[nodiscard]] bool needsRecords() const;

private:
    struct Key
    {
        base::PoolName pool;
        base::SoftwareVersion software;
        auto operator<=>(const Key &) const = default;
    };

    void observe(base::TimePoint now, const SoftwareInput &input);
    [[nodiscard]] SoftwareRecord withMissing(const SoftwareInput &input) const;
    void removeAbsent(base::TimePoint now, const SoftwareInput &input, SoftwareRecord &record) const;
    void take(SoftwareRecord record, std::uint64_t version);

    base::Random m_random;
    std::optional<SoftwareRecord> m_stored; // as last read or written; nothing: absent
    std::uint64_t m_version = 0; // of m_stored
    bool m_isKnown = false; // false: read before the next write
    bool m_wasSeen = false; // the object existed
    bool m_isCallPending = false;
    SoftwareRecord m_sent; // by the write in flight
    SoftwareByPool m_admitted;
    SoftwareByPool m_listed;
    std::uint64_t m_era = 0;
    std::optional<base::TimePoint> m_observedSince; // as the lease holder, in one era and without a gap
    std::map<Key, base::TimePoint> m_absentSince; // in this observation
    std::optional<base::TimePoint> m_writeAt; // for a version that is missing, when not the lease holder
    base::TimePoint m_nextCall;
};

} // namespace carawaylatch::gateway
