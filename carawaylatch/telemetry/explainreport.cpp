// Renders the explanation of a placement as JSON, with the conventions of the
// status report: field names carry units, durations are whole milliseconds and
// bytes that are not valid UTF-8 are replaced.
#include "carawaylatch/telemetry/explainreport.h"

#include <nlohmann/json.hpp>

namespace carawaylatch::telemetry
{

std::string renderExplainJson(const ExplainReport &report)
{
    using nlohmann::ordered_json;
    auto candidates = ordered_json::array();
    for (const auto &it : report.candidates) {
        candidates.push_back({{"upstream", it.upstream.value()},
                              {"score_ms", base::toMilliseconds(it.score)},
                              {"expected_wait_ms", base::toMilliseconds(it.expectedWait)},
                              {"missing_tokens", it.missingTokens},
                              {"cached_tokens", it.cachedTokens},
                              {"excluded", it.excluded}});
    }
    const ordered_json json{{"customer", report.customer.value()},
                            {"route", report.route.value()},
                            {"pool", report.pool.value()},
                            {"revision", report.revision.value},
                            {"strategy", report.strategy},
                            {"prompt_tokens", report.promptTokens},
                            {"chosen", report.chosen ? ordered_json(report.chosen->value()) : ordered_json(nullptr)},
                            {"refusal", report.refusal},
                            {"candidates", candidates}};
    return json.dump(2, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace carawaylatch::telemetry
