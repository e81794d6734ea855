// Parsing of rows from INI text and of typed tables from rows.
//
// Each kind of row has a table of fields: key, form, meaning and a function that
// parses a value into the typed row. The strict parser, the conversion to typed rows
// and the page docs/TABLES.md use these tables. The conversion skips a field without
// an entry, which belongs to a newer version; the row itself keeps it.
#include "carawaylatch/config/tablefile.h"

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <sstream>

#include "carawaylatch/config/inidocument.h"
#include "carawaylatch/config/keydigest.h"
#include "carawaylatch/config/rowtext.h"
#include "carawaylatch/config/tablecheck.h"
#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::config
{

using base::ok;
using base::Result;

namespace
{

constexpr std::string_view RevisionKey = "revision";
constexpr std::uint64_t MaxPromptBytesLimit = 100'000'000;

enum class Repetition {
    Once,
    Many,
};

template <typename T>
struct Field
{
    std::string_view key;
    std::string_view form;
    std::string_view meaning;
    Result<void> (*parse)(T &row, std::string_view text);
    Repetition repetition = Repetition::Once;
};

base::Error invalid(std::string message)
{
    return base::fail(base::ErrorKind::InvalidArgument, std::move(message));
}

template <typename T>
Result<void> assignResult(T &member, Result<T> value)
{
    if (!value) {
        return value.error();
    }
    member = std::move(value.value());
    return ok();
}

template <typename Tag>
Result<void> parseNameInto(base::TypedName<Tag> &member, std::string_view text)
{
    BOOST_OUTCOME_TRY(name, parseName(text));
    member = base::TypedName<Tag>(name);
    return ok();
}

template <typename T>
Result<void> parseNumberInto(T &member, std::string_view text, std::uint64_t minimum, std::uint64_t maximum)
{
    BOOST_OUTCOME_TRY(value, parseNumber(text));
    if (value < minimum || value > maximum) {
        return invalid("'" + std::string(text) + "' is out of range; write a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    member = static_cast<T>(value);
    return ok();
}

template <typename T>
Result<void> parseChoiceInto(T &member, std::string_view text, std::string_view first, std::string_view second, T firstValue, T secondValue)
{
    if (text != first && text != second) {
        return invalid("'" + std::string(text) + "' is unknown; write " + std::string(first) + " or " + std::string(second));
    }
    member = text == first ? firstValue : secondValue;
    return ok();
}

Result<void> parseDigestInto(std::string &member, std::string_view text)
{
    if (text.size() != KeyDigestDigits || text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return invalid("a key digest is 32 lower-case hex digits; `carawaylatchctl digest` prints the one of a key");
    }
    member = text;
    return ok();
}

Result<void> parseMemberInto(std::vector<PoolMember> &members, std::string_view text)
{
    const auto words = splitWords(text);
    if (words.size() != 3) {
        return invalid("'" + std::string(text) + "' is not a member; write ID ADDRESS:PORT FAILURE-DOMAIN");
    }
    BOOST_OUTCOME_TRY(id, parseName(words[0]));
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(words[1]));
    BOOST_OUTCOME_TRY(domain, parseName(words[2]));
    members.push_back({base::UpstreamId(id), endpoint, base::FailureDomain(domain)});
    return ok();
}

Result<void> parseCustomersInto(std::vector<base::CustomerId> &customers, std::string_view text)
{
    for (const auto it : splitList(text)) {
        BOOST_OUTCOME_TRY(name, parseName(it));
        customers.emplace_back(name);
    }
    return ok();
}

Result<void> parsePathInto(std::string &member, std::string_view text)
{
    constexpr std::string_view ServicePrefix = "/v1/services/";
    const bool isService = text.starts_with(ServicePrefix) && parseName(text.substr(ServicePrefix.size()));
    if (text != "/v1/completions" && text != "/v1/chat/completions" && !isService) {
        return invalid("'" + std::string(text) + "' is not a path; write /v1/completions, /v1/chat/completions or /v1/services/NAME");
    }
    member = text;
    return ok();
}

Result<void> parseDeadlineInto(base::Duration &member, std::string_view text)
{
    BOOST_OUTCOME_TRY(value, parseDuration(text));
    if (value < base::milliseconds{10} || value > base::hours{1}) {
        return invalid("'" + std::string(text) + "' is out of range; write a duration from 10ms to 1h");
    }
    member = value;
    return ok();
}

const std::array CustomerFields{
    Field<Customer>{"key_digest", "32 hex digits", "Digest of the customer's bearer key; must be given.",
                    [](Customer &it, std::string_view text) {
                        return parseDigestInto(it.keyDigest, text);
                    }},
    Field<Customer>{"weight", "number above 0", "Share in fair queueing; 1 by default.",
                    [](Customer &it, std::string_view text) -> Result<void> {
                        BOOST_OUTCOME_TRY(assignResult(it.weight, parseFraction(text)));
                        constexpr double MaxWeight = 1000;
                        return it.weight > 0 && it.weight <= MaxWeight ? Result<void>(ok())
                                                                       : invalid("a weight is above 0 and at most 1000; write 1 for a usual share");
                    }},
    Field<Customer>{"requests_per_second", "number", "Limit over all routers; 0, the default, for none.",
                    [](Customer &it, std::string_view text) {
                        return assignResult(it.requestsPerSecond, parseFraction(text));
                    }},
    Field<Customer>{"concurrency", "number", "Requests at the same time over all routers; 0, the default, for no limit.",
                    [](Customer &it, std::string_view text) {
                        return parseNumberInto(it.concurrency, text, 0, UINT32_MAX);
                    }},
};

const std::array PoolFields{
    Field<Pool>{"kind", "engine or service", "Kind of the upstreams; engine by default.",
                [](Pool &it, std::string_view text) {
                    return parseChoiceInto(it.kind, text, "engine", "service", UpstreamKind::Engine, UpstreamKind::Service);
                }},
    Field<Pool>{"fencing", "checked or ignored", "Whether the upstreams reject orders with an old fencing token; ignored by default.",
                [](Pool &it, std::string_view text) {
                    return parseChoiceInto(it.fencing, text, "checked", "ignored", OrderFencing::Checked, OrderFencing::Ignored);
                }},
    Field<Pool>{"model", "name", "Model of all members; for engines it must be given.",
                [](Pool &it, std::string_view text) {
                    return parseNameInto(it.model, text);
                }},
    Field<Pool>{"weights_version", "number", "Version of the weights to serve.",
                [](Pool &it, std::string_view text) {
                    return parseNumberInto(it.weightsVersion.value, text, 0, INT64_MAX);
                }},
    Field<Pool>{"adapter", "name", "Adapter to serve; none by default.",
                [](Pool &it, std::string_view text) {
                    return assignResult(it.adapter, parseName(text));
                }},
    Field<Pool>{"block_bytes", "number", "Prompt bytes in one cached block; 4000 by default.",
                [](Pool &it, std::string_view text) {
                    return parseNumberInto(it.blockBytes, text, 16, 1'000'000);
                }},
    Field<Pool>{"max_loads", "number", "Weight loads at the same time; 2 by default.",
                [](Pool &it, std::string_view text) {
                    return parseNumberInto(it.maxLoads, text, 1, 1'000);
                }},
    Field<Pool>{"kv_store", "endpoint", "KV cache store that the members share; none by default.",
                [](Pool &it, std::string_view text) -> Result<void> {
                    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(text));
                    it.kvStore = endpoint;
                    return ok();
                }},
    Field<Pool>{"member", "ID ADDRESS:PORT FAILURE-DOMAIN", "One upstream; repeat the key for each.",
                [](Pool &it, std::string_view text) {
                    return parseMemberInto(it.members, text);
                },
                Repetition::Many},
};

const std::array RouteFields{
    Field<Route>{"customers", "names between commas", "Who may use the route; every customer by default.",
                 [](Route &it, std::string_view text) {
                     return parseCustomersInto(it.customers, text);
                 }},
    Field<Route>{"path", "path", "`/v1/completions`, `/v1/chat/completions` or `/v1/services/NAME`; must be given.",
                 [](Route &it, std::string_view text) {
                     return parsePathInto(it.path, text);
                 }},
    Field<Route>{"model", "name", "Model that requests name; for engines it must be given.",
                 [](Route &it, std::string_view text) {
                     return parseNameInto(it.model, text);
                 }},
    Field<Route>{"class", "interactive or batch", "Class of the requests; both by default.",
                 [](Route &it, std::string_view text) -> Result<void> {
                     auto value = base::TrafficClass::Interactive;
                     BOOST_OUTCOME_TRY(parseChoiceInto(value, text, "interactive", "batch", base::TrafficClass::Interactive, base::TrafficClass::Batch));
                     it.trafficClass = value;
                     return ok();
                 }},
    Field<Route>{"pool", "name", "Pool that serves the route; must be given.",
                 [](Route &it, std::string_view text) {
                     return parseNameInto(it.pool, text);
                 }},
    Field<Route>{"deadline", "duration", "Longest time for a request; 30s by default.",
                 [](Route &it, std::string_view text) {
                     return parseDeadlineInto(it.deadline, text);
                 }},
    Field<Route>{"idempotency", "idempotent or at-most-once", "Whether a call may be repeated; idempotent by default.",
                 [](Route &it, std::string_view text) {
                     return parseChoiceInto(it.idempotency, text, "idempotent", "at-most-once", Idempotency::Idempotent, Idempotency::AtMostOnce);
                 }},
    Field<Route>{"hedging", "on or off", "Whether a slow request is tried at a second upstream; off by default.",
                 [](Route &it, std::string_view text) {
                     return parseChoiceInto(it.hedging, text, "on", "off", Hedging::On, Hedging::Off);
                 }},
    Field<Route>{"max_prompt_bytes", "number", "Longest prompt; 4000000 by default.",
                 [](Route &it, std::string_view text) {
                     return parseNumberInto(it.maxPromptBytes, text, 1, MaxPromptBytesLimit);
                 }},
};

struct FieldSummary
{
    std::string_view key;
    std::string_view form;
    std::string_view meaning;
    Repetition repetition;
};

struct KindSummary
{
    std::string_view kind;
    std::vector<FieldSummary> fields;
};

template <typename Fields>
std::vector<FieldSummary> summarize(const Fields &fields)
{
    std::vector<FieldSummary> summaries;
    summaries.reserve(fields.size());
    for (const auto &it : fields) {
        summaries.push_back({it.key, it.form, it.meaning, it.repetition});
    }
    return summaries;
}

const std::vector<KindSummary> &rowKinds()
{
    static const std::vector<KindSummary> Kinds{{"customer", summarize(CustomerFields)}, {"pool", summarize(PoolFields)}, {"route", summarize(RouteFields)}};
    return Kinds;
}

std::string location(std::string_view fileName, int line)
{
    return line > 0 ? linePrefix(fileName, line) : std::string(fileName) + ": ";
}

Result<RowKey> parseRowKey(const IniSection &section, std::string_view fileName)
{
    const auto words = splitWords(section.name);
    if (words.size() != 2) {
        return invalid(linePrefix(fileName, section.line) + "[" + section.name + "] is not a row; write [customer NAME], [pool NAME] or [route NAME]");
    }
    const auto kind = parseName(words[0]);
    const auto name = parseName(words[1]);
    if (!kind || !name) {
        return invalid(linePrefix(fileName, section.line) + (kind ? name.error() : kind.error()).message);
    }
    return RowKey{kind.value(), name.value()};
}

// Rejects kinds and fields that are unknown to this version, and repeated keys.
Result<void> checkKnownFields(const Row &row, std::string_view fileName)
{
    const auto kind = std::find_if(rowKinds().begin(), rowKinds().end(), [&](const KindSummary &it) {
        return it.kind == row.key.kind;
    });
    if (kind == rowKinds().end()) {
        return invalid(location(fileName, row.line) + "unknown kind '" + row.key.kind + "'; write customer, pool or route");
    }
    std::set<std::string> seen;
    for (const auto &field : row.fields) {
        const auto it = std::find_if(kind->fields.begin(), kind->fields.end(), [&](const FieldSummary &known) {
            return known.key == field.key;
        });
        if (it == kind->fields.end()) {
            std::string names;
            for (const auto &known : kind->fields) {
                names += (names.empty() ? "" : ", ") + std::string(known.key);
            }
            return invalid(location(fileName, field.line) + "unknown key '" + field.key + "' in [" + rowLabel(row.key) + "]; write one of " + names);
        }
        if (!seen.insert(field.key).second && it->repetition == Repetition::Once) {
            return invalid(location(fileName, field.line) + "key '" + field.key + "' appears twice in [" + rowLabel(row.key) + "]; remove one");
        }
    }
    return ok();
}

template <typename T, typename Fields>
Result<T> parseFields(const Row &row, T typed, const Fields &fields, std::string_view fileName)
{
    for (const auto &field : row.fields) {
        const auto it = std::find_if(fields.begin(), fields.end(), [&](const Field<T> &known) {
            return known.key == field.key;
        });
        if (it == fields.end()) {
            continue;
        }
        if (const auto parsed = it->parse(typed, field.value); !parsed) {
            return invalid(location(fileName, field.line) + "[" + rowLabel(row.key) + "] key '" + field.key + "': " + parsed.error().message);
        }
    }
    return typed;
}

Result<void> requireKey(const Row &row, bool isGiven, std::string_view key, std::string_view fileName)
{
    if (isGiven) {
        return ok();
    }
    return invalid(location(fileName, row.line) + "[" + rowLabel(row.key) + "] has no key '" + std::string(key) + "'; add " + std::string(key) + " = ...");
}

Result<void> addRow(Tables &tables, const Row &row, std::string_view fileName)
{
    if (row.key.kind == "customer") {
        BOOST_OUTCOME_TRY(it, parseFields(row, Customer{base::CustomerId(row.key.name), {}, 1.0, 0, 0}, CustomerFields, fileName));
        BOOST_OUTCOME_TRY(requireKey(row, !it.keyDigest.empty(), "key_digest", fileName));
        tables.customers.push_back(std::move(it));
    } else if (row.key.kind == "pool") {
        Pool pool;
        pool.name = base::PoolName(row.key.name);
        BOOST_OUTCOME_TRY(it, parseFields(row, std::move(pool), PoolFields, fileName));
        tables.pools.push_back(std::move(it));
    } else if (row.key.kind == "route") {
        Route route;
        route.name = base::RouteName(row.key.name);
        BOOST_OUTCOME_TRY(it, parseFields(row, std::move(route), RouteFields, fileName));
        BOOST_OUTCOME_TRY(requireKey(row, !it.path.empty(), "path", fileName));
        BOOST_OUTCOME_TRY(requireKey(row, !it.pool.isEmpty(), "pool", fileName));
        tables.routes.push_back(std::move(it));
    }
    return ok();
}

template <typename Rows>
auto findPosition(Rows &rows, const RowKey &key)
{
    return std::lower_bound(rows.begin(), rows.end(), key, [](const Row &row, const RowKey &wanted) {
        return row.key < wanted;
    });
}

} // namespace

Result<Row> rowFromSection(const IniSection &section, std::string_view fileName)
{
    BOOST_OUTCOME_TRY(key, parseRowKey(section, fileName));
    Row row{std::move(key), {}, {}, section.line};
    for (const auto &it : section.entries) {
        if (const auto checked = checkIniValue(it.value); !checked) {
            return invalid(linePrefix(fileName, it.line) + "key '" + it.key + "': " + checked.error().message);
        }
        if (it.key == RevisionKey) {
            const auto value = parseNumber(it.value);
            if (!value) {
                return invalid(linePrefix(fileName, it.line) + "key 'revision': " + value.error().message);
            }
            row.revision.value = value.value();
        } else if (parseName(it.key)) {
            row.fields.push_back({it.key, it.value, it.line});
        } else {
            return invalid(linePrefix(fileName, it.line) + "the key has other characters than letters, digits, '.', '_' and '-'; write KEY = VALUE");
        }
    }
    return row;
}

std::string rowLabel(const RowKey &key)
{
    return key.kind + ' ' + key.name;
}

const Row *RowSet::find(const RowKey &key) const
{
    const auto it = findPosition(rows, key);
    return it != rows.end() && it->key == key ? &*it : nullptr;
}

void RowSet::put(Row row)
{
    const auto it = findPosition(rows, row.key);
    if (it != rows.end() && it->key == row.key) {
        *it = std::move(row);
    } else {
        rows.insert(it, std::move(row));
    }
}

void RowSet::remove(const RowKey &key)
{
    const auto it = findPosition(rows, key);
    if (it != rows.end() && it->key == key) {
        rows.erase(it);
    }
}

Result<RowSet> parseRows(std::string_view text, std::string_view fileName, TableParsing parsing)
{
    BOOST_OUTCOME_TRY(document, parseIni(text, fileName));
    RowSet rows;
    for (const auto &section : document.sections) {
        BOOST_OUTCOME_TRY(row, rowFromSection(section, fileName));
        if (parsing == TableParsing::Strict) {
            BOOST_OUTCOME_TRY(checkKnownFields(row, fileName));
        }
        if (const auto *other = rows.find(row.key); other != nullptr) {
            return invalid(linePrefix(fileName, section.line) + "[" + rowLabel(row.key) + "] is already defined in line " + std::to_string(other->line)
                           + "; merge the two or rename one");
        }
        rows.put(std::move(row));
    }
    return rows;
}

void appendRow(std::string &text, const Row &row)
{
    text += '[' + rowLabel(row.key) + "]\n";
    if (row.revision.value != 0) {
        appendIniEntry(text, RevisionKey, std::to_string(row.revision.value));
    }
    for (const auto &it : row.fields) {
        appendIniEntry(text, it.key, it.value);
    }
}

std::string formatRows(const RowSet &rows)
{
    std::string text;
    for (const auto &row : rows.rows) {
        text += text.empty() ? "" : "\n";
        appendRow(text, row);
    }
    return text;
}

Result<Tables> toTables(const RowSet &rows, std::string_view fileName)
{
    Tables tables;
    tables.revision = rows.revision;
    for (const auto &it : rows.rows) {
        BOOST_OUTCOME_TRY(addRow(tables, it, fileName));
    }
    BOOST_OUTCOME_TRY(checkTables(tables, [&](const RowKey &key) {
        const auto *row = rows.find(key);
        return location(fileName, row != nullptr ? row->line : 0);
    }));
    return tables;
}

std::string renderTablesPage()
{
    std::ostringstream out;
    out << "# Tables\n\nRendered from carawaylatch/config/tablefile.cpp; a test compares the two.\n\n"
        << "Operators edit customers, pools and routes as INI text and submit it with `carawaylatchctl apply`. A row is a section\n"
        << "`[KIND NAME]`; names have letters, digits, `.`, `_` and `-`. A row may carry `revision = N`, as `carawaylatchctl get` prints it:\n"
        << "the edit is then refused if someone else changed the row after revision N.\n";
    for (const auto &kind : rowKinds()) {
        out << "\n## [" << kind.kind << " NAME]\n\n| key | form | meaning |\n|---|---|---|\n";
        for (const auto &it : kind.fields) {
            out << "| `" << it.key << "` | " << it.form << " | " << it.meaning << " |\n";
        }
    }
    return out.str();
}

} // namespace carawaylatch::config
