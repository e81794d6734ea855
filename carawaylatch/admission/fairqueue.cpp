// Each ring keeps its customers in the order of their first entry. The current
// customer is served while its deficit covers its first entry; then the ring
// advances, and the next customer receives quantum x weight. A customer whose queue
// becomes empty leaves the ring and loses its deficit, so idle customers cannot
// accumulate credit.
//
// A first entry may need many visits (a long prompt or a small weight). Instead of
// iterating, pop() computes how many whole rounds pass before the first entry is
// covered and adds them at once: a pop takes one pass over the queued customers,
// whatever the entries' sizes. Customers that may not start now (their concurrency
// limit is reached) are skipped and receive no deficit.
#include "carawaylatch/admission/fairqueue.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <list>
#include <unordered_map>

namespace carawaylatch::admission
{

namespace
{

struct CustomerQueue
{
    base::CustomerId customer;
    std::deque<QueueEntry> entries; // never empty while the customer is in a ring
    double deficit = 0;
    bool hasQuantum = false; // the quantum of the current visit was added
};

struct EntryLocation
{
    base::CustomerId customer;
    base::TrafficClass trafficClass;
};

} // namespace

class FairQueue::Ring
{
public:
    std::vector<CustomerQueue> queues; // in visiting order
    std::size_t current = 0; // index of the customer being visited

    CustomerQueue *find(const base::CustomerId &customer)
    {
        const auto it = std::find_if(queues.begin(), queues.end(), [&](const CustomerQueue &queue) {
            return queue.customer == customer;
        });
        return it == queues.end() ? nullptr : &*it;
    }
    void push(const QueueEntry &entry)
    {
        CustomerQueue *queue = find(entry.customer);
        if (queue == nullptr) {
            queue = &queues.emplace_back();
            queue->customer = entry.customer;
        }
        queue->entries.push_back(entry);
    }
    void eraseAt(std::size_t i)
    {
        queues.erase(queues.begin() + static_cast<std::ptrdiff_t>(i));
        current = current > i ? current - 1 : current;
        current = current >= queues.size() ? 0 : current;
    }
    void advance()
    {
        queues[current].hasQuantum = false;
        current = (current + 1) % queues.size();
    }
    [[nodiscard]] std::optional<base::TimePoint> oldest(const Eligible &eligible) const
    {
        std::optional<base::TimePoint> oldest;
        for (const CustomerQueue &it : queues) {
            const auto enqueued = it.entries.front().enqueued;
            if ((!oldest || enqueued < *oldest) && eligible(it.customer)) {
                oldest = enqueued;
            }
        }
        return oldest;
    }
};

class FairQueue::Impl
{
public:
    explicit Impl(const FairQueueOptions &queueOptions)
        : options(queueOptions)
    {
    }

    [[nodiscard]] double quantumOf(const base::CustomerId &customer) const
    {
        const auto it = weights.find(customer);
        return static_cast<double>(options.quantum) * (it == weights.end() ? 1.0 : it->second);
    }

    Ring &ringOf(base::TrafficClass trafficClass)
    {
        return rings[trafficClass == base::TrafficClass::Interactive ? 0 : 1];
    }

    // Adds the deficit of all whole rounds before the one in which the first eligible entry is covered.
    void skipRounds(Ring &ring, const std::vector<char> &isEligible) const
    {
        double rounds = -1;
        for (std::size_t i = 0; i < ring.queues.size(); ++i) {
            const CustomerQueue &it = ring.queues[i];
            if (isEligible[i] != 0) {
                const double lacking = static_cast<double>(it.entries.front().tokens) - it.deficit;
                const double needed = std::max(0.0, std::ceil(lacking / quantumOf(it.customer)) - 1);
                rounds = rounds < 0 ? needed : std::min(rounds, needed);
            }
        }
        for (std::size_t i = 0; i < ring.queues.size() && rounds > 0; ++i) {
            ring.queues[i].deficit += isEligible[i] != 0 ? rounds * quantumOf(ring.queues[i].customer) : 0;
        }
    }

    std::optional<QueueEntry> popFrom(Ring &ring, const Eligible &eligible)
    {
        std::vector<char> isEligible(ring.queues.size());
        std::transform(ring.queues.begin(), ring.queues.end(), isEligible.begin(), [&](const CustomerQueue &it) {
            return eligible(it.customer) ? 1 : 0;
        });
        if (std::count(isEligible.begin(), isEligible.end(), 1) == 0) {
            return std::nullopt;
        }
        skipRounds(ring, isEligible);
        // After skipRounds() two passes are enough to cover an entry.
        for (std::size_t steps = 0; steps <= 2 * ring.queues.size(); ++steps) {
            CustomerQueue &queue = ring.queues[ring.current];
            if (isEligible[ring.current] == 0) {
                ring.advance();
                continue;
            }
            if (!queue.hasQuantum) {
                queue.hasQuantum = true;
                queue.deficit += quantumOf(queue.customer);
            }
            const QueueEntry entry = queue.entries.front();
            if (queue.deficit < static_cast<double>(entry.tokens)) {
                ring.advance();
                continue;
            }
            queue.deficit -= static_cast<double>(entry.tokens);
            queue.entries.pop_front();
            if (queue.entries.empty()) {
                ring.eraseAt(ring.current);
            }
            return entry;
        }
        return std::nullopt;
    }

