// Positions of waiting requests: the most urgent first, then by the chosen order.
//
// Decides on tickets alone; waitqueue.h keeps the requests. The order may be changed while
// requests wait, which keep their positions. Requests that join by arrival are behind all
// that wait with their urgency; requests that join by customer are not before those.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/proxy/starttags.h"

namespace carawaylatch::proxy
{

// Order of the requests of one urgency.
enum class QueueOrder {
    ByArrival,
    ByCustomer, // customers share capacity by work
};

// What the position of a request depends on.
struct QueuedRequest
{
    std::uint32_t urgency = 0; // zero is the most urgent
    base::CustomerId customer = {}; // requests without a customer count as those of one
    std::uint64_t work = 1; // tokens of prompt and output; plain requests: 1
};

enum class QueueExit {
    Served,
    Left, // refused, cancelled or forwarded; has done no work
};

class WaitOrder
{
public:
    using Ticket = StartTags::Ticket;

    // A position. Key{} is before all others.
    struct Key
    {
        std::uint32_t urgency = 0;
        std::uint64_t start = 0; // start tag
        Ticket ticket = 0; // order of arrival
        auto operator<=>(const Key &) const = default;
    };

    // Applies to requests that join from now on.
    void setOrder(QueueOrder order);
    Ticket join(const QueuedRequest &request);
    void leave(Ticket ticket, QueueExit exit);
    // Requests that a request would have ahead of it if it joined now.
    [[nodiscard]] std::size_t ahead(const QueuedRequest &request) const;
    // The first that waits behind `key`.
    [[nodiscard]] std::optional<Ticket> after(const Key &key) const;
    // The present position of a waiting request; another one after a request of its customer has left.
    [[nodiscard]] Key key(Ticket ticket) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Position
    {
        Key key;
        QueueOrder order = QueueOrder::ByArrival; // in which it joined
        base::CustomerId customer; // set if it joined by customer
    };

    // The position of a request that joins now as `ticket`.
    [[nodiscard]] Key nextKey(const QueuedRequest &request, Ticket ticket) const;
    // The greatest start tag that waits with this urgency.
    [[nodiscard]] std::uint64_t lastStart(std::uint32_t urgency) const;
    void move(const StartTags::Change &change);

    QueueOrder m_order = QueueOrder::ByArrival;
    Ticket m_arrivals = 0;
    std::map<Key, Ticket> m_keys;
    std::unordered_map<Ticket, Position> m_positions; // of the same requests
    std::map<std::uint32_t, StartTags> m_tags; // by urgency; only those with a request that joined by customer
};

} // namespace carawaylatch::proxy
