// explain: shows where a router would send a request, and why.
#include <nlohmann/json.hpp>

#include <ostream>

#include "tools/ctl/command.h"
#include "tools/ctl/tablefiles.h"
#include "tools/ctl/texttable.h"

namespace carawaylatch::ctl
{

namespace
{

using nlohmann::json;

void printExplanation(std::ostream &out, const json &report)
{
    out << "customer " << report.at("customer").get<std::string>() << ", route " << report.at("route").get<std::string>() << ", pool "
        << report.at("pool").get<std::string>() << ", revision " << report.at("revision") << ", strategy " << report.at("strategy").get<std::string>() << ", "
        << report.at("prompt_tokens") << " prompt tokens\n";
    if (report.at("chosen").is_string()) {
        out << "would go to " << report.at("chosen").get<std::string>() << '\n';
    } else {
        out << "would be refused: " << report.at("refusal").get<std::string>() << '\n';
    }
    TextTable table({"upstream", "score ms", "expected wait ms", "missing tokens", "cached tokens", "excluded"});
    for (const auto &it : report.at("candidates")) {
        table.add({it.at("upstream").get<std::string>(), it.at("score_ms").dump(), it.at("expected_wait_ms").dump(), it.at("missing_tokens").dump(),
                   it.at("cached_tokens").dump(), it.value("excluded", "")});
    }
    out << table.render();
}

base::Result<void> runExplain(CommandContext &context)
{
    const auto &options = context.options;
    if (options.customerKey.empty() || options.model.empty() || options.promptFile.empty()) {
        return base::fail(base::ErrorKind::InvalidArgument, "explain needs --customer-key KEY, --model NAME and --prompt-file FILE");
    }
    BOOST_OUTCOME_TRY(prompt, readFile(options.promptFile));
    const json body{{"model", options.model}, {"prompt", prompt}, {"max_tokens", 1}, {"stream", true}};
    const ExplainRequest request{options.customerKey, options.trafficClass, body.dump(-1, ' ', false, json::error_handler_t::replace)};
    BOOST_OUTCOME_TRY(text, context.router.explain(request));
    if (options.output == OutputFormat::Json) {
        context.out << text << '\n';
        return base::ok();
    }
    try {
        printExplanation(context.out, json::parse(text));
    } catch (const json::exception &) {
        return base::fail(base::ErrorKind::Internal, "the router's explanation can't be read; use tools and routers of the same version");
    }
    return base::ok();
}

} // namespace

const Command &explainCommand()
{
    static const Command Instance{"explain", "", "show where a request would be sent and why; --customer-key, --model, --prompt-file, --traffic-class",
                                  0,         0,  runExplain};
    return Instance;
}

} // namespace carawaylatch::ctl
