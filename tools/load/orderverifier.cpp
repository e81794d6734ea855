// Verification of responses to orders.
//
// The services' journals are authoritative. A key that ran twice is a violation whatever
// the responses were. "Not run" applies to every request of the key that was received
// before the response; a request that was still in flight then, or was sent later, may
// legitimately have run the order. The response is therefore certainly false only if all
// other requests of the key had completed before it. Otherwise the key is counted as
// ambiguous, which is no violation.
//
// A router may send the key to the service with the customer's name as a prefix; both forms
// are treated as the same order.
#include "tools/load/orderverifier.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

#include "carawaylatch/http/checkedclient.h"

namespace carawaylatch::load
{

namespace
{

using ResponsesByKey = std::map<std::string, std::vector<const OrderResponse *>, std::less<>>;

std::map<std::string, std::uint64_t> countRuns(const ResponsesByKey &responses, std::span<const JournalEntry> journal)
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto &it : journal) {
        const auto slash = it.key.rfind('/');
        const auto key = slash == std::string::npos ? it.key : it.key.substr(slash + 1);
        if (responses.contains(key)) {
            ++runs[key];
        }
    }
    return runs;
}

enum class NotRunVerdict {
    Absent, // no such response
    Ambiguous,
    False,
};

NotRunVerdict verifyNotRun(const std::vector<const OrderResponse *> &responses)
{
    auto verdict = NotRunVerdict::Absent;
    for (const auto *it : responses) {
        if (it->outcome != "not_run") {
            continue;
        }
        const bool isLast = std::all_of(responses.begin(), responses.end(), [it](const auto *other) {
            return other == it || other->receivedAt <= it->receivedAt;
        });
        if (isLast) {
            return NotRunVerdict::False;
        }
        verdict = NotRunVerdict::Ambiguous;
    }
    return verdict;
}

} // namespace

OrderVerification verifyOrders(std::span<const OrderResponse> responses, std::span<const JournalEntry> journal)
{
    ResponsesByKey byKey;
    for (const auto &it : responses) {
        byKey[it.key].push_back(&it);
    }
    const auto runs = countRuns(byKey, journal);
    OrderVerification verification;
    verification.ordersVerified = byKey.size();
    for (const auto &[key, list] : byKey) {
        const auto found = runs.find(key);
        const std::uint64_t n = found == runs.end() ? 0 : found->second;
        const bool isDone = std::any_of(list.begin(), list.end(), [](const auto *it) {
            return it->outcome == "done";
        });
        verification.ranOnce += n == 1 ? 1 : 0;
        if (n > 1) {
            verification.ranTwice.push_back(key);
        }
        if (n == 0 && isDone) {
            verification.doneWithoutRun.push_back(key);
        }
        if (n > 0) {
            const auto verdict = verifyNotRun(list);
            verification.ambiguous += verdict == NotRunVerdict::Ambiguous ? 1 : 0;
            if (verdict == NotRunVerdict::False) {
                verification.notRunButRan.push_back(key);
            }
        }
    }
    return verification;
}

base::Result<std::vector<JournalEntry>> fetchJournal(const base::Endpoint &service)
{
    http::CheckedClient client(service.address, service.port);
    client.set_connection_timeout(base::seconds{2});
    const auto response = client.Get("/journal");
    const auto address = service.address + ":" + std::to_string(service.port);
    if (!response || response->status != 200) {
        return base::fail(base::ErrorKind::Unavailable, "no journal from service " + address + "; check --judge");
    }
    const auto body = nlohmann::json::parse(response->body, nullptr, false);
    if (!body.is_object() || !body.contains("items")) {
        return base::fail(base::ErrorKind::Unavailable, address + " returned no journal; --judge takes service stand-ins");
    }
    std::vector<JournalEntry> entries;
    for (const auto &it : body["items"]) {
        entries.push_back({it.value("key", ""), it.value("attempt", ""), it.value("path", "")});
    }
    return entries;
}

} // namespace carawaylatch::load
