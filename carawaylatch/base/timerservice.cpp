// Deadlines are kept in a multimap. A router has a few dozen timers, so the cost of
// an insertion is negligible compared with the callbacks.
#include "carawaylatch/base/timerservice.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::base
{

TimerService::Subscription::Subscription(TimerService *service, std::uint64_t id)
    : m_service(service)
    , m_id(id)
{
}

TimerService::Subscription::Subscription(Subscription &&other) noexcept
    : m_service(std::exchange(other.m_service, nullptr))
    , m_id(other.m_id)
{
}

TimerService::Subscription &TimerService::Subscription::operator=(Subscription &&other) noexcept
{
    if (this != &other) {
        cancel();
        m_service = std::exchange(other.m_service, nullptr);
        m_id = other.m_id;
    }
    return *this;
}

TimerService::Subscription::~Subscription()
{
    cancel();
}

void TimerService::Subscription::cancel()
{
    if (m_service != nullptr) {
        std::exchange(m_service, nullptr)->remove(m_id);
    }
}

TimerService::Subscription TimerService::every(TimePoint now, Duration interval, Callback callback)
{
    return add(now + interval, interval, std::move(callback));
}

TimerService::Subscription TimerService::after(TimePoint now, Duration delay, Callback callback)
{
    return add(now + delay, Duration{}, std::move(callback));
}

TimerService::Subscription TimerService::add(TimePoint deadline, Duration interval, Callback callback)
{
    ++m_lastId;
    m_entries.emplace(deadline, Entry{m_lastId, interval, std::make_shared<Callback>(std::move(callback))});
    return Subscription{this, m_lastId};
}

void TimerService::remove(std::uint64_t id)
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(), [id](const auto &item) {
        return item.second.id == id;
    });
    if (it != m_entries.end()) {
        m_entries.erase(it);
    }
}

void TimerService::advance(TimePoint now)
{
    while (!m_entries.empty() && m_entries.begin()->first <= now) {
        auto node = m_entries.extract(m_entries.begin());
        const auto callback = node.mapped().callback;
        if (node.mapped().interval > Duration{}) {
            node.key() = std::max(node.key() + node.mapped().interval, now + Duration{1});
            m_entries.insert(std::move(node));
        }
        (*callback)(now);
    }
}

std::optional<TimePoint> TimerService::nextDeadline() const
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    return m_entries.begin()->first;
}

} // namespace carawaylatch::base
