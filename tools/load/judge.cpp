// The judgement of orders.
//
// The services' journals are the truth. A key that ran twice is a broken promise
// whatever was answered. "Not run" speaks of every request of the key that was
// received before the answer; a request that was still open then, or was sent
// later, may have run it rightly. So the answer is false for certain only where
// all other requests of the key had been answered before it, and where that
// isn't so, the key is counted as ambiguous and held against nobody.
//
// A router may send the key to the service with the customer's name in front;
// both forms are taken as the same order.
#include "tools/load/judge.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace carawaylatch::load
{

namespace
{

using AnswersByKey = std::map<std::string, std::vector<const OrderAnswer *>, std::less<>>;

std::map<std::string, std::uint64_t> countRuns(const AnswersByKey &answers, std::span<const JournalEntry> journal)
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto &it : journal) {
        const auto slash = it.key.rfind('/');
        const auto key = slash == std::string::npos ? it.key : it.key.substr(slash + 1);
        if (answers.contains(key)) {
            ++runs[key];
        }
    }
    return runs;
}

enum class NotRunVerdict {
    Absent, // no such answer
    Ambiguous,
    False,
};

NotRunVerdict judgeNotRun(const std::vector<const OrderAnswer *> &answers)
{
    auto verdict = NotRunVerdict::Absent;
    for (const auto *it : answers) {
        if (it->outcome != "not_run") {
            continue;
        }
        const bool isLast = std::all_of(answers.begin(), answers.end(), [it](const auto *other) {
            return other == it || other->answeredAt <= it->answeredAt;
        });
        if (isLast) {
            return NotRunVerdict::False;
        }
        verdict = NotRunVerdict::Ambiguous;
    }
    return verdict;
}

} // namespace

Judgement judgeOrders(std::span<const OrderAnswer> answers, std::span<const JournalEntry> journal)
{
    AnswersByKey byKey;
    for (const auto &it : answers) {
        byKey[it.key].push_back(&it);
    }
    const auto runs = countRuns(byKey, journal);
    Judgement judgement;
    judgement.ordersJudged = byKey.size();
    for (const auto &[key, list] : byKey) {
        const auto found = runs.find(key);
        const std::uint64_t n = found == runs.end() ? 0 : found->second;
        const bool isDone = std::any_of(list.begin(), list.end(), [](const auto *it) {
            return it->outcome == "done";
        });
        judgement.ranOnce += n == 1 ? 1 : 0;
        if (n > 1) {
            judgement.ranTwice.push_back(key);
        }
        if (n == 0 && isDone) {
            judgement.doneWithoutRun.push_back(key);
        }
        if (n > 0) {
            const auto verdict = judgeNotRun(list);
            judgement.ambiguous += verdict == NotRunVerdict::Ambiguous ? 1 : 0;
            if (verdict == NotRunVerdict::False) {
                judgement.notRunButRan.push_back(key);
            }
        }
    }
    return judgement;
}

base::Result<std::vector<JournalEntry>> fetchJournal(const base::Endpoint &service)
{
    httplib::Client client(service.address, service.port);
    client.set_connection_timeout(base::seconds{2});
    const auto answer = client.Get("/journal");
    const auto where = service.address + ":" + std::to_string(service.port);
    if (!answer || answer->status != 200) {
        return base::fail(base::ErrorKind::Unavailable, "no journal from the service " + where + "; check --judge");
    }
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (!body.is_object() || !body.contains("items")) {
        return base::fail(base::ErrorKind::Unavailable, where + " answers no journal; --judge takes service stand-ins");
    }
    std::vector<JournalEntry> entries;
    for (const auto &it : body["items"]) {
        entries.push_back({it.value("key", ""), it.value("attempt", ""), it.value("path", "")});
    }
    return entries;
}

} // namespace carawaylatch::load
