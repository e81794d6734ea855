// Generator of prompts.
//
// Prompts consist of lines that a hash derives from (seed, kind of text, its number, line),
// so that two requests with the same template have the same bytes and no text has to be
// stored. Draws follow Zipf's law with exponent one. After half of the run the ranks are
// rotated, which makes cold items hot.
#include "tools/load/workload.h"

#include <algorithm>

namespace carawaylatch::load
{

namespace
{

constexpr std::size_t LineBytes = 80;

struct TextKind
{
    std::string_view name;
    std::size_t bytes;
};

constexpr TextKind Template{"template", 24'000};
constexpr TextKind Contract{"contract", 16'000};
constexpr TextKind Clause{"clause", 2'000};
constexpr TextKind PanelEvent{"panel event", 4'000};
constexpr TextKind Question{"question", 400};

constexpr std::size_t Templates = 6;
constexpr std::size_t ContractsPerCustomer = 12;
constexpr std::size_t Clauses = 400;
constexpr std::size_t PanelsPerCustomer = 20;
constexpr std::size_t MaxHistoryEvents = 14; // panel events
constexpr std::size_t MinHistoryEvents = 4;

void appendText(std::string &out, TextKind kind, std::uint64_t number, std::uint64_t seed)
{
    const std::size_t end = out.size() + kind.bytes;
    base::Random random(base::combineHashes(base::hash64(kind.name, seed), number));
    out += "# ";
    out += kind.name;
    out += ' ' + std::to_string(number) + '\n';
    while (out.size() < end) {
        const std::size_t lineEnd = std::min(end - 1, out.size() + LineBytes);
        while (out.size() < lineEnd) {
            std::uint64_t bits = random.next();
            for (int i = 0; i < 8 && out.size() < lineEnd; ++i, bits >>= 8) {
                const auto letter = static_cast<char>('a' + bits % 26);
                out += bits % 6 == 0 ? ' ' : letter;
            }
        }
        out += '\n';
    }
}

} // namespace

base::Result<WorkloadKind> parseWorkload(std::string_view name)
{
    if (name == "groupement") {
        return WorkloadKind::Groupement;
    }
    if (name == "brasa") {
        return WorkloadKind::Brasa;
    }
    return base::fail(base::ErrorKind::InvalidArgument, "--workload: unknown workload '" + std::string(name) + "'; write groupement or brasa");
}

Workload::Workload(WorkloadKind kind, std::size_t customers, std::size_t requests, std::uint64_t seed, std::uint64_t drawSeed)
    : m_kind(kind)
    , m_customers(std::max<std::size_t>(customers, 1))
    , m_requests(requests)
    , m_seed(seed)
    , m_random(drawSeed)
{
}

std::size_t Workload::drawZipf(std::size_t n)
{
    double sum = 0;
    for (std::size_t i = 1; i <= n; ++i) {
        sum += 1.0 / static_cast<double>(i);
    }
    double point = m_random.uniformReal() * sum;
    std::size_t rank = 0;
    while (rank + 1 < n && point >= 1.0 / static_cast<double>(rank + 1)) {
        point -= 1.0 / static_cast<double>(rank + 1);
        ++rank;
    }
    return rank;
}

LoadRequest Workload::next()
{
    auto request = m_kind == WorkloadKind::Groupement ? nextGroupement() : nextBrasa();
    ++m_generated;
    return request;
}

LoadRequest Workload::nextGroupement()
{
    const std::size_t shift = m_generated * 2 > m_requests ? 1 : 0;
    LoadRequest request;
    request.customer = drawZipf(m_customers);
    const auto contract = (drawZipf(ContractsPerCustomer) + shift * ContractsPerCustomer / 2) % ContractsPerCustomer;
    // Each contract uses one template; the hot templates are used by most contracts.
    const auto templateNumber = (contract + shift) % Templates;
    appendText(request.prompt, Template, templateNumber, m_seed);
    appendText(request.prompt, Contract, request.customer * ContractsPerCustomer + contract, m_seed);
    appendText(request.prompt, Clause, m_random.below(Clauses), m_seed);
    const bool isBatch = m_random.below(10) < 3;
    request.trafficClass = isBatch ? base::TrafficClass::Batch : base::TrafficClass::Interactive;
    request.maxTokens = static_cast<std::uint32_t>(isBatch ? 40 + m_random.below(40) : 12 + m_random.below(20));
    return request;
}

LoadRequest Workload::nextBrasa()
{
    const std::size_t shift = m_generated * 2 > m_requests ? PanelsPerCustomer / 2 : 0;
    LoadRequest request;
    request.customer = drawZipf(m_customers);
    const auto panel = request.customer * PanelsPerCustomer + (drawZipf(PanelsPerCustomer) + shift) % PanelsPerCustomer;
    // The history grows over the run, so that each prompt extends an earlier one.
    const auto progress = m_generated * (MaxHistoryEvents - MinHistoryEvents) / std::max<std::size_t>(m_requests, 1);
    const auto events = MinHistoryEvents + progress;
    for (std::size_t i = 0; i < events; ++i) {
        appendText(request.prompt, PanelEvent, panel * MaxHistoryEvents + i, m_seed);
    }
    appendText(request.prompt, Question, m_random.next(), m_seed);
    request.trafficClass = m_random.below(10) < 1 ? base::TrafficClass::Batch : base::TrafficClass::Interactive;
    request.maxTokens = static_cast<std::uint32_t>(16 + m_random.below(32));
    return request;
}

} // namespace carawaylatch::load
