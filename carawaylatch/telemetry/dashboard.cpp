// Renders the operators' page.
//
// The page shows, from top to bottom, the readiness of this router, the totals
// of its traffic (tiles), their recent course (charts) and the state of each
// upstream, customer, router, pool and route (tables). States are written out
// and not marked by colour alone. Wide tables scroll inside their own box, so
// that the page itself never scrolls horizontally on a phone.
#include "carawaylatch/telemetry/dashboard.h"

#include <algorithm>
#include <span>
#include <vector>

#include "carawaylatch/telemetry/htmltext.h"
#include "carawaylatch/telemetry/svgchart.h"

namespace carawaylatch::telemetry
{

namespace
{

constexpr std::string_view Style = R"css(
:root{--ink:#1b1f24;--soft:#5c6670;--line:#d9dee3;--back:#f6f7f9;--card:#fff;--a:#1f6feb;--b:#b35900;--good:#1a7f37;--warn:#9a6700;--bad:#c1272d}
@media(prefers-color-scheme:dark){:root{--ink:#e6e9ec;--soft:#9aa4ae;--line:#333a41;--back:#14171a;--card:#1d2125;--a:#6cb0ff;--b:#f0a35e;--good:#57c775;--warn:#e0b341;--bad:#ff7b72}}
*{box-sizing:border-box}body{margin:0;background:var(--back);color:var(--ink);font:15px/1.45 system-ui,sans-serif}
main{max-width:1180px;margin:0 auto;padding:12px 16px 40px}
h1{font-size:1.35rem;margin:.4rem 0;overflow-wrap:anywhere}h2{font-size:1.05rem;margin:1.6rem 0 .5rem}
p{margin:.2rem 0;color:var(--soft)}
.state{white-space:nowrap;font-weight:600}.good{color:var(--good)}.warn{color:var(--warn)}.bad{color:var(--bad)}
.tiles{display:grid;grid-template-columns:repeat(auto-fit,minmax(135px,1fr));gap:10px;margin:14px 0}
.tile,figure,.scroll{background:var(--card);border:1px solid var(--line);border-radius:8px}
.tile{padding:8px 12px}.tile b{display:block;font-size:1.3rem}.tile span{color:var(--soft);font-size:.85rem}
.charts{display:grid;grid-template-columns:repeat(auto-fit,minmax(300px,1fr));gap:10px}
figure{margin:0;padding:10px 12px;min-width:0}figcaption{margin-bottom:6px}
.key{white-space:nowrap;font-weight:600;margin-left:.4rem}.key.a{color:var(--a)}.key.b{color:var(--b)}
.plot{display:flex;gap:6px;height:120px}.plot svg{flex:1;min-width:0;height:100%}
.axis{display:flex;flex-direction:column;justify-content:space-between;text-align:right;min-width:3.4rem;font-size:.75rem;color:var(--soft);line-height:1}
.span{display:flex;justify-content:space-between;padding-left:3.8rem;font-size:.75rem;color:var(--soft)}
.line{fill:none;stroke-width:2;vector-effect:non-scaling-stroke}.line.a{stroke:var(--a)}.line.b{stroke:var(--b)}
.grid{fill:none;stroke:var(--line);vector-effect:non-scaling-stroke}
@media(min-width:800px){.tiles{grid-template-columns:repeat(5,minmax(0,1fr))}.charts{grid-template-columns:repeat(2,minmax(0,1fr))}}
.scroll{overflow-x:auto}table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{padding:5px 10px;text-align:right;white-space:nowrap;border-bottom:1px solid var(--line)}
th{font-weight:600;color:var(--soft);font-size:.85rem}tr:last-child td{border-bottom:0}
th:first-child,td:first-child{text-align:left;position:sticky;left:0;background:var(--card)}td.t,th.t{text-align:left}
)css";

struct StateText
{
    std::string_view name;
    std::string_view cssClass;
};

StateText upstreamStateText(UpstreamState state)
{
    static constexpr std::array<std::string_view, 5> Classes{"good", "warn", "warn", "warn", "bad"};
    return {upstreamStateName(state), Classes.at(static_cast<std::size_t>(state))};
}

StateText peerStateText(PeerState state)
{
    static constexpr std::array<std::string_view, 4> Classes{"good", "warn", "warn", "bad"};
    return {peerStateName(state), Classes.at(static_cast<std::size_t>(state))};
}

std::string stateHtml(StateText state)
{
    return "<span class=\"state " + std::string(state.cssClass) + "\">" + std::string(state.name) + "</span>";
}

// A table column: its heading, its alignment and a function that renders a row's cell as HTML.
template <typename Row>
struct Column
{
    std::string_view heading;
    enum class Kind {
        Text,
        Number,
    } kind;
    std::string (*cell)(const Row &row);
};

template <typename Row>
std::string tableHtml(std::string_view title, const std::vector<Row> &rows, std::span<const Column<Row>> columns)
{
    if (rows.empty()) {
        return {};
    }
    const auto alignmentClass = [](const Column<Row> &it) {
        return it.kind == Column<Row>::Kind::Text ? " class=\"t\"" : "";
    };
    std::string out = "<h2>" + std::string(title) + "</h2><div class=\"scroll\"><table><tr>";
    for (const auto &it : columns) {
        out += std::string("<th") + alignmentClass(it) + ">" + std::string(it.heading) + "</th>";
    }
    out += "</tr>\n";
    for (const auto &row : rows) {
        out += "<tr>";
        for (const auto &it : columns) {
            out += std::string("<td") + alignmentClass(it) + ">" + it.cell(row) + "</td>";
        }
        out += "</tr>\n";
    }
    return out + "</table></div>\n";
}

std::string upstreamTable(const std::vector<UpstreamStatus> &rows)
{
    using C = Column<UpstreamStatus>;
    static constexpr std::array Columns{
        C{"upstream", C::Kind::Text,
          [](const UpstreamStatus &row) {
              return escapeHtml(row.id.value());
          }},
        C{"state", C::Kind::Text,
          [](const UpstreamStatus &row) {
              return stateHtml(upstreamStateText(row.state));
          }},
        C{"running", C::Kind::Number,
          [](const UpstreamStatus &row) {
              return std::to_string(row.running);
          }},
        C{"waiting", C::Kind::Number,
          [](const UpstreamStatus &row) {
              return std::to_string(row.waiting);
          }},
        C{"own", C::Kind::Number,
          [](const UpstreamStatus &row) {
              return std::to_string(row.inFlight);
          }},
        C{"blocks", C::Kind::Number,
          [](const UpstreamStatus &row) {
              return row.capacityBlocks == 0 ? std::string("-")
                                             : countText(static_cast<double>(row.usedBlocks)) + "/" + countText(static_cast<double>(row.capacityBlocks));
          }},
        C{"confidence", C::Kind::Number,
          [](const UpstreamStatus &row) {
              return percentText(row.confidence);
          }},
        C{"weights", C::Kind::Number,
          [](const UpstreamStatus &row) {
              return std::to_string(row.weightsVersion.value);
          }},
        C{"report age", C::Kind::Number,
          [](const UpstreamStatus &row) {
              return durationText(row.reportAge);
          }},
        C{"pool", C::Kind::Text,
          [](const UpstreamStatus &row) {
              return escapeHtml(row.pool.value());
          }},
        C{"failure domain", C::Kind::Text,
          [](const UpstreamStatus &row) {
              return escapeHtml(row.domain.value());
          }},
    };
    return tableHtml<UpstreamStatus>("Upstreams", rows, Columns);
}

std::string peerTable(const std::vector<PeerStatus> &rows)
{
    using C = Column<PeerStatus>;
    static constexpr std::array Columns{
        C{"router", C::Kind::Text,
          [](const PeerStatus &row) {
              return escapeHtml(row.id.value());
          }},
        C{"state", C::Kind::Text,
          [](const PeerStatus &row) {
              return stateHtml(peerStateText(row.state));
          }},
        C{"revision", C::Kind::Number,
          [](const PeerStatus &row) {
              return std::to_string(row.revision.value);
          }},
        C{"failure domain", C::Kind::Text,
          [](const PeerStatus &row) {
              return escapeHtml(row.domain.value());
          }},
    };
    return tableHtml<PeerStatus>("Other routers", rows, Columns);
}

std::string customerTable(const std::vector<CustomerStatus> &rows)
{
    using C = Column<CustomerStatus>;
    static constexpr std::array Columns{
        C{"customer", C::Kind::Text,
          [](const CustomerStatus &row) {
              return escapeHtml(row.id.value());
          }},
        C{"requests/s", C::Kind::Number,
          [](const CustomerStatus &row) {
              return countText(row.requestsPerSecond);
          }},
        C{"share of limit/s", C::Kind::Number,
          [](const CustomerStatus &row) {
              return row.rateShare > 0 ? countText(row.rateShare) : std::string("none");
          }},
        C{"running", C::Kind::Number,
          [](const CustomerStatus &row) {
              return std::to_string(row.running);
          }},
        C{"share of limit", C::Kind::Number,
          [](const CustomerStatus &row) {
              return row.concurrencyShare > 0 ? std::to_string(row.concurrencyShare) : std::string("none");
          }},
        C{"waiting", C::Kind::Number,
          [](const CustomerStatus &row) {
              return std::to_string(row.waiting);
          }},
    };
    return tableHtml<CustomerStatus>("Customers", rows, Columns);
}

std::string poolTable(const std::vector<PoolStatus> &rows)
{
    using C = Column<PoolStatus>;
    static constexpr std::array Columns{
        C{"pool", C::Kind::Text,
          [](const PoolStatus &row) {
              return escapeHtml(row.name.value());
          }},
        C{"serving", C::Kind::Number,
          [](const PoolStatus &row) {
              return std::to_string(row.serving) + " of " + std::to_string(row.members);
          }},
        C{"model", C::Kind::Text,
          [](const PoolStatus &row) {
              return row.model.isEmpty() ? std::string("service") : escapeHtml(row.model.value());
          }},
        C{"weights", C::Kind::Number,
          [](const PoolStatus &row) {
              return std::to_string(row.weightsVersion.value);
          }},
    };
    return tableHtml<PoolStatus>("Pools", rows, Columns);
}

std::string routeTable(const std::vector<RouteStatus> &rows)
{
    using C = Column<RouteStatus>;
    static constexpr std::array Columns{
        C{"route", C::Kind::Text,
          [](const RouteStatus &row) {
              return escapeHtml(row.name.value());
          }},
        C{"path", C::Kind::Text,
          [](const RouteStatus &row) {
              return escapeHtml(row.path);
          }},
        C{"pool", C::Kind::Text,
          [](const RouteStatus &row) {
              return escapeHtml(row.pool.value());
          }},
        C{"repeatable", C::Kind::Text,
          [](const RouteStatus &row) {
              return std::string(row.idempotency == config::Idempotency::Idempotent ? "yes" : "at most once");
          }},
    };
    return tableHtml<RouteStatus>("Routes", rows, Columns);
}

std::string tile(std::string_view value, std::string_view label)
{
    return "<div class=\"tile\"><b>" + escapeHtml(value) + "</b><span>" + escapeHtml(label) + "</span></div>\n";
}

std::string tilesHtml(const StatusReport &report)
{
    const auto &totals = report.totals;
    const auto ratio = [](std::uint64_t part, std::uint64_t whole) {
        return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    std::string out = "<div class=\"tiles\">";
    out += tile(percentText(hitRate(totals)), "prefix hit rate");
    out += tile(durationText(totals.firstTokenInteractive.quantile(0.99)), "first token p99, interactive");
    out += tile(percentText(ratio(totals.wastedTokens, totals.promptTokens)), "wasted recomputation");
    out += tile(countText(static_cast<double>(totals.openStreams)), "open streams");
    out += tile(countText(static_cast<double>(totals.requests)), "requests since start");
    out += tile(countText(static_cast<double>(totals.refused)), "refused");
    out += tile(countText(static_cast<double>(totals.failed)), "failed");
    out += tile(countText(static_cast<double>(totals.ordersUnknown)), "orders with unknown outcome");
    out += tile(percentText(report.controlCoreShare), "of a core for control");
    out += tile(bytesText(report.residentBytes), "memory");
    return out + "</div>\n";
}

std::string spanText(const DashboardSeries &series)
{
    const auto &points = series.points();
    return points.size() < 2 ? std::string("just started") : uptimeText(points.back().time - points.front().time) + " ago";
}

template <typename Value>
std::vector<std::optional<double>> seriesValues(const DashboardSeries &series, Value value)
{
    std::vector<std::optional<double>> values;
    for (const auto &it : series.points()) {
        values.push_back(value(it));
    }
    return values;
}

std::string chartsHtml(const DashboardSeries &series)
{
    using Point = DashboardPoint;
    using Optional = std::optional<double>;
    const auto milliseconds = [](const std::optional<base::Duration> &it) {
        return it ? Optional(base::toSeconds(*it) * 1000) : Optional();
    };
    const auto span = spanText(series);
    const Chart hits{"Prefix hit rate",
                     {{"", "a",
                       seriesValues(series,
                                    [](const Point &it) {
                                        return it.hitRate;
                                    })}},
                     1,
                     percentText,
                     span};
    const Chart first{"First token",
                      {{"p50", "a",
                        seriesValues(series,
                                     [&](const Point &it) {
                                         return milliseconds(it.firstTokenP50);
                                     })},
                       {"p99", "b",
                        seriesValues(series,
                                     [&](const Point &it) {
                                         return milliseconds(it.firstTokenP99);
                                     })}},
                      100,
                      [](double ms) {
                          return durationText(base::fromSeconds(ms / 1000));
                      },
                      span};
    const Chart rates{"Requests/s",
                      {{"all", "a",
                        seriesValues(series,
                                     [](const Point &it) {
                                         return Optional(it.requestsPerSecond);
                                     })},
                       {"refused", "b",
                        seriesValues(series,
                                     [](const Point &it) {
                                         return Optional(it.refusalsPerSecond);
                                     })}},
                      1,
                      countText,
                      span};
    const Chart tokens{"Tokens/s",
                       {{"", "a",
                         seriesValues(series,
                                      [](const Point &it) {
                                          return Optional(it.tokensPerSecond);
                                      })}},
                       10,
                       countText,
                       span};
    return "<div class=\"charts\">" + renderChart(hits) + renderChart(first) + renderChart(rates) + renderChart(tokens) + "</div>\n";
}

std::string headerHtml(const RouterStatus &router)
{
    const bool isReady = router.readiness == Readiness::Ready;
    std::string out = "<h1>" + escapeHtml(router.id.value()) + " " + stateHtml(isReady ? StateText{"ready", "good"} : StateText{"not ready", "bad"}) + "</h1>";
    out += isReady ? "" : "<p class=\"bad\">" + escapeHtml(router.reason) + "</p>";
    out += "<p>Failure domain " + escapeHtml(router.domain.value()) + ", configuration revision " + std::to_string(router.revision.value) + ", up "
           + uptimeText(router.uptime) + ", version " + escapeHtml(router.version) + "</p>\n";
    return out;
}

} // namespace

std::string renderDashboard(const StatusReport &report, const DashboardSeries &series)
{
    std::string out = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">"
                      "<meta http-equiv=\"refresh\" content=\"5\"><title>"
                      + escapeHtml(report.router.id.value()) + " - carawaylatch</title><style>" + std::string(Style) + "</style></head><body><main>\n";
    out += headerHtml(report.router);
    out += tilesHtml(report);
    out += chartsHtml(series);
    out += upstreamTable(report.upstreams);
    out += customerTable(report.customers);
    out += peerTable(report.peers);
    out += poolTable(report.pools);
    out += routeTable(report.routes);
    return out + "</main></body></html>\n";
}

} // namespace carawaylatch::telemetry
