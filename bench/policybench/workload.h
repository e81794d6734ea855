// The two workloads of the policy benchmark: nested prompts of customers with skewed rates.
//
// A session is one user who works on one document: a few requests, seconds apart, that
// share a template and a document and end in one of its sections. Documents are drawn
// from a Zipf distribution, so that a few are very hot. All sizes are in blocks of 1,000
// tokens, which correspond to the required cache blocks of 4,000 bytes.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::bench
{

constexpr std::uint32_t BlockTokens = 1000;

struct Workload
{
    std::string_view name;
    std::uint32_t engines;
    std::uint32_t domains;
    double requestsPerSecond; // without overload
    double overload; // factor on the rate under overload
    std::vector<double> customers; // fraction of the sessions of each
    std::uint32_t templates;
    std::uint32_t templateBlocks;
    std::uint32_t documents; // of each customer and template
    double documentSkew; // exponent of Zipf's law
    std::uint32_t documentBlocks;
    std::uint32_t sections; // of each document
    std::uint32_t sectionBlocks;
    std::uint32_t sessionRequests; // mean
    base::Duration thinkTime; // mean, between requests of a session
    double interactiveShare;
    base::Duration interactiveDeadline; // for the first token
    base::Duration batchDeadline;
};

[[nodiscard]] const Workload &groupement();
[[nodiscard]] const Workload &brasaSinal();

struct Request
{
    std::uint64_t id = 0;
    std::uint32_t customer = 0;
    std::vector<std::uint64_t> chain;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    base::Duration deadline{};
};

// Customer, prompt prefix and remaining requests of a session.
struct Session
{
    std::uint32_t customer = 0;
    std::uint64_t templateNumber = 0;
    std::uint64_t document = 0;
    std::uint32_t requests = 0;
};

// Generates sessions and requests; the sequence is deterministic for a seed.
class WorkloadSource
{
public:
    WorkloadSource(const Workload &workload, std::uint64_t seed);

    [[nodiscard]] Session nextSession();
    [[nodiscard]] Request nextRequest(const Session &session);
    // Returns an exponentially distributed time.
    [[nodiscard]] base::Duration exponential(base::Duration mean);
    [[nodiscard]] base::Random &random();
    // Makes other templates and documents hot from now on.
    void shiftHotPrefixes();

private:
    const Workload &m_workload;
    base::Random m_random;
    std::vector<double> m_documentWeights; // cumulative
    std::uint64_t m_shift = 0;
    std::uint64_t m_requests = 0;
};

} // namespace carawaylatch::bench