    void removeFromTotals(const QueueEntry &entry)
    {
        locations.erase(entry.id);
        tokens -= entry.tokens;
        const auto it = depths.find(entry.customer);
        if (--it->second == 0) {
            depths.erase(it);
        }
    }

    FairQueueOptions options;
    std::array<Ring, 2> rings; // interactive, batch
    std::map<base::CustomerId, double> weights; // of configured customers
    std::map<base::CustomerId, std::size_t> depths; // positive counts only
    std::unordered_map<std::uint64_t, EntryLocation> locations; // of all entries
    std::uint64_t tokens = 0;
    bool wasAgedBatchLast = false; // the last pop took an aged batch entry
};

FairQueue::FairQueue(const FairQueueOptions &options)
    : m_impl(std::make_unique<Impl>(options))
{
}

FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue &&) noexcept = default;
FairQueue &FairQueue::operator=(FairQueue &&) noexcept = default;

void FairQueue::setWeights(std::map<base::CustomerId, double> weights)
{
    std::erase_if(weights, [](const auto &it) {
        return !(it.second > 0);
    });
    m_impl->weights = std::move(weights);
}

base::Result<void> FairQueue::push(const QueueEntry &entry)
{
    if (depth(entry.customer) >= m_impl->options.maxEntriesPerCustomer) {
        return base::fail(base::ErrorKind::LimitExceeded, "the customer has too many queued requests; send more slowly or raise its concurrency");
    }
    if (size() >= m_impl->options.maxEntries) {
        return base::fail(base::ErrorKind::Overloaded, "the router's queue is full; try again later or add capacity");
    }
    if (!m_impl->locations.try_emplace(entry.id, EntryLocation{entry.customer, entry.trafficClass}).second) {
        return base::fail(base::ErrorKind::InvalidArgument, "an entry with this id is already queued; use a unique id");
    }
    QueueEntry copy = entry;
    copy.tokens = std::max<std::uint64_t>(1, copy.tokens);
    m_impl->ringOf(copy.trafficClass).push(copy);
    m_impl->tokens += copy.tokens;
    ++m_impl->depths[copy.customer];
    return base::ok();
}

std::optional<QueueEntry> FairQueue::pop(base::TimePoint now, const Eligible &eligible)
{
    Ring &interactive = m_impl->ringOf(base::TrafficClass::Interactive);
    Ring &batch = m_impl->ringOf(base::TrafficClass::Batch);
    const auto oldest = batch.queues.empty() ? std::nullopt : batch.oldest(eligible);
    const bool isBatchDue = oldest && now - *oldest >= m_impl->options.batchAgingTime && !m_impl->wasAgedBatchLast;
    auto entry = m_impl->popFrom(isBatchDue ? batch : interactive, eligible);
    m_impl->wasAgedBatchLast = isBatchDue && entry;
    if (!entry) {
        entry = m_impl->popFrom(isBatchDue ? interactive : batch, eligible);
    }
    if (entry) {
        m_impl->removeFromTotals(*entry);
    }
    return entry;
}

bool FairQueue::remove(std::uint64_t id)
{
    const auto location = m_impl->locations.find(id);
    if (location == m_impl->locations.end()) {
        return false;
    }
    Ring &ring = m_impl->ringOf(location->second.trafficClass);
    CustomerQueue *queue = ring.find(location->second.customer);
    const auto it = std::find_if(queue->entries.begin(), queue->entries.end(), [id](const QueueEntry &entry) {
        return entry.id == id;
    });
    m_impl->removeFromTotals(*it);
    queue->entries.erase(it);
    if (queue->entries.empty()) {
        ring.eraseAt(static_cast<std::size_t>(queue - ring.queues.data()));
    }
    return true;
}

void FairQueue::forEach(const std::function<void(const QueueEntry &)> &visit) const
{
    for (const Ring &ring : m_impl->rings) {
        for (const CustomerQueue &queue : ring.queues) {
            std::for_each(queue.entries.begin(), queue.entries.end(), visit);
        }
    }
}

std::size_t FairQueue::size() const
{
    return m_impl->locations.size();
}

std::uint64_t FairQueue::queuedTokens() const
{
    return m_impl->tokens;
}

std::size_t FairQueue::depth(const base::CustomerId &customer) const
{
    const auto it = m_impl->depths.find(customer);
    return it == m_impl->depths.end() ? 0 : it->second;
}

double FairQueue::weight(const base::CustomerId &customer) const
{
    const auto it = m_impl->weights.find(customer);
    return it == m_impl->weights.end() ? 1.0 : it->second;
}

double FairQueue::queuedWeight() const
{
    double sum = 0;
    for (const auto &[customer, n] : m_impl->depths) {
        sum += weight(customer);
    }
    return sum;
}

} // namespace carawaylatch::admission
