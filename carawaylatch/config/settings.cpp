// The table of settings keys and the parser based on it.
//
// Each entry binds a section and a key to a member of Settings through two functions
// instantiated from member pointers: one parses text into the member, the other
// formats it. The defaults are those of a default-constructed Settings. Ranges are
// checked in the member's own unit (durations in nanoseconds); messages and the
// page show the bounds in the operators' format.
#include "carawaylatch/config/settings.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <set>
#include <sstream>

#include "carawaylatch/config/inidocument.h"
#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::config
{

using base::ok;
using base::Result;

namespace
{

enum class Presence {
    Optional,
    Required,
    Secret, // required; the value is never printed
};

struct Bounds
{
    std::int64_t minimum = 0;
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
    std::string_view choices; // allowed words as "a|b|c"; empty for any value
};

// Text conversion of a member type. parse() returns the value, format() its text and
// count() the number to compare with the bounds. Specialised for each type in Settings.
template <typename T>
struct ValueTraits;

template <>
struct ValueTraits<std::uint64_t>
{
    static constexpr std::string_view Name = "number";
    static Result<std::uint64_t> parse(std::string_view text)
    {
        return parseNumber(text);
    }
    static std::string format(std::uint64_t value)
    {
        return std::to_string(value);
    }
    static std::int64_t count(std::uint64_t value)
    {
        return static_cast<std::int64_t>(std::min<std::uint64_t>(value, std::numeric_limits<std::int64_t>::max()));
    }
};

template <typename T>
struct NarrowNumberTraits : ValueTraits<std::uint64_t>
{
    static Result<T> parse(std::string_view text)
    {
        BOOST_OUTCOME_TRY(value, parseNumber(text));
        if (value > std::numeric_limits<T>::max()) {
            return base::fail(base::ErrorKind::InvalidArgument,
                              "'" + std::string(text) + "' is too large; write at most " + std::to_string(std::numeric_limits<T>::max()));
        }
        return static_cast<T>(value);
    }
};

template <>
struct ValueTraits<std::uint32_t> : NarrowNumberTraits<std::uint32_t>
{
};

template <>
struct ValueTraits<std::uint16_t> : NarrowNumberTraits<std::uint16_t>
{
};

template <>
struct ValueTraits<base::Duration>
{
    static constexpr std::string_view Name = "duration";
    static Result<base::Duration> parse(std::string_view text)
    {
        return parseDuration(text);
    }
    static std::string format(base::Duration value)
    {
        return formatDuration(value);
    }
    static std::int64_t count(base::Duration value)
    {
        return value.count();
    }
};

template <>
struct ValueTraits<std::string>
{
    static constexpr std::string_view Name = "text";
    static Result<std::string> parse(std::string_view text)
    {
        return std::string(text);
    }
    static std::string format(const std::string &value)
    {
        return value;
    }
    static std::int64_t count(const std::string &value)
    {
        return static_cast<std::int64_t>(value.size());
    }
};

template <typename Tag>
struct ValueTraits<base::TypedName<Tag>>
{
    static constexpr std::string_view Name = "name";
    static Result<base::TypedName<Tag>> parse(std::string_view text)
    {
        BOOST_OUTCOME_TRY(name, parseName(text));
        return base::TypedName<Tag>(name);
    }
    static std::string format(const base::TypedName<Tag> &value)
    {
        return value.value();
    }
    static std::int64_t count(const base::TypedName<Tag> &value)
    {
        return static_cast<std::int64_t>(value.value().size());
    }
};

template <>
struct ValueTraits<std::vector<base::Endpoint>>
{
    static constexpr std::string_view Name = "endpoints between commas";
    static Result<std::vector<base::Endpoint>> parse(std::string_view text)
    {
        std::vector<base::Endpoint> endpoints;
        for (const auto it : splitList(text)) {
            BOOST_OUTCOME_TRY(endpoint, parseEndpoint(it));
            endpoints.push_back(std::move(endpoint));
        }
        return endpoints;
    }
    static std::string format(const std::vector<base::Endpoint> &value)
    {
        std::string text;
        for (const auto &it : value) {
            text += (text.empty() ? "" : ", ") + formatEndpoint(it);
        }
        return text;
    }
    static std::int64_t count(const std::vector<base::Endpoint> &value)
    {
        return static_cast<std::int64_t>(value.size());
    }
};

template <>
struct ValueTraits<base::LogLevel>
{
    static constexpr std::string_view Name = "word";
    static constexpr std::array<std::string_view, 3> Names{"info", "warning", "error"};
    static Result<base::LogLevel> parse(std::string_view text)
    {
        const auto *const it = std::find(Names.begin(), Names.end(), text);
        if (it == Names.end()) {
            return base::fail(base::ErrorKind::InvalidArgument, "'" + std::string(text) + "' is not a level; write info, warning or error");
        }
        return static_cast<base::LogLevel>(it - Names.begin());
    }
    static std::string format(base::LogLevel value)
    {
        return std::string(Names.at(static_cast<std::size_t>(value)));
    }
    static std::int64_t count(base::LogLevel)
    {
        return 0;
    }
};

struct KeyDescription
{
    std::string_view section;
    std::string_view name;
    std::string_view form;
    Presence presence;
    Bounds bounds;
    std::string_view meaning;
    Result<void> (*parse)(Settings &settings, std::string_view text, const Bounds &bounds);
    std::string (*format)(const Settings &settings);
    std::string (*formatBound)(std::int64_t bound);
};

bool isChoice(std::string_view choices, std::string_view text)
{
    for (std::size_t start = 0; start <= choices.size();) {
        const auto end = std::min(choices.find('|', start), choices.size());
        if (choices.substr(start, end - start) == text) {
            return true;
        }
        start = end + 1;
    }
    return false;
}

template <typename T>
std::string formatBound(std::int64_t bound)
{
    if constexpr (std::is_same_v<T, base::Duration>) {
        return formatDuration(base::Duration{bound});
    } else {
        return std::to_string(bound);
    }
}

template <auto SectionMember, auto ValueMember>
struct Binding
{
    using Value = std::remove_cvref_t<decltype((Settings{}.*SectionMember).*ValueMember)>;

    static Result<void> parse(Settings &settings, std::string_view text, const Bounds &bounds)
    {
        BOOST_OUTCOME_TRY(value, ValueTraits<Value>::parse(text));
        if (!bounds.choices.empty() && !isChoice(bounds.choices, text)) {
            return base::fail(base::ErrorKind::InvalidArgument, "'" + std::string(text) + "' is unknown; write one of " + std::string(bounds.choices));
        }
        const auto count = ValueTraits<Value>::count(value);
        if (count < bounds.minimum || count > bounds.maximum) {
            return base::fail(base::ErrorKind::InvalidArgument, "the value is out of range; write one from " + formatBound<Value>(bounds.minimum) + " to "
                                                                    + formatBound<Value>(bounds.maximum)
                                                                    + (std::is_same_v<Value, std::string> ? " bytes long" : ""));
        }
        (settings.*SectionMember).*ValueMember = std::move(value);
        return ok();
    }

    static std::string format(const Settings &settings)
    {
        return ValueTraits<Value>::format((settings.*SectionMember).*ValueMember);
    }
};

template <auto SectionMember, auto ValueMember>
constexpr KeyDescription describeKey(std::string_view section, std::string_view name, Presence presence, Bounds bounds, std::string_view meaning)
{
    using MemberBinding = Binding<SectionMember, ValueMember>;
    using Value = typename MemberBinding::Value;
    return {section, name, ValueTraits<Value>::Name, presence, bounds, meaning, MemberBinding::parse, MemberBinding::format, formatBound<Value>};
}

constexpr std::int64_t Millisecond = 1'000'000;
constexpr std::int64_t Second = 1'000 * Millisecond;
constexpr std::int64_t Minute = 60 * Second;
constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t MaxTextBytes = 200;
constexpr auto Optional = Presence::Optional;
constexpr auto Required = Presence::Required;
constexpr Bounds AnyName{1, 40, {}};
constexpr Bounds AnyText{0, MaxTextBytes, {}};
constexpr Bounds AnyAddress{2, 45, {}};
constexpr Bounds AnyPort{0, MaxPort, {}};
constexpr Bounds Strategies{0, MaxTextBytes, "random|round-robin|least-loaded|rendezvous|prefix-index|adaptive"};

using S = Settings;

const std::array KeyTable{
    describeKey<&S::router, &S::Router::id>("router", "id", Required, AnyName, "Name of this router, unique in the fleet."),
    describeKey<&S::router, &S::Router::failureDomain>("router", "failure_domain", Required, AnyName, "Failure domain that this VM is in."),
    describeKey<&S::router, &S::Router::versionLabel>("router", "version_label", Optional, AnyText, "Version shown on the operators' port and in the log."),
    describeKey<&S::callers, &S::Callers::address>("callers", "address", Optional, AnyAddress, "IP address that callers reach."),
    describeKey<&S::callers, &S::Callers::port>("callers", "port", Optional, AnyPort, "Port that callers reach; 0 lets the system choose."),
    describeKey<&S::callers, &S::Callers::maxStreams>("callers", "max_streams", Optional, {1, 10'000, {}},
                                                      "Requests served at the same time, one thread each."),
    describeKey<&S::callers, &S::Callers::maxBodyBytes>("callers", "max_body_bytes", Optional, {1'000, 100'000'000, {}}, "Longest request body in bytes."),
    describeKey<&S::operators, &S::Operators::address>("operators", "address", Optional, AnyAddress, "IP address of the operators' port."),
    describeKey<&S::operators, &S::Operators::port>("operators", "port", Optional, AnyPort, "Port of status, metrics and readiness; 0 lets the system choose."),
    describeKey<&S::peers, &S::Peers::address>("peers", "address", Optional, AnyAddress, "IP address that other routers reach."),
    describeKey<&S::peers, &S::Peers::port>("peers", "port", Optional, AnyPort, "Port for other routers; 0 lets the system choose."),
    describeKey<&S::peers, &S::Peers::key>("peers", "key", Presence::Secret, {16, MaxTextBytes, {}}, "Secret that all routers of the fleet share."),
    describeKey<&S::peers, &S::Peers::seeds>("peers", "seeds", Optional, {0, 64, {}}, "Peer ports of routers to ask first, beside the platform's list."),
    describeKey<&S::peers, &S::Peers::maxConnections>("peers", "max_connections", Optional, {4, 1'000, {}}, "Connections to other routers kept open."),
    describeKey<&S::platform, &S::Platform::address>("platform", "address", Optional, AnyAddress, "IP address of the platform's object API."),
    describeKey<&S::platform, &S::Platform::port>("platform", "port", Required, {1, MaxPort, {}}, "Port of the platform's object API."),
    describeKey<&S::platform, &S::Platform::timeout>("platform", "timeout", Optional, {10 * Millisecond, Minute, {}}, "Longest wait for one call."),
    describeKey<&S::platform, &S::Platform::watchWait>("platform", "watch_wait", Optional, {100 * Millisecond, 5 * Minute, {}}, "Longest wait of one watch."),
    describeKey<&S::routing, &S::Routing::strategy>("routing", "strategy", Optional, Strategies, "How an upstream is chosen."),
    describeKey<&S::routing, &S::Routing::seed>("routing", "seed", Optional, {}, "Seed of random choices."),
    describeKey<&S::routing, &S::Routing::indexBytes>("routing", "index_bytes", Optional, {1'000'000, 200'000'000, {}}, "Bound of the prefix index in bytes."),
    describeKey<&S::admission, &S::Admission::configuredRouters>("admission", "configured_routers", Optional, {1, 10'000, {}},
                                                                 "Routers in the fleet; shares of limits are split by it while peers are cut off."),
    describeKey<&S::admission, &S::Admission::maxQueue>("admission", "max_queue", Optional, {1, 100'000, {}}, "Waiting requests of all customers together."),
    describeKey<&S::admission, &S::Admission::retryBudgetPercent>("admission", "retry_budget_percent", Optional, {0, 100, {}},
                                                                  "Retries and hedges allowed for each hundred requests to a pool."),
    describeKey<&S::timings, &S::Timings::loadPoll>("timings", "load_poll", Optional, {10 * Millisecond, Minute, {}},
                                                    "Time between load reports of one upstream."),
    describeKey<&S::timings, &S::Timings::heartbeat>("timings", "heartbeat", Optional, {50 * Millisecond, Minute, {}}, "Time between probes of other routers."),
    describeKey<&S::timings, &S::Timings::suspicion>("timings", "suspicion", Optional, {100 * Millisecond, 10 * Minute, {}},
                                                     "Time from a missed probe until a router counts as dead."),
    describeKey<&S::timings, &S::Timings::drainLag>("timings", "drain_lag", Optional, {0, 5 * Minute, {}},
                                                    "How long the balancer goes on sending requests after the router says that it is not ready."),
    describeKey<&S::timings, &S::Timings::lease>("timings", "lease", Optional, {500 * Millisecond, 10 * Minute, {}}, "Lease of a failure domain's controller."),
    describeKey<&S::timings, &S::Timings::snapshot>("timings", "snapshot", Optional, {500 * Millisecond, 10 * Minute, {}},
                                                    "Time between stored snapshots for warm starts."),
    describeKey<&S::timings, &S::Timings::warmStart>("timings", "warm_start", Optional, {0, Minute, {}}, "Longest wait for other routers at a start."),
    describeKey<&S::timings, &S::Timings::upstreamTimeout>("timings", "upstream_timeout", Optional, {50 * Millisecond, 10 * Minute, {}},
                                                           "Longest wait for an upstream's response that isn't streamed."),
    describeKey<&S::logs, &S::Logs::directory>("logs", "directory", Optional, AnyText, "Folder of log files; empty for standard error."),
    describeKey<&S::logs, &S::Logs::level>("logs", "level", Optional, {}, "Least level that is logged: info, warning or error."),
};

std::string rangeText(const KeyDescription &key)
{
    if (!key.bounds.choices.empty()) {
        std::string text(key.bounds.choices);
        for (auto at = text.find('|'); at != std::string::npos; at = text.find('|', at)) {
            text.replace(at, 1, ", ");
        }
        return text;
    }
    if (key.form == "number" || key.form == "duration") {
        const bool isUnbounded = key.bounds.maximum == std::numeric_limits<std::int64_t>::max();
        return key.formatBound(key.bounds.minimum) + (isUnbounded ? " or more" : " to " + key.formatBound(key.bounds.maximum));
    }
    return {};
}

base::Error lineError(std::string_view fileName, int line, const std::string &message)
{
    return base::fail(base::ErrorKind::InvalidArgument, linePrefix(fileName, line) + message);
}

bool isSection(std::string_view section)
{
    return std::any_of(KeyTable.begin(), KeyTable.end(), [section](const KeyDescription &it) {
        return it.section == section;
    });
}

// Returns "a, b, c": the keys of a section, or all sections if `section` is empty.
std::string listNames(std::string_view section)
{
    std::string text;
    std::string_view last;
    for (const auto &it : KeyTable) {
        const auto name = section.empty() ? it.section : it.name;
        if ((section.empty() || it.section == section) && name != last) {
            text += (text.empty() ? "" : ", ") + std::string(name);
            last = name;
        }
    }
    return text;
}

// Checks addresses and values that depend on other keys, once all keys are parsed.
Result<void> checkConsistency(const Settings &settings, std::string_view fileName)
{
    for (const auto *address : {&settings.callers.address, &settings.operators.address, &settings.peers.address, &settings.platform.address}) {
        if (const auto parsed = parseAddress(*address); !parsed) {
            return base::fail(base::ErrorKind::InvalidArgument, std::string(fileName) + ": key 'address': " + parsed.error().message);
        }
    }
    if (settings.timings.suspicion < settings.timings.heartbeat) {
        return base::fail(base::ErrorKind::InvalidArgument, std::string(fileName) + ": [timings] suspicion is shorter than heartbeat; write at least "
                                                                + formatDuration(settings.timings.heartbeat));
    }
    return ok();
}

Result<void> applyEntry(Settings &settings, const IniSection &section, const IniEntry &entry, std::string_view fileName)
{
    const auto *const it = std::find_if(KeyTable.begin(), KeyTable.end(), [&](const KeyDescription &candidate) {
        return candidate.section == section.name && candidate.name == entry.key;
    });
    if (it == KeyTable.end()) {
        return lineError(fileName, entry.line, "unknown key '" + entry.key + "' in [" + section.name + "]; write one of " + listNames(section.name));
    }
    if (const auto parsed = it->parse(settings, entry.value, it->bounds); !parsed) {
        return lineError(fileName, entry.line, "key '" + entry.key + "': " + parsed.error().message);
    }
    return ok();
}

} // namespace

std::vector<SettingsKey> settingsKeys()
{
    const Settings defaults;
    std::vector<SettingsKey> keys;
    keys.reserve(KeyTable.size());
    for (const auto &it : KeyTable) {
        keys.push_back({it.section, it.name, it.form, it.presence == Optional ? it.format(defaults) : std::string{}, rangeText(it), it.meaning});
    }
    return keys;
}

std::string renderSettingsPage()
{
    std::ostringstream out;
    out << "# Settings\n\nRendered from carawaylatch/config/settings.cpp; a test compares the two.\n\n"
        << "One INI file for each router. Durations carry a unit (`us`, `ms`, `s`, `m`, `h`). Lines that begin with `#` or `;` are\n"
        << "comments. A long value continues on the next line, which begins with a space. Unknown, repeated or wrong keys stop\n"
        << "the start with exit code 2 and a message that names file, line and key.\n";
    std::string_view section;
    for (const auto &it : KeyTable) {
        if (it.section != section) {
            section = it.section;
            out << "\n## [" << section << "]\n\n| key | form | default | range | meaning |\n|---|---|---|---|---|\n";
        }
        const auto text = it.presence == Optional ? it.format(Settings{}) : std::string{};
        const std::string shown = it.presence != Optional ? "must be given" : (text.empty() ? "empty" : "`" + text + "`");
        out << "| `" << it.name << "` | " << it.form << " | " << shown << " | " << rangeText(it) << " | " << it.meaning << " |\n";
    }
    return out.str();
}

Result<Settings> parseSettings(std::string_view text, std::string_view fileName)
{
    BOOST_OUTCOME_TRY(document, parseIni(text, fileName));
    Settings settings;
    std::set<std::string> seen; // "section" and "section.key"
    for (const auto &section : document.sections) {
        if (!isSection(section.name)) {
            return lineError(fileName, section.line, "unknown section [" + section.name + "]; write one of " + listNames({}));
        }
        if (!seen.insert(section.name).second) {
            return lineError(fileName, section.line, "section [" + section.name + "] appears twice; keep one and put all its keys there");
        }
        for (const auto &entry : section.entries) {
            BOOST_OUTCOME_TRY(applyEntry(settings, section, entry, fileName));
            if (!seen.insert(section.name + '.' + entry.key).second) {
                return lineError(fileName, entry.line, "key '" + entry.key + "' appears twice in [" + section.name + "]; remove one");
            }
        }
    }
    for (const auto &it : KeyTable) {
        const std::string key = std::string(it.section) + '.' + std::string(it.name);
        if (it.presence != Optional && !seen.contains(key)) {
            return base::fail(base::ErrorKind::InvalidArgument, std::string(fileName) + ": key '" + std::string(it.name) + "' is missing; write it in ["
                                                                    + std::string(it.section) + "]: " + std::string(it.meaning));
        }
    }
    BOOST_OUTCOME_TRY(checkConsistency(settings, fileName));
    return settings;
}

Result<Settings> loadSettings(const std::string &path)
{
    std::error_code ec;
    std::ifstream in(path, std::ios::binary);
    if (!in.is_open() || std::filesystem::is_directory(path, ec)) {
        return base::fail(base::ErrorKind::NotFound, path + ": the file can't be read; check its path and permissions");
    }
    return parseSettings(std::string{std::istreambuf_iterator<char>(in), {}}, path);
}

} // namespace carawaylatch::config
