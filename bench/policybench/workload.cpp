// Sizes of the workloads and generation of requests.
//
// The rates put the engines under a moderate load with a good policy and under a high one
// with a policy that ignores caches, so that strategies differ in calm without any of them
// collapsing. Overload is 1.5 times the highest rate at which adaptive meets all deadlines
// (6 times the calm rate for groupement, 5 times for brasa-sinal). Each engine can cache
// only a fraction of the hot documents.
#include "bench/policybench/workload.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "carawaylatch/prefix/namespace.h"

namespace carawaylatch::bench
{

namespace
{

const std::vector<double> SkewedCustomers{0.34, 0.22, 0.15, 0.10, 0.07, 0.05, 0.04, 0.03};

std::uint64_t appendBlocks(std::vector<std::uint64_t> &chain, std::uint64_t previous, std::uint64_t content, std::uint32_t blocks)
{
    for (std::uint32_t i = 0; i < blocks; ++i) {
        previous = base::combineHashes(previous, base::combineHashes(content, i));
        chain.push_back(previous);
    }
    return previous;
}

} // namespace

const Workload &groupement()
{
    static const Workload Sizes{"groupement",     9, 3, 10, 9, SkewedCustomers, 4, 12, 12, 1.0, 8, 6, 2, 8, base::milliseconds{2500}, 0.7, base::seconds{10},
                                base::seconds{40}};
    return Sizes;
}

const Workload &brasaSinal()
{
    static const Workload Sizes{"brasa-sinal",    18, 3, 18, 7.5, SkewedCustomers, 2, 4, 40, 1.1, 12, 4, 4, 5, base::milliseconds{3000}, 0.85, base::seconds{5},
                                base::seconds{20}};
    return Sizes;
}

WorkloadSource::WorkloadSource(const Workload &workload, std::uint64_t seed)
    : m_workload(workload)
    , m_random(seed)
{
    double sum = 0;
    for (std::uint32_t i = 0; i < workload.documents; ++i) {
        sum += 1 / std::pow(i + 1, workload.documentSkew);
        m_documentWeights.push_back(sum);
    }
}

Session WorkloadSource::nextSession()
{
    Session session;
    double u = m_random.uniformReal();
    while (session.customer + 1 < m_workload.customers.size() && u >= m_workload.customers[session.customer]) {
        u -= m_workload.customers[session.customer++];
    }
    // Template popularity is geometric: half of the sessions use the first one, a quarter
    // the second, and so on.
    while (session.templateNumber + 1 < m_workload.templates && m_random.below(2) == 1) {
        ++session.templateNumber;
    }
    const double v = m_random.uniformReal() * m_documentWeights.back();
    session.document = static_cast<std::uint64_t>(std::lower_bound(m_documentWeights.begin(), m_documentWeights.end(), v) - m_documentWeights.begin());
    session.templateNumber += m_shift;
    session.document += m_shift * m_workload.documents;
    session.requests = 1 + static_cast<std::uint32_t>(m_random.below(2ULL * m_workload.sessionRequests - 1));
    return session;
}

Request WorkloadSource::nextRequest(const Session &session)
{
    Request request;
    request.id = ++m_requests;
    request.customer = session.customer;
    const base::CustomerId customer{"customer-" + std::to_string(session.customer)};
    const std::uint64_t salt = prefix::cacheSalt(customer, base::ModelId{"m"}, {1}, "").value;
    std::uint64_t key = appendBlocks(request.chain, salt, session.templateNumber, m_workload.templateBlocks);
    key = appendBlocks(request.chain, key, session.document, m_workload.documentBlocks);
    appendBlocks(request.chain, key, m_random.below(m_workload.sections), m_workload.sectionBlocks);
    const auto tail = static_cast<std::uint32_t>(200 + m_random.below(700));
    request.promptTokens = static_cast<std::uint32_t>(request.chain.size()) * BlockTokens + tail;
    request.outputTokens = static_cast<std::uint32_t>(40 + m_random.below(120));
    const bool isInteractive = m_random.uniformReal() < m_workload.interactiveShare;
    request.trafficClass = isInteractive ? base::TrafficClass::Interactive : base::TrafficClass::Batch;
    request.deadline = isInteractive ? m_workload.interactiveDeadline : m_workload.batchDeadline;
    return request;
}

base::Duration WorkloadSource::exponential(base::Duration mean)
{
    return base::fromSeconds(-std::log(1 - m_random.uniformReal()) * base::toSeconds(mean));
}

base::Random &WorkloadSource::random()
{
    return m_random;
}

void WorkloadSource::shiftHotPrefixes()
{
    ++m_shift;
}

} // namespace carawaylatch::bench
