// status: shows a router's state with its upstreams, peers, pools, routes and customers.
#include <nlohmann/json.hpp>

#include <ostream>

#include "carawaylatch/telemetry/htmltext.h"
#include "tools/ctl/command.h"
#include "tools/ctl/texttable.h"

namespace carawaylatch::ctl
{

namespace
{

using nlohmann::json;

// A column: its heading and the JSON field that it shows.
struct StatusColumn
{
    const char *heading;
    const char *field;
};

std::string cellText(const json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_number_float()) {
        return telemetry::countText(value.get<double>());
    }
    return value.is_null() ? "-" : value.dump();
}

void printRows(std::ostream &out, const char *title, const json &report, const char *list, const std::vector<StatusColumn> &columns)
{
    if (!report.contains(list) || report[list].empty()) {
        return;
    }
    std::vector<std::string> headings;
    headings.reserve(columns.size());
    for (const auto &it : columns) {
        headings.emplace_back(it.heading);
    }
    TextTable table(headings);
    for (const auto &row : report[list]) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const auto &it : columns) {
            cells.push_back(cellText(row.value(it.field, json())));
        }
        table.add(cells);
    }
    out << '\n' << title << '\n' << table.render();
}

void printRouter(std::ostream &out, const json &report)
{
    const auto &router = report.at("router");
    out << cellText(router.at("id")) << " in " << cellText(router.at("failure_domain")) << ", " << (router.at("ready").get<bool>() ? "ready" : "NOT READY");
    if (const auto reason = router.value("reason", ""); !reason.empty()) {
        out << ": " << reason;
    }
    out << "\nrevision " << router.at("revision") << ", up " << telemetry::uptimeText(base::milliseconds{router.at("uptime_ms").get<std::int64_t>()})
        << ", incarnation " << cellText(router.at("incarnation")) << ", version " << cellText(router.at("version")) << '\n';
    const auto &totals = report.at("totals");
    out << "requests " << totals.at("requests") << ", refused " << totals.at("refused") << ", failed " << totals.at("failed") << ", open streams "
        << totals.at("open_streams") << ", hit rate " << telemetry::percentText(totals.at("hit_rate").get<double>()) << ", first token p99 "
        << totals.at("first_token_interactive").at("p99_ms") << " ms, orders with unknown outcome " << totals.at("orders_unknown") << '\n';
}

void printStatus(std::ostream &out, const json &report)
{
    printRouter(out, report);
    printRows(out, "ROUTERS", report, "peers", {{"router", "id"}, {"domain", "failure_domain"}, {"state", "state"}, {"revision", "revision"}});
    printRows(out, "UPSTREAMS", report, "upstreams",
              {{"upstream", "id"},
               {"pool", "pool"},
               {"domain", "failure_domain"},
               {"state", "state"},
               {"weights", "weights_version"},
               {"running", "running"},
               {"waiting", "waiting"},
               {"own", "in_flight"},
               {"confidence", "confidence"},
               {"age ms", "report_age_ms"},
               {"incarnation", "incarnation"}});
    printRows(out, "POOLS", report, "pools",
              {{"pool", "name"}, {"kind", "kind"}, {"model", "model"}, {"weights", "weights_version"}, {"members", "members"}, {"serving", "serving"}});
    printRows(out, "ROUTES", report, "routes", {{"route", "name"}, {"path", "path"}, {"model", "model"}, {"pool", "pool"}, {"idempotent", "idempotent"}});
    printRows(out, "CUSTOMERS", report, "customers",
              {{"customer", "id"},
               {"requests/s", "requests_per_second"},
               {"limit here", "rate_share_per_second"},
               {"running", "running"},
               {"limit here", "concurrency_share"},
               {"waiting", "waiting"}});
}

base::Result<void> runStatus(CommandContext &context)
{
    BOOST_OUTCOME_TRY(text, context.router.status());
    if (context.options.output == OutputFormat::Json) {
        context.out << text << '\n';
        return base::ok();
    }
    try {
        printStatus(context.out, json::parse(text));
    } catch (const json::exception &) {
        return base::fail(base::ErrorKind::Internal, "the router's status can't be read; use tools and routers of the same version");
    }
    return base::ok();
}

} // namespace

const Command &statusCommand()
{
    static const Command Instance{"status", "", "show the state of a router and of its upstreams, peers and customers", 0, 0, runStatus};
    return Instance;
}

} // namespace carawaylatch::ctl
