// Which router holds which routers' shares of the customers' limits.
//
// Each of N routers owns one N-th of every limit. For each group of customers it lends
// its share to one coordinator, which thus holds (almost) the whole limit and can grant
// it where requests are. A share is in one place at a time:
//
//   - A lender lends only in the answer to a poll. The borrower uses the share until its
//     own clock shows the term after it *sent* that poll; the lender counts it as lent
//     until the term and a margin after it *received* it. So the borrower stops first,
//     however late messages are, and without a common clock.
//   - A share moves to another borrower earlier only if the former one has said, in a
//     poll, that it has applied an answer that no longer lends it, or if it has left out
//     the group.
//   - A process that has just started neither uses nor lends its share until every lease
//     that a former process of the router can have granted has ended (startdelay.h).
//
// The candidates of a group are the first MaxCandidates routers in its rendezvous order.
// A router lends to the first of them that polls it, and keeps its share if that is itself
// or if none does. While the network is divided there is a coordinator on each side, with
// the shares of that side.
//
// A state machine without I/O. Clocks must include the time for which the process was
// suspended. Not thread-safe. Memory is bounded by the number of routers.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "carawaylatch/admission/limitmessages.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

class QuotaLeases
{
public:
    static constexpr std::size_t MaxCandidates = 5; // two failure domains lost at once rarely hold all of them
    static constexpr base::Duration StandbyInterval = base::seconds{1};
    // Bounds the time for which a lost borrower blocks a share; reached from 1,250 routers on.
    static constexpr base::Duration MaxTerm = base::seconds{10};

    QuotaLeases(RouterKey self, std::uint64_t incarnation, base::TimePoint now);
    ~QuotaLeases();
    QuotaLeases(const QuotaLeases &other);
    QuotaLeases &operator=(const QuotaLeases &other);
    QuotaLeases(QuotaLeases &&) noexcept;
    QuotaLeases &operator=(QuotaLeases &&) noexcept;

    // Sets the routers of the fleet. `count` is their known number, which may be greater; this router owns a
    // share only if it is among `routers`.
    void setRouters(std::span<const RouterKey> routers, std::uint32_t count, base::TimePoint now);
    // Gives back all that was borrowed; the next polls say so.
    void stop();

    // The polls that are due, each with the router to which it is sent. A poll counts as sent at `now`.
    [[nodiscard]] std::vector<std::pair<RouterKey, SharePoll>> duePolls(base::TimePoint now);
    // As a lender.
    [[nodiscard]] ShareAnswer onPoll(const SharePoll &poll, base::TimePoint now);
    // As a borrower.
    void onAnswer(const ShareAnswer &answer, base::TimePoint now);

    // The router to ask for tokens: the one to which this router lends its share, or this router. Nothing while the
    // share is with a borrower that is no longer heard of, and before the start delay has passed.
    [[nodiscard]] std::optional<RouterKey> coordinator(std::uint32_t group, base::TimePoint now) const;
    // While there is no coordinator: how long it takes at most until there can be one; nothing if that is not known.
    [[nodiscard]] std::optional<base::Duration> timeToShares(std::uint32_t group, base::TimePoint now) const;
    // The part of the group's limits that this router holds, 0 to 1: its own share and those that it has borrowed.
    [[nodiscard]] double heldShare(std::uint32_t group, base::TimePoint now) const;
    // The routers whose shares of the group this one may use now; includes itself if it holds its own.
    [[nodiscard]] std::vector<RouterKey> heldFrom(std::uint32_t group, base::TimePoint now) const;
    // The routers to which this one needs a connection: candidates, and all routers if it is one itself.
    [[nodiscard]] std::vector<RouterKey> peers() const;
    // For tests: instances with equal texts behave alike from `now` on.
    [[nodiscard]] std::string stateText(base::TimePoint now) const;

    // Time between two polls of one lender, and the term of a lease, at this number of routers.
    [[nodiscard]] static base::Duration pollInterval(std::uint32_t routers);
    [[nodiscard]] static base::Duration leaseTerm(std::uint32_t routers);
    // How long after it received a poll a lender counts its share as lent.
    [[nodiscard]] static base::Duration lentTime(base::Duration term);
    [[nodiscard]] static base::Duration startDelay(std::uint32_t routers);
    // How long the start delay of this process lasted; nothing before it has ended for all groups.
    [[nodiscard]] std::optional<base::Duration> startDelayLasted(base::TimePoint now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::admission
