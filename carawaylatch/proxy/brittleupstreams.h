// Upstreams that crash if they reject more than a number of requests in a second because they are
// full, and what this router may send to each.
//
// A request has certain room if it fits into this router's part of the capacity, or, while most other
// routers are heard, into its part of what they leave free. A share of the rejections may be risked
// by other requests. docs/design/brittle-upstreams.md has the reasons.
//
// A state machine of the traffic thread without I/O. At most MaxReportedNotices upstreams.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/routershare.h"
#include "carawaylatch/proxy/upstreamnotices.h"

namespace carawaylatch::proxy
{

// What a request may find at an upstream.
enum class Room {
    Free, // the upstream is not brittle
    Certain,
    Risk, // the request may be rejected
    None, // and must not be sent
};

// Use of one kind of capacity of an upstream, slots or memory.
struct CapacityUse
{
    double capacity = 0; // zero: unknown
    double own = 0; // by requests of this router
    double others = 0; // known or estimated use by the other routers
    double reserved = 0; // the same, each router with what is kept for it if that is more
    double need = 0; // of the request in question
};

class BrittleUpstreams
{
public:
    static constexpr base::Duration MaxAge = base::seconds{60}; // an upstream that nobody sees to be brittle any more isn't after it
    static constexpr base::Duration RefreshInterval = base::seconds{10}; // of reports of what still holds
    // A second, and the difference of the times that requests take to an upstream.
    static constexpr base::Duration Window = base::milliseconds{1200};
    // Two intervals of load reports, the way and a busy receiver.
    static constexpr base::Duration ReportDelay = base::milliseconds{150};
    // Of the capacity that is divided among the routers that are heard; the rest is for those that have more to send.
    static constexpr double ReservedShare = 0.5;

    // As RequestLimits::setRouters().
    void setRouters(std::span<const base::Endpoint> routers, const base::Endpoint &self, std::uint32_t count);

    // An answer to a request that was sent at `sentAt` says that the upstream takes this number of rejections a
    // second, or does not say that it is brittle. Returns true if this has changed.
    bool observe(const UpstreamKey &upstream, std::optional<std::uint32_t> rejections, base::TimePoint sentAt, base::TimePoint now);
    // Merges another router's notice. Returns true if what is known has changed.
    bool apply(const UpstreamNotice &notice, base::TimePoint now);
    // Drops what is known of earlier incarnations of the upstream.
    void onListed(const UpstreamKey &upstream);
    // Drops what nobody sees any more.
    void removeOutdated(base::TimePoint now);

    // The room for a request at an upstream that takes `rejections` a second. `isHeard`: at least half of the other
    // routers report their load.
    [[nodiscard]] Room room(const UpstreamKey &upstream, std::uint32_t rejections, const CapacityUse &slots, const CapacityUse &memory, bool isHeard,
                            base::TimePoint now) const;
    // True if only other routers may send requests to an upstream with so many slots, unless the others are heard.
    [[nodiscard]] bool isForOthers(const UpstreamKey &upstream, std::uint32_t rejections, double slots) const;
    // This router sends a request for which there was such room.
    void onRequest(const UpstreamKey &upstream, Room room, std::uint64_t memoryTokens, base::TimePoint now);
    // The upstream has rejected it because it is full; `underWay` are the other requests of this router there.
    void onRejected(const UpstreamKey &upstream, Room room, std::uint32_t underWay, base::TimePoint now);

    // The rejections a second that the upstream takes; nothing if it isn't brittle.
    [[nodiscard]] std::optional<std::uint32_t> rejections(const UpstreamKey &upstream) const;
    // Rejections of requests of this router since the upstream is brittle.
    [[nodiscard]] std::uint64_t rejected(const UpstreamKey &upstream) const;
    [[nodiscard]] std::uint32_t routers() const;
    [[nodiscard]] bool isEmpty() const;
    // Number of brittle upstreams.
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::vector<UpstreamNotice> takeChanges();
    [[nodiscard]] std::vector<UpstreamNotice> all() const;

private:
    struct Sent
    {
        base::TimePoint at;
        std::uint64_t memoryTokens = 0;
    };
    // What this router has sent to an upstream.
    struct Use
    {
        std::uint64_t startTimeMs = 0;
        std::deque<base::TimePoint> risks; // requests that were risked, and rejections of others, of the last Window
        std::deque<Sent> recent; // other routers may not have heard of these; of the last ReportDelay
        std::optional<std::uint32_t> maxUnderWay; // after a rejection; requests beyond it have no certain room
        base::TimePoint rejectedAt; // when maxUnderWay was set
        std::uint64_t rejected = 0;
    };

    [[nodiscard]] const Use *findUse(const UpstreamKey &upstream) const;
    Use &findOrAddUse(const UpstreamKey &upstream, base::TimePoint now);
    static void removeOld(Use &use, base::TimePoint now);
    // This router's part of a room, for requests that need so much each.
    [[nodiscard]] double partOf(std::uint64_t idHash, double room, double need) const;
    [[nodiscard]] bool isCertain(std::uint64_t idHash, const CapacityUse &use, double recent, bool isHeard) const;
    [[nodiscard]] bool isBelowRejection(const Use &use, std::uint32_t rejections, double underWay, base::TimePoint now) const;
    // Requests that this router may risk in each Window.
    [[nodiscard]] std::uint32_t maxRisks(std::uint64_t idHash, std::uint32_t rejections) const;

    UpstreamNotices m_notices{MaxAge, RefreshInterval}; // the rejections a second that it takes, and one
    RouterShare m_routers;
    std::unordered_map<std::uint64_t, Use> m_uses; // by hash of the upstream's id; at most MaxUses
};

} // namespace carawaylatch::proxy
